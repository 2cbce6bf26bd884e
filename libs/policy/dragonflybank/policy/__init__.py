"""Scheduling policies: pure decisions without I/O or clocks."""
