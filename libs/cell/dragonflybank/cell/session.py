"""One leadership, from the election to its loss."""

__all__ = ["lead"]

import asyncio
import logging

import msgspec
from returns.result import Failure, Success

from dragonflybank.cell.election import LEADER_KEY, RETRY_S, Candidate
from dragonflybank.cell.keys import (
    EXECUTORS_KEY,
    JOBS_PREFIX,
    cancel_key,
    job_key,
    progress_key,
)
from dragonflybank.cell.leader import Leader
from dragonflybank.cell.ports import Item, Txn
from dragonflybank.cell.takeover import executor_infos, load, take_jobs
from dragonflybank.cell.watching import Watch

_log = logging.getLogger(__name__)

RECORD_POLL_S = 0.05
CLEAN_EVERY_S = 5.0
# Three keys of a job and the leader's key; the store takes 32 rows.
JOBS_PER_CLEANING = 9


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
    finally:
        leader.leadership.lost.set()
        for task in (lost, *tasks):
            task.cancel()
        await asyncio.gather(lost, *tasks, return_exceptions=True)
        await leader.close()


async def _work(leader: Leader) -> None:
    while isinstance(loaded := await load(leader), Failure):
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
        group.create_task(_record_executors(leader))
        group.create_task(_clean(leader))


async def _watch_jobs(leader: Leader, revision: int) -> None:
    watch = Watch(leader.platform.store, JOBS_PREFIX, leader.clock)
    async for items, _ in watch.changes(revision):
        take_jobs(leader, items)


async def _watch_executors(leader: Leader, revision: int) -> None:
    prefix = leader.platform.executors_prefix
    watch = Watch(leader.platform.store, prefix, leader.clock)
    async for items, is_whole in watch.changes(revision):
        infos = executor_infos(
            leader, tuple(i for i in items if i.value is not None)
        )
        for info in infos:
            leader.executor_listed(info)
        gone = _unlisted(leader, items, is_whole, {i.id for i in infos})
        for executor_id in gone:
            leader.executor_unlisted(executor_id)


def _unlisted(
    leader: Leader, items: tuple[Item, ...], is_whole: bool, present: set[str]
) -> set[str]:
    if is_whole:
        return set(leader.executors) - present
    prefix = leader.platform.executors_prefix
    return {i.key.removeprefix(prefix) for i in items} - present


async def _record_executors(leader: Leader) -> None:
    """Stores which executors are used before anything starts on them."""
    revision: int | None = None
    while True:
        new = [
            e
            for e in leader.executors.values()
            if e.claimed and not e.is_recorded
        ]
        if not new:
            await leader.clock.sleep(RECORD_POLL_S)
            continue
        if revision is None:
            found = await leader.platform.store.get(EXECUTORS_KEY)
            if isinstance(found, Failure):
                await leader.clock.sleep(RETRY_S)
                continue
            revision = found.unwrap().revision if found.unwrap() else 0
        infos = [e.info for e in leader.executors.values()]
        called_at = leader.clock.now()
        txn = Txn(
            expected={
                LEADER_KEY: leader.leadership.epoch,
                EXECUTORS_KEY: revision,
            },
            puts={EXECUTORS_KEY: msgspec.json.encode(infos)},
        )
        match await leader.platform.store.commit(txn):
            case Success(reply) if reply.revision is not None:
                revision = reply.revision
                leader.leadership.confirm(called_at)
                for executor in new:
                    executor.is_recorded = True
                leader.wake()
            case Success(_):
                # The confirmation loop finds out whether the key is gone.
                revision = None
                await leader.clock.sleep(RETRY_S)
            case Failure(_):
                revision = None
                await leader.clock.sleep(RETRY_S)


async def _clean(leader: Leader) -> None:
    """Removes the keys of jobs whose state need not be kept any more."""
    while True:
        await leader.clock.sleep(CLEAN_EVERY_S)
        limit = leader.wall() - leader.limits.status_s - CLEAN_EVERY_S
        workload = leader.workload
        old = [
            job_id
            for job_id, (_, ended_at) in workload.ended.items()
            if ended_at < limit and job_id not in workload.jobs
        ][:JOBS_PER_CLEANING]
        if not old:
            continue
        keys = tuple(
            key(job_id)
            for job_id in old
            for key in (job_key, cancel_key, progress_key)
        )
        txn = Txn(expected={LEADER_KEY: leader.leadership.epoch}, removed=keys)
        match await leader.platform.store.commit(txn):
            case Success(reply) if reply.revision is not None:
                for job_id in old:
                    del workload.ended[job_id]
            case _:
                _log.warning("old jobs not removed", extra={"jobs": len(old)})
