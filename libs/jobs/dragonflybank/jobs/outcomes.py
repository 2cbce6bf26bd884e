"""Journals the ends of tasks and stops tasks that must not go on."""

__all__ = ["TaskStopper", "journal_task_end"]

import attrs
from returns.result import Success

from dragonflybank.jobs.context import HomeContext
from dragonflybank.jobs.entries import (
    Entry,
    JobKey,
    job_key_of,
    live_start,
    live_starts,
    must_stop,
)
from dragonflybank.jobs.transitions import (
    on_task_done,
    on_task_failed,
    on_task_lost,
)
from dragonflybank.jobs.value_size import (
    ALWAYS_INLINE_RESULT_BYTES,
    INLINE_RESULTS_LIMIT_BYTES,
    MAX_INLINE_RESULT_BYTES,
    MAX_RESULT_BYTES,
)
from dragonflybank.model.leases import TaskEvent, TaskState

# A stop is sent again if the task has not ended after this time.
STOP_RETRY_S = 5.0


async def journal_task_end(
    ctx: HomeContext, event: TaskEvent, now: float
) -> bool:
    """Journals the end of a task.

    Args:
        ctx: Context of the shard home.
        event: End of the task.
        now: Current time, seconds since 1970.

    Returns:
        True once the outcome is settled in the journal, or is not needed
        because the start is no longer live. False if the worker must keep
        its result.
    """
    if event.state is TaskState.RUNNING:
        return False
    key = job_key_of(event.task_id)
    entry = ctx.journal.table.latest(key)
    if entry is None:
        # A start is sent only after its job is in the journal. So this event
        # belongs to another shard, or the job was removed.
        return False
    stored_digest = ""
    if _is_live(entry, event) and event.state is TaskState.DONE:
        stored = await _store_long_result(ctx, event, now)
        if stored is None:
            return False
        stored_digest, event = stored
        entry = ctx.journal.table.latest(key)
    if _is_live(entry, event):
        changed = _entry_after(ctx, entry, event, now, stored_digest)
    elif entry is not None and stored_digest:
        # The stored result is not needed; `retention` deletes it.
        changed = attrs.evolve(entry, has_result_keys=True)
    else:
        return isinstance(await ctx.journal.wait_settled(key), Success)
    return isinstance(await ctx.commit(changed, now=now), Success)


class TaskStopper:
    """Stops the tasks of cancelled and failed jobs and of incomplete gangs.

    All cancellations that one commit journals are sent in one call of the
    runner.
    """

    def __init__(self, ctx: HomeContext):
        self._ctx = ctx
        self._sent_at: dict[str, float] = {}

    async def run_round(self, now: float) -> None:
        """Stops the tasks of jobs whose ending is settled in the journal."""
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
            # A failure is ignored because the stop is sent again.
            await self._ctx.runner.stop(due)

    def _is_settled(self, key: JobKey) -> bool:
        item = self._ctx.journal.table.settled(key)
        return isinstance(item, Entry) and must_stop(item)


def _entry_after(ctx, entry, event, now, stored_digest) -> Entry:
    if event.state is TaskState.DONE:
        return on_task_done(entry, event, now, stored_digest=stored_digest)
    context = ctx.transition_context(entry, event.worker, now)
    if event.state is TaskState.LAPSED:
        return on_task_lost(entry, event.task_id, context)
    return on_task_failed(entry, event, context)


def _is_live(item, event: TaskEvent) -> bool:
    return (
        isinstance(item, Entry) and live_start(item, event.task_id) is not None
    )


async def _store_long_result(
    ctx: HomeContext, event: TaskEvent, now: float
) -> tuple[str, TaskEvent] | None:
    # Returns the digest, empty if the result goes into the journal, and the
    # event; None if the result could not be stored.
    length = len(event.result.encode())
    size = ctx.journal.table.projected_bytes + length
    if length <= ALWAYS_INLINE_RESULT_BYTES or (
        length <= MAX_INLINE_RESULT_BYTES and size <= INLINE_RESULTS_LIMIT_BYTES
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
