"""Cluster of scheduler hosts that share workers and jobs.

The host that owns a worker places work there, under an epoch that the worker
checks in each call. A worker runs tasks, and lookups in the slots of its
executor. The home of a shard is the host that keeps the journal of the shard's
jobs in the store, and starts their tasks through the owners of workers.
"""
