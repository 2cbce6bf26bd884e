"""One leadership, from the election to its loss."""

__all__ = ["latest_items", "lead"]

import asyncio
import logging
from collections.abc import Iterable

from returns.result import Failure, Success

from dragonflybank.cell.election import RETRY_S, Candidate
from dragonflybank.cell.jobs import decode_progress
from dragonflybank.cell.keys import (
    ENDED_PREFIX,
    JOBS_PREFIX,
)
from dragonflybank.cell.leader import Leader
from dragonflybank.cell.ports import Item, Txn
from dragonflybank.cell.takeover import (
    add_stored_jobs,
    decode_executors,
    take_over,
)
from dragonflybank.cell.watching import Watch

_log = logging.getLogger(__name__)

# Hosts tell the leader of each job; the watch finds those that it missed.
JOBS_PAUSE_S = 0.5
# Executors may leave two seconds after they say so, and what runs on them has
# to be moved by then.
EXECUTORS_PAUSE_S = 0.25
# Bounds what is not known of the time of a change.
EXECUTORS_WAIT_S = 0.5
# States are kept for minutes; reading all of them is a few calls.
CLEAN_EVERY_S = 60.0
CLEAN_SLACK_S = 10.0
# A condition and a removal each; the store takes 32 rows.
JOBS_PER_CLEANING = 16


async def lead(leader: Leader, candidate: Candidate) -> None:
    """Leads until the leadership is lost."""
    lost = asyncio.create_task(leader.leadership.lost.wait())
    keeping = asyncio.create_task(candidate.keep(leader.leadership))
    committing = asyncio.create_task(leader.committer.run())
    working = asyncio.create_task(_work(leader))
    tasks = (keeping, committing, working)
    try:
        done, _ = await asyncio.wait(
            (lost, *tasks), return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if task is not lost and task.exception() is not None:
                _log.error("leader failed", exc_info=task.exception())
                # Another host takes over; state that may be wrong is dropped.
                await candidate.resign()
        if leader.has_failed:
            await candidate.resign()
    finally:
        leader.leadership.lost.set()
        for task in (lost, *tasks):
            task.cancel()
        await asyncio.gather(lost, *tasks, return_exceptions=True)
        await leader.close()


async def _work(leader: Leader) -> None:
    while isinstance(loaded := await take_over(leader), Failure):
        _log.warning(
            "takeover waits for the store",
            extra={"detail": loaded.failure().detail},
        )
        await leader.clock.sleep(RETRY_S)
    jobs_from, executors_from = loaded.unwrap()
    async with asyncio.TaskGroup() as group:
        group.create_task(leader.run_rounds())
        group.create_task(_watch_jobs(leader, jobs_from))
        group.create_task(_watch_executors(leader, executors_from))
        group.create_task(_clean(leader))


async def _watch_jobs(leader: Leader, revision: int) -> None:
    watch = Watch(
        leader.platform.store, JOBS_PREFIX, leader.clock, pause_s=JOBS_PAUSE_S
    )
    async for items, _ in watch.changes(revision):
        add_stored_jobs(leader, items)


async def _watch_executors(leader: Leader, revision: int) -> None:
    prefix = leader.platform.executors_prefix
    watch = Watch(
        leader.platform.store,
        prefix,
        leader.clock,
        wait_s=EXECUTORS_WAIT_S,
        pause_s=EXECUTORS_PAUSE_S,
    )
    async for changes, is_whole in watch.changes(revision):
        items = latest_items(changes)
        infos = decode_executors(
            leader, tuple(i for i in items if i.value is not None)
        )
        for info in infos:
            leader.fleet.on_listed(info, written_after=watch.written_after)
        gone = _unlisted(leader, items, is_whole, {i.id for i in infos})
        for executor_id in gone:
            leader.fleet.on_unlisted(executor_id)


def latest_items(items: Iterable[Item]) -> tuple[Item, ...]:
    """Returns the last change of each key.

    Example:
        >>> changes = (Item("a", b"1", 1), Item("b", b"2", 2),
        ...            Item("a", None, 3))
        >>> [(item.key, item.value) for item in latest_items(changes)]
        [('a', None), ('b', b'2')]
    """
    return tuple({item.key: item for item in items}.values())


def _unlisted(
    leader: Leader, items: tuple[Item, ...], is_whole: bool, present: set[str]
) -> set[str]:
    if is_whole:
        return set(leader.fleet.executors) - present
    prefix = leader.platform.executors_prefix
    return {i.key.removeprefix(prefix) for i in items} - present


async def _clean(leader: Leader) -> None:
    """Removes final states that need not be kept any more."""
    store = leader.platform.store
    while True:
        await leader.clock.sleep(CLEAN_EVERY_S)
        found = await store.scan(ENDED_PREFIX)
        if isinstance(found, Failure):
            continue
        limit = leader.wall() - leader.limits.status_retention_s - CLEAN_SLACK_S
        old = [
            item
            for item in found.unwrap().items
            if decode_progress(item.value).ended_at < limit
        ]
        for first in range(0, len(old), JOBS_PER_CLEANING):
            await _remove(leader, old[first : first + JOBS_PER_CLEANING])


async def _remove(leader: Leader, items: list[Item]) -> None:
    # The revisions keep a late transaction from removing a newer state.
    txn = Txn(
        expected={item.key: item.revision for item in items},
        removed_keys=tuple(item.key for item in items),
    )
    match await leader.platform.store.commit(txn):
        case Success(reply) if reply.revision is not None:
            for item in items:
                job_id = item.key.removeprefix(ENDED_PREFIX)
                leader.workload.ended.pop(job_id, None)
        case _:
            _log.warning("old states not removed", extra={"jobs": len(items)})
