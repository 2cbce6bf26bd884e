"""dragonflybank cluster."""
