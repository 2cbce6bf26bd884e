"""Retention of finished jobs.

The record of a finished job is kept for an hour. Then it is replaced by a
tombstone, which reserves its key for another day, and its results are deleted.
"""

__all__ = [
    "RECORD_RETENTION_S",
    "TOMBSTONE_RETENTION_S",
    "Retention",
    "make_tombstone",
    "record_from_tombstone",
    "spec_digest",
]

import attrs
import msgspec
from returns.result import Failure

from dragonflybank.jobs.context import HomeContext
from dragonflybank.jobs.entries import Entry, Tombstone, task_index
from dragonflybank.model.codes import Code, Problem
from dragonflybank.model.hashing import digest
from dragonflybank.model.work import JobRecord, JobSpec, JobState

RECORD_RETENTION_S = 3600.0
TOMBSTONE_RETENTION_S = 86_400.0
# Deletes share the rate limit of result writes; further ones wait for the next
# round.
MAX_DELETES_PER_ROUND = 10


class Retention:
    """Replaces records of finished jobs by tombstones and removes old ones."""

    def __init__(self, ctx: HomeContext):
        self._ctx = ctx

    async def run_round(self, now: float) -> None:
        """Makes tombstones, deletes results and removes expired tombstones."""
        journal = self._ctx.journal
        if not self._ctx.can_write(now):
            return
        tombstones = [
            make_tombstone(item)
            for item in journal.table.items()
            if isinstance(item, Entry)
            and item.is_final
            and now - item.record.finished_at >= RECORD_RETENTION_S
        ]
        if tombstones and isinstance(
            await journal.commit(*tombstones, now=now), Failure
        ):
            return
        await self._delete_results(now)
        await self._remove_expired(now)

    async def _delete_results(self, now: float) -> None:
        journal = self._ctx.journal
        pending = [
            item
            for item in journal.table.items()
            if isinstance(item, Tombstone) and item.has_result_keys
        ]
        deleted = []
        for tombstone in pending[:MAX_DELETES_PER_ROUND]:
            outcome = await self._ctx.results.delete(tombstone.key, now)
            if isinstance(outcome, Failure):
                break
            deleted.append(attrs.evolve(tombstone, has_result_keys=False))
        if deleted:
            await journal.commit(*deleted, now=now)

    async def _remove_expired(self, now: float) -> None:
        retention_s = RECORD_RETENTION_S + TOMBSTONE_RETENTION_S
        expired = [
            item.key
            for item in self._ctx.journal.table.items()
            if isinstance(item, Tombstone)
            and not item.has_result_keys
            and now - item.finished_at >= retention_s
        ]
        if expired:
            await self._ctx.journal.commit(now=now, remove=expired)


def make_tombstone(entry: Entry) -> Tombstone:
    """Returns the tombstone of a finished job."""
    record = entry.record
    return Tombstone(
        record.spec.team,
        record.spec.key,
        record.spec.work_class,
        record.state,
        spec_digest(record.spec),
        _results_digest(entry),
        record.problem,
        record.finished_at,
        has_result_keys=entry.has_result_keys,
    )


def record_from_tombstone(tombstone: Tombstone) -> JobRecord:
    """Returns the record of a job of which only a tombstone is left.

    The record of a job that is done has a problem with code ``OK``, which
    says that its result is no longer stored.
    """
    removed = Problem(Code.OK, "finished; the result is no longer stored")
    return JobRecord(
        JobSpec(tombstone.team, tombstone.job_key, tombstone.work_class),
        state=tombstone.state,
        problem=removed
        if tombstone.state is JobState.DONE
        else tombstone.problem,
        finished_at=tombstone.finished_at,
    )


def spec_digest(spec: JobSpec) -> str:
    """Returns the digest of a spec.

    The spec is encoded and decoded first, as in the journal: an integer in a
    float field becomes a float, which is encoded differently.

    Example:
        >>> spec = JobSpec("courts", "k1", "sweep", expected_s=10)
        >>> spec_digest(spec) == spec_digest(JobSpec("courts", "k1", "sweep"))
        True
    """
    encoded = msgspec.msgpack.encode(spec)
    decoded = msgspec.msgpack.decode(encoded, type=JobSpec)
    return digest(msgspec.msgpack.encode(decoded))


def _results_digest(entry: Entry) -> str:
    if entry.record.state is not JobState.DONE:
        return ""
    digests = {
        task: digest(text.encode())
        for task, text in entry.record.results.items()
    }
    digests.update(entry.stored)
    in_order = sorted(digests, key=task_index)
    if len(in_order) == 1:
        return digests[in_order[0]]
    return digest("".join(digests[task] for task in in_order).encode())
