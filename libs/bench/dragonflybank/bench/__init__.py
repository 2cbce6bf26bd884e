"""Benchmarks of the scheduler, the fault matrix and the soak test."""
