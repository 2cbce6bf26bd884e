"""How long finished jobs are kept.

A finished record is kept for an hour, then reduced to a tombstone that
refuses its key for another day. The results are deleted with the record.
"""

__all__ = [
    "RECORD_KEPT_S",
    "TOMBSTONE_KEPT_S",
    "Retention",
    "make_tombstone",
    "spec_digest",
    "tombstone_record",
]

import attrs
import msgspec
from returns.result import Failure

from dragonflybank.jobs.context import HomeContext
from dragonflybank.jobs.entries import Entry, Tombstone, task_index
from dragonflybank.model.codes import Code, Problem
from dragonflybank.model.hashing import digest
from dragonflybank.model.work import JobRecord, JobSpec, JobState

RECORD_KEPT_S = 3600.0
TOMBSTONE_KEPT_S = 86_400.0
# Deletes are paced with the writes of results; the rest waits for the next
# round.
MAX_DELETES_PER_ROUND = 10


class Retention:
    """Reduces and forgets the finished jobs of a shard."""

    def __init__(self, ctx: HomeContext):
        self._ctx = ctx

    async def round(self, now: float) -> None:
        """Reduces, then deletes results, then forgets what is due."""
        journal = self._ctx.journal
        if not self._ctx.can_start(now):
            return
        reduced = [
            make_tombstone(item)
            for item in journal.table.items()
            if isinstance(item, Entry)
            and item.final
            and now - item.record.finished_at >= RECORD_KEPT_S
        ]
        if reduced and isinstance(
            await journal.commit(*reduced, now=now), Failure
        ):
            return
        await self._delete_results(now)
        await self._forget(now)

    async def _delete_results(self, now: float) -> None:
        journal = self._ctx.journal
        owed = [
            item
            for item in journal.table.items()
            if isinstance(item, Tombstone) and item.has_result_keys
        ]
        deleted = []
        for stone in owed[:MAX_DELETES_PER_ROUND]:
            outcome = await self._ctx.results.delete(stone.key, now)
            if isinstance(outcome, Failure):
                break
            deleted.append(attrs.evolve(stone, has_result_keys=False))
        if deleted:
            await journal.commit(*deleted, now=now)

    async def _forget(self, now: float) -> None:
        kept_s = RECORD_KEPT_S + TOMBSTONE_KEPT_S
        old = [
            item.key
            for item in self._ctx.journal.table.items()
            if isinstance(item, Tombstone)
            and not item.has_result_keys
            and now - item.finished_at >= kept_s
        ]
        if old:
            await self._ctx.journal.commit(now=now, drop=old)


def make_tombstone(entry: Entry) -> Tombstone:
    """Returns what is kept of a finished job."""
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


def tombstone_record(stone: Tombstone) -> JobRecord:
    """Returns the record of a job of which only a tombstone is left.

    A job that finished has a problem with code ``OK`` that says that its
    result is gone.
    """
    gone = Problem(Code.OK, "finished; the result is no longer kept")
    return JobRecord(
        JobSpec(stone.team, stone.job_key, stone.work_class),
        state=stone.state,
        problem=gone if stone.state is JobState.DONE else stone.problem,
        finished_at=stone.finished_at,
    )


def spec_digest(spec: JobSpec) -> str:
    """Returns a digest of what was asked for.

    The digest is that of the spec as it is read from the journal: a whole
    number in a float field is encoded differently after it was decoded.

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
