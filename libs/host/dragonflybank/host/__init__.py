"""dragonflybank host."""
