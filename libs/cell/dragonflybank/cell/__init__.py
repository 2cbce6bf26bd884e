"""Schedules jobs of several steps on the executors of a cell."""
