"""The scheduler host of dragonflybank."""
