"""Query and command language of the operators."""
