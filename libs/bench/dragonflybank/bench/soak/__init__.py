"""A randomized soak test: host processes under faults set from outside."""
