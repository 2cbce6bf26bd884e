"""dragonflybank config."""
