"""Stand-ins of the platform's services, for tests and benchmarks."""
