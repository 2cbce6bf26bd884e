"""The fault matrix: each fault at each step, with all invariants checked."""
