"""dragonflybank cli."""
