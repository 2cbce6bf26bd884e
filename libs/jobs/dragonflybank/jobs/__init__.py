"""dragonflybank jobs."""
