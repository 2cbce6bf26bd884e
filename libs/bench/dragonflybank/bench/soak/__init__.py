"""A randomized soak: real host processes under faults from outside."""
