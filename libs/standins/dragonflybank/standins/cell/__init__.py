"""Stand-ins of the platform in memory, run in virtual time."""
