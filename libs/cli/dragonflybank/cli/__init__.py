"""Command-line client of the scheduler."""
