"""What a new leader does before it starts anything.

It reads the executors that former leaders used, all jobs and their progress,
and claims every executor: the claim's answer lists all that runs there, and
nothing older can start there afterwards. An executor that does not answer may
run tasks that are listed nowhere, also of jobs accepted just after the
election, while the former leader did not know yet that it was replaced. Tasks
of these jobs that are not accounted for wait until the executor is claimed,
has another incarnation, or its last possible lease is over.
"""

__all__ = ["doubt_ends_s", "executor_infos", "load", "take_jobs"]

import asyncio
import logging

import msgspec
from returns.result import Failure, Result, Success

from dragonflybank.cell.election import CONFIRM_LIMIT_S
from dragonflybank.cell.jobs import Progress, decode_job, decode_progress
from dragonflybank.cell.keys import (
    EXECUTORS_KEY,
    JOBS_PREFIX,
    PROGRESS_PREFIX,
    job_of_key,
)
from dragonflybank.cell.leader import Leader
from dragonflybank.cell.links import (
    CLOCK_RATE_MIN,
    EXTEND_UNCONFIRMED_S,
    LAPSE_SLACK_S,
)
from dragonflybank.cell.ports import ExecutorInfo, Item
from dragonflybank.model.codes import Problem

_log = logging.getLogger(__name__)

# Attempt numbers of different leaderships are kept apart by this much, so
# that a number used by a former leader is never used again.
ATTEMPTS_PER_TERM = 1000
# A former leader's last start may be this late: it checks its key's age
# before each try of an order.
LAST_START_S = CONFIRM_LIMIT_S + 0.5


def doubt_ends_s(lease_s: float) -> float:
    """Returns the time after an election at which no old lease is left."""
    return EXTEND_UNCONFIRMED_S + lease_s / CLOCK_RATE_MIN + 2 * LAPSE_SLACK_S


async def load(leader: Leader) -> Result[tuple[int, int], Problem]:
    """Loads and claims all that a new leader needs to know.

    Returns:
        The revisions from which to watch jobs and executors.
    """
    store = leader.platform.store
    jobs, progress, listed, used = await asyncio.gather(
        store.scan(JOBS_PREFIX),
        store.scan(PROGRESS_PREFIX),
        store.scan(leader.platform.executors_prefix),
        store.get(EXECUTORS_KEY),
    )
    for got in (jobs, progress, listed, used):
        if isinstance(got, Failure):
            return got
    # Ends can be taken in only once their jobs are known.
    take_jobs(leader, jobs.unwrap().items, progress.unwrap().items)
    present = executor_infos(leader, listed.unwrap().items)
    former = _decode_used(used.unwrap())
    ends_at = leader.leadership.began_at + doubt_ends_s(leader.limits.lease_s)
    leader.unresolved.update((info.id, ends_at) for info in former)
    for info in present:
        leader.executor_listed(info)
    for info in former:
        if info.id not in leader.executors:
            leader.executor_listed(info)
            leader.executor_unlisted(info.id)
    _log.info(
        "taken over",
        extra={
            "epoch": leader.leadership.epoch,
            "term": leader.leadership.term,
            "jobs": len(leader.workload.jobs),
            "ended": len(leader.workload.ended),
            "executors": len(leader.executors),
            "unresolved": len(leader.unresolved),
        },
    )
    return Success((jobs.unwrap().revision, listed.unwrap().revision))


def take_jobs(
    leader: Leader,
    items: tuple[Item, ...],
    progress: tuple[Item, ...] = (),
) -> None:
    """Takes in accepted and cancelled jobs from the store."""
    stored = {item.key.removeprefix(PROGRESS_PREFIX): item for item in progress}
    cancels = []
    for item in items:
        job_id, is_cancel = job_of_key(item.key)
        if item.value is None:
            continue
        if is_cancel:
            cancels.append(job_id)
            continue
        _take_job(leader, item, stored.get(job_id))
    for job_id in cancels:
        leader.cancel(job_id)
    leader.wake()


def _take_job(leader: Leader, item: Item, stored: Item | None) -> None:
    now = leader.clock.now()
    try:
        job = decode_job(item.value)
        progress = decode_progress(stored.value) if stored else Progress()
    except msgspec.MsgspecError as exc:
        _log.error("job unreadable", extra={"key": item.key, "error": str(exc)})
        return
    leadership = leader.leadership
    is_old = now - leadership.began_at < LAST_START_S
    first = 1
    if is_old and leadership.term > 1:
        first = (leadership.term - 1) * ATTEMPTS_PER_TERM
    state = leader.workload.add(
        job,
        progress,
        revision=stored.revision if stored else 0,
        first_attempt=first,
        wall=leader.wall(),
        early_s=leader.limits.early_s,
        now=now,
    )
    if state is None:
        ended = leader.workload.ended.get(job.id)
        if ended is not None:
            leader.publish(job.id, ended[0])
    else:
        leader.publish(job.id, state.phase)
        state.is_doubtful = is_old
        leader.take_orphans(job.id)
        _log.info(
            "job known",
            extra={
                "job": job.id,
                "queue": job.queue.name,
                "revision": item.revision,
                "steps": len(job.steps),
                "age_s": round(leader.wall() - job.accepted_at, 3),
            },
        )


def executor_infos(
    leader: Leader, items: tuple[Item, ...]
) -> list[ExecutorInfo]:
    """Returns the executors of entries that can be read."""
    infos = []
    for item in items:
        match leader.platform.decode_executor(item.key, item.value or b""):
            case Success(info):
                infos.append(info)
            case Failure(failed):
                _log.warning(
                    "executor entry unusable",
                    extra={"key": item.key, "detail": failed.detail},
                )
    return infos


def _decode_used(item: Item | None) -> list[ExecutorInfo]:
    if item is None or item.value is None:
        return []
    return msgspec.json.decode(item.value, type=list[ExecutorInfo])
