"""Stand-ins of the platform in memory, played in virtual time."""
