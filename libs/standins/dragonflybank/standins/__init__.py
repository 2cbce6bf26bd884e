"""dragonflybank standins."""
