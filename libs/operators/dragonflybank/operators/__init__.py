"""dragonflybank operators."""
