"""dragonflybank policy."""
