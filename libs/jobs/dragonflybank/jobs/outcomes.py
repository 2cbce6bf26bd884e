"""Journals the ends of tasks and stops tasks that are no longer wanted."""

__all__ = ["Stopper", "apply_event"]

import attrs
from returns.result import Success

from dragonflybank.jobs.context import HomeContext
from dragonflybank.jobs.entries import (
    Entry,
    Key,
    key_of,
    live_start,
    live_starts,
    must_stop,
)
from dragonflybank.jobs.transitions import task_done, task_failed, task_lost
from dragonflybank.jobs.value_size import (
    INLINE_LIMIT_BYTES,
    INLINE_RESULT_BYTES,
    MAX_RESULT_BYTES,
    SHORT_RESULT_BYTES,
)
from dragonflybank.model.leases import TaskEvent, TaskState

# A stop whose effect is not seen is sent again.
STOP_RETRY_S = 5.0


async def apply_event(ctx: HomeContext, event: TaskEvent, now: float) -> bool:
    """Journals the end of a task.

    Args:
        ctx: The shard home.
        event: End of the task.
        now: Present time, seconds since 1970.

    Returns:
        True once the journal certainly holds the outcome, or does not need
        it because the start is no longer live. False if the worker has to
        keep its result.
    """
    if event.state is TaskState.RUNNING:
        return False
    key = key_of(event.task_id)
    entry = ctx.journal.table.latest(key)
    if entry is None:
        # No start is sent before its job is in the journal, so this event
        # belongs to another shard, or the job was forgotten.
        return False
    stored_digest = ""
    if _is_live(entry, event) and event.state is TaskState.DONE:
        stored = await _store_long_result(ctx, event, now)
        if stored is None:
            return False
        stored_digest, event = stored
        entry = ctx.journal.table.latest(key)
    if _is_live(entry, event):
        changed = _changed(ctx, entry, event, now, stored_digest)
    elif entry is not None and stored_digest:
        # The result is not needed; retention deletes it.
        changed = attrs.evolve(entry, has_result_keys=True)
    else:
        return isinstance(await ctx.journal.settle(key), Success)
    return isinstance(await ctx.commit(changed, now=now), Success)


class Stopper:
    """Sends the stops of tasks of cancelled and broken jobs.

    A wave of cancellations that one commit journals leads to one call of
    the runner.
    """

    def __init__(self, ctx: HomeContext):
        self._ctx = ctx
        self._sent_at: dict[str, float] = {}

    async def round(self, now: float) -> None:
        """Stops the tasks of jobs whose end is settled in the journal."""
        starts = [
            start
            for entry in self._ctx.journal.table.unfinished()
            if must_stop(entry) and self._is_settled(entry.key)
            for start in live_starts(entry)
            if start.task_id in entry.running
        ]
        wanted = {start.task_id for start in starts}
        self._sent_at = {
            task: at for task, at in self._sent_at.items() if task in wanted
        }
        due = [
            start
            for start in starts
            if now - self._sent_at.get(start.task_id, -1e9) >= STOP_RETRY_S
        ]
        if due:
            self._sent_at.update((start.task_id, now) for start in due)
            # A problem needs no answer: the stop is sent again.
            await self._ctx.runner.stop(due)

    def _is_settled(self, key: Key) -> bool:
        item = self._ctx.journal.table.settled(key)
        return isinstance(item, Entry) and must_stop(item)


def _changed(ctx, entry, event, now, stored_digest) -> Entry:
    if event.state is TaskState.DONE:
        return task_done(entry, event, now, stored_digest=stored_digest)
    context = ctx.event_context(entry, event.worker, now)
    if event.state is TaskState.LAPSED:
        return task_lost(entry, event.task_id, context)
    return task_failed(entry, event, context)


def _is_live(item, event: TaskEvent) -> bool:
    return (
        isinstance(item, Entry) and live_start(item, event.task_id) is not None
    )


async def _store_long_result(
    ctx: HomeContext, event: TaskEvent, now: float
) -> tuple[str, TaskEvent] | None:
    # Returns the digest, empty if the result goes into the journal.
    length = len(event.result.encode())
    size = ctx.journal.table.projected_bytes + length
    if length <= SHORT_RESULT_BYTES or (
        length <= INLINE_RESULT_BYTES and size <= INLINE_LIMIT_BYTES
    ):
        return "", event
    if length > MAX_RESULT_BYTES:
        return "", TaskEvent(
            event.task_id,
            event.worker,
            TaskState.FAILED,
            reason=f"the result has {length} bytes, at most "
            f"{MAX_RESULT_BYTES} can be kept",
        )
    outcome = await ctx.results.write(event.task_id, event.result, now)
    return (outcome.unwrap(), event) if isinstance(outcome, Success) else None
