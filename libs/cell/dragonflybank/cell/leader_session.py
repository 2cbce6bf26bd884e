"""Runs a leader from its election until its leadership is lost."""

__all__ = ["latest_items", "run_leader"]

import asyncio
import logging
from collections.abc import Iterable

from returns.result import Failure, Success

from dragonflybank.cell.election import RETRY_DELAY_S, Candidate
from dragonflybank.cell.input_faults import find_input_fault
from dragonflybank.cell.jobs import decode_progress
from dragonflybank.cell.keys import (
    ENDED_PREFIX,
    JOBS_PREFIX,
)
from dragonflybank.cell.leader import Leader
from dragonflybank.cell.ports import Item, Txn
from dragonflybank.cell.prefix_watcher import PrefixWatcher
from dragonflybank.cell.takeover import (
    decode_executors,
    list_executors,
    load_stored_jobs,
    take_over,
)
from dragonflybank.model.decoding import DecodeError

_log = logging.getLogger(__name__)

# Hosts notify the leader of each job; the watch finds jobs whose notification
# was lost.
JOBS_WATCH_PAUSE_S = 0.5
# Executors may leave 2 s after they announce it, and their tasks have to be
# moved by then.
EXECUTORS_WATCH_PAUSE_S = 0.25
# Bounds the uncertainty about the time of a change.
EXECUTORS_WATCH_WAIT_S = 0.5
# Final states are retained for minutes, and reading all of them takes only a
# few calls.
CLEANUP_INTERVAL_S = 60.0
CLEANUP_MARGIN_S = 10.0
# Each job needs a condition and a removal; the store accepts 32 rows in a
# transaction.
JOBS_PER_CLEANUP_TXN = 16


async def run_leader(leader: Leader, candidate: Candidate) -> None:
    """Runs the tasks of a leader until its leadership is lost."""
    lost = asyncio.create_task(leader.leadership.lost.wait())
    maintaining = asyncio.create_task(candidate.maintain(leader.leadership))
    committing = asyncio.create_task(leader.committer.run())
    scheduling = asyncio.create_task(_take_over_and_schedule(leader))
    tasks = (maintaining, committing, scheduling)
    try:
        done, _ = await asyncio.wait(
            (lost, *tasks), return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if task is not lost and task.exception() is not None:
                _log.error(
                    "background loop of the leader failed, resigning",
                    exc_info=task.exception(),
                )
                fault = find_input_fault(task.exception())
                if fault is not None:
                    await leader.input_faults.store(fault)
                # This leader's state may be wrong, so another host takes over.
                await candidate.resign()
        if leader.has_failed:
            await candidate.resign()
    finally:
        leader.leadership.lost.set()
        for task in (lost, *tasks):
            task.cancel()
        await asyncio.gather(lost, *tasks, return_exceptions=True)
        await leader.close()


async def _take_over_and_schedule(leader: Leader) -> None:
    while isinstance(loaded := await take_over(leader), Failure):
        _log.warning(
            "loading of jobs and executors failed, trying again",
            extra={"detail": loaded.failure().detail},
        )
        await leader.clock.sleep(RETRY_DELAY_S)
    jobs_revision, executors_revision = loaded.unwrap()
    async with asyncio.TaskGroup() as group:
        group.create_task(leader.run_rounds())
        group.create_task(leader.suspensions.run())
        group.create_task(_watch_jobs(leader, jobs_revision))
        group.create_task(_watch_executors(leader, executors_revision))
        group.create_task(_remove_expired_states(leader))


async def _watch_jobs(leader: Leader, revision: int) -> None:
    watcher = PrefixWatcher(
        leader.platform.store,
        JOBS_PREFIX,
        leader.clock,
        pause_s=JOBS_WATCH_PAUSE_S,
    )
    async for items, _ in watcher.changes(revision):
        await load_stored_jobs(leader, items)


async def _watch_executors(leader: Leader, revision: int) -> None:
    prefix = leader.platform.executors_prefix
    watcher = PrefixWatcher(
        leader.platform.store,
        prefix,
        leader.clock,
        wait_s=EXECUTORS_WATCH_WAIT_S,
        pause_s=EXECUTORS_WATCH_PAUSE_S,
    )
    async for changes, is_snapshot in watcher.changes(revision):
        items = latest_items(changes)
        decoded = decode_executors(
            leader, tuple(i for i in items if i.value is not None)
        )
        list_executors(
            leader, decoded.infos, written_after=watcher.written_after
        )
        for executor_id in decoded.unusable:
            leader.fleet.on_entry_unusable(executor_id)
        present = {i.id for i in decoded.infos} | decoded.unusable
        for executor_id in _unlisted_executors(
            leader, items, is_snapshot, present
        ):
            leader.fleet.on_unlisted(executor_id)


def latest_items(items: Iterable[Item]) -> tuple[Item, ...]:
    """Returns the last change of each key, in the order of first changes.

    Example:
        >>> changes = (Item("a", b"1", 1), Item("b", b"2", 2),
        ...            Item("a", None, 3))
        >>> [(item.key, item.value) for item in latest_items(changes)]
        [('a', None), ('b', b'2')]
    """
    return tuple({item.key: item for item in items}.values())


def _unlisted_executors(
    leader: Leader,
    items: tuple[Item, ...],
    is_snapshot: bool,
    present: set[str],
) -> set[str]:
    if is_snapshot:
        return set(leader.fleet.executors) - present
    prefix = leader.platform.executors_prefix
    return {i.key.removeprefix(prefix) for i in items} - present


async def _remove_expired_states(leader: Leader) -> None:
    """Periodically removes final states whose retention time is over."""
    store = leader.platform.store
    while True:
        await leader.clock.sleep(CLEANUP_INTERVAL_S)
        found = await store.scan(ENDED_PREFIX)
        if isinstance(found, Failure):
            continue
        ended_before = (
            leader.unix_time()
            - leader.limits.status_retention_s
            - CLEANUP_MARGIN_S
        )
        expired = [
            item
            for item in found.unwrap().items
            if _ended_at(item) < ended_before
        ]
        for first in range(0, len(expired), JOBS_PER_CLEANUP_TXN):
            await _remove_states(
                leader, expired[first : first + JOBS_PER_CLEANUP_TXN]
            )


def _ended_at(item: Item) -> float:
    """Returns when a job ended, infinity if its record is unreadable."""
    try:
        return decode_progress(item.value or b"").ended_at
    except DecodeError as exc:
        _log.error(
            "final state unreadable", extra={"key": item.key, "error": str(exc)}
        )
        return float("inf")


async def _remove_states(leader: Leader, items: list[Item]) -> None:
    # With the expected revisions, a transaction that is carried out late cannot
    # remove a newer state.
    txn = Txn(
        expected={item.key: item.revision for item in items},
        removed_keys=tuple(item.key for item in items),
    )
    match await leader.platform.store.commit(txn):
        case Success(reply) if reply.revision is not None:
            for item in items:
                job_id = item.key.removeprefix(ENDED_PREFIX)
                leader.workload.forget_ended(job_id)
        case _:
            _log.warning(
                "expired states not removed", extra={"jobs": len(items)}
            )
