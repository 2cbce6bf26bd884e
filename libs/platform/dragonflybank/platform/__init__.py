"""Clients of the platform's store, VM list and workers."""
