"""dragonflybank bench."""
