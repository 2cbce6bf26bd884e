"""Patient work: jobs, their shards and the journal of each shard.

`home` is the entry point. A host opens a `ShardHome` for each shard that it
is the home of, gives it a `TaskRunner` and `SchedulingRules`, and runs it.
"""
