"""Polls workers for ended tasks and reports them to their shard homes.

The home of a task's job writes the end into its journal. Only then is the end
acknowledged to the worker, which keeps it until then.
"""

__all__ = ["OnFinished", "poll_events", "report_lost_tasks"]

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable

from returns.result import Failure, Success

from dragonflybank.cluster.managed_worker import ManagedWorker
from dragonflybank.model.leases import TaskEvent

_log = logging.getLogger(__name__)

# Returns True once the end of the task is journalled.
OnFinished = Callable[[TaskEvent, ManagedWorker], Awaitable[bool]]

# Bounds the wait on a connection that stopped responding.
EVENT_WAIT_S = 10.0
# A slow journal must not delay the ends of other jobs' tasks on the worker.
JOURNAL_TIMEOUT_S = 5.0


async def poll_events(
    worker: ManagedWorker, on_finished: OnFinished, now: Callable[[], float]
) -> bool:
    """Waits for ends of tasks and reports them.

    An end is acknowledged to the worker only after ``on_finished`` returned
    True for it; otherwise the worker reports it again.

    Returns:
        Whether all received ends were journalled and acknowledged; if not, the
        caller should wait before it polls again.
    """
    epoch = worker.epoch
    reply = await worker.call_fenced(
        lambda fence: worker.client.events(fence=fence, wait_s=EVENT_WAIT_S)
    )
    if isinstance(reply, Failure) or worker.epoch != epoch:
        return False
    events = reply.unwrap()
    for event in events:
        worker.on_task_ended(event)
    journalled = await _journal_all(events, worker, on_finished)
    if not journalled:
        return not events
    acknowledged = await worker.call_fenced(
        lambda fence: worker.client.ack(journalled, fence=fence)
    )
    if isinstance(acknowledged, Success):
        worker.task_ends.acknowledge(journalled, now())
    return isinstance(acknowledged, Success) and len(journalled) == len(events)


async def report_lost_tasks(
    worker: ManagedWorker, on_finished: OnFinished
) -> None:
    """Reports the ends of tasks that the worker can no longer report."""
    for task_id in await _journal_all(
        tuple(worker.lost_events.values()), worker, on_finished
    ):
        worker.lost_events.pop(task_id, None)


async def _journal_all(
    events: Iterable[TaskEvent], worker: ManagedWorker, on_finished: OnFinished
) -> list[str]:
    events = tuple(events)
    done = await asyncio.gather(
        *(_journal(event, worker, on_finished) for event in events)
    )
    return [e.task_id for e, ok in zip(events, done, strict=True) if ok]


async def _journal(
    event: TaskEvent, worker: ManagedWorker, on_finished: OnFinished
) -> bool:
    try:
        async with asyncio.timeout(JOURNAL_TIMEOUT_S):
            return await on_finished(event, worker)
    except TimeoutError:
        return False
    except Exception:
        _log.exception("end of task %s was not journalled", event.task_id)
        return False
