"""Value types and pure functions that every other library uses."""
