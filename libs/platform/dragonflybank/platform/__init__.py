"""dragonflybank platform."""
