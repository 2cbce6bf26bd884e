"""Batch work: jobs, the shards that hold them and each shard's journal.

Jobs are partitioned into shards. One host at a time, the home of the shard,
schedules its jobs and writes its journal, a single value in the store. A
change is settled once its outcome in the store is known for certain.

`home` is the entry point: a host opens a `ShardHome` with a `TaskRunner` and
`SchedulingRules` for each shard that it is the home of, and runs it.
"""
