"""Takeover by a new leader, before it starts any task.

The new leader reads all jobs and their progress, and claims every executor. The
reply to the claim lists everything that runs there, and no older leader can
start anything there afterwards. Earlier leaders stored the placement of each
attempt before they sent the start command, under the condition that they still
led. An attempt placed on an executor that cannot be claimed counts as running
until the executor is claimed, has a new incarnation, or the last possible lease
has expired. If a former leader suspended that lease, its time counts from then,
so that the number of leaders in between doesn't matter.
"""

__all__ = [
    "DecodedExecutors",
    "add_stored_jobs",
    "decode_executors",
    "list_executors",
    "load_stored_jobs",
    "take_over",
]

import asyncio
import logging
from collections.abc import Iterable, Sequence

import attrs
from returns.result import Failure, Result, Success

from dragonflybank.cell.input_faults import FaultPlace
from dragonflybank.cell.jobs import Progress, decode_job, decode_progress
from dragonflybank.cell.keys import (
    JOBS_PREFIX,
    PROGRESS_PREFIX,
    parse_job_key,
)
from dragonflybank.cell.leader import Leader
from dragonflybank.cell.ports import ExecutorInfo, Item
from dragonflybank.model.codes import Problem
from dragonflybank.model.decoding import DecodeError

_log = logging.getLogger(__name__)

# Jobs that are decoded and added before other work of the leader gets a turn. A
# job of the largest size takes some milliseconds.
JOBS_PER_TURN = 10


@attrs.frozen
class DecodedExecutors:
    """Executor entries after decoding.

    Attributes:
        infos: Executors of the entries that were decoded.
        unusable: Identifiers in the keys of the other entries. Such an entry
            is no proof that its executor has left.
    """

    infos: tuple[ExecutorInfo, ...]
    unusable: frozenset[str]


async def take_over(leader: Leader) -> Result[tuple[int, int], Problem]:
    """Loads the state that a new leader needs and starts claiming executors.

    Returns:
        The revisions from which to watch jobs and executors.
    """
    store = leader.platform.store
    jobs, progress, listed, faults, suspensions = await asyncio.gather(
        store.scan(JOBS_PREFIX),
        store.scan(PROGRESS_PREFIX),
        store.scan(leader.platform.executors_prefix),
        leader.input_faults.load(),
        leader.suspensions.load(),
    )
    for got in (jobs, progress, listed, faults, suspensions):
        if isinstance(got, Failure):
            return got
    items = jobs.unwrap().items
    cancels = [i for i in items if parse_job_key(i.key)[1]]
    _set_aside_faulty_jobs(leader, items)
    # Ends can only be processed after their jobs are loaded.
    await load_stored_jobs(
        leader,
        [i for i in items if not parse_job_key(i.key)[1]],
        progress.unwrap().items,
    )
    list_executors(
        leader, decode_executors(leader, listed.unwrap().items).infos
    )
    placed = leader.attempts.restore_placed()
    # A cancelled job is dropped unless its attempts are known.
    add_stored_jobs(leader, cancels)
    leader.is_loaded = True
    _log.info(
        "taken over",
        extra={
            "epoch": leader.leadership.epoch,
            "term": leader.leadership.term,
            "jobs": len(leader.workload.jobs),
            "ended": len(leader.workload.ended),
            "executors": len(leader.fleet.executors),
            "placed": placed,
            "suspended": sum(
                e.suspension is not None
                for e in leader.fleet.executors.values()
            ),
        },
    )
    return Success((jobs.unwrap().revision, listed.unwrap().revision))


def _set_aside_faulty_jobs(leader: Leader, items: Iterable[Item]) -> None:
    faults = leader.input_faults
    faults.forget_ended({parse_job_key(item.key)[0] for item in items})
    leader.workload.set_aside = faults.set_aside()
    leader.committer.set_aside = faults.set_aside(FaultPlace.COMMIT)
    leader.committer.suspects = faults.suspects()


async def load_stored_jobs(
    leader: Leader,
    items: Sequence[Item],
    progress: Iterable[Item] = (),
) -> None:
    """Adds many jobs as `add_stored_jobs` does, a few at a time.

    The leader can confirm its key in between. A change of a job that arrives
    meanwhile is found again by the watch, which begins at an earlier revision.
    """
    stored = {item.key.removeprefix(PROGRESS_PREFIX): item for item in progress}
    cancels = [i for i in items if parse_job_key(i.key)[1]]
    jobs = [i for i in items if not parse_job_key(i.key)[1]]
    for first in range(0, len(jobs), JOBS_PER_TURN):
        part = jobs[first : first + JOBS_PER_TURN]
        ids = [parse_job_key(item.key)[0] for item in part]
        add_stored_jobs(
            leader, part, [stored[job] for job in ids if job in stored]
        )
        await leader.clock.sleep(0.0)
    add_stored_jobs(leader, cancels)


def add_stored_jobs(
    leader: Leader,
    items: Iterable[Item],
    progress: Iterable[Item] = (),
) -> None:
    """Adds accepted jobs from the store and applies stored cancellations."""
    stored = {item.key.removeprefix(PROGRESS_PREFIX): item for item in progress}
    cancels = []
    for item in items:
        job_id, is_cancel = parse_job_key(item.key)
        if item.value is None:
            continue
        if is_cancel:
            cancels.append(job_id)
            continue
        try:
            _add_stored_job(leader, item, stored.get(job_id))
        except Exception:
            _log.exception("job set aside", extra={"key": item.key})
            leader.metrics.isolated_faults.labels("stored job").inc()
    for job_id in cancels:
        leader.cancel(job_id)
    leader.wake()


def _add_stored_job(leader: Leader, item: Item, stored: Item | None) -> None:
    now = leader.clock.now()
    try:
        job = decode_job(item.value)
        progress = decode_progress(stored.value) if stored else Progress()
    except DecodeError as exc:
        leader.metrics.malformed_inputs.labels("stored job").inc()
        _log.error("job unreadable", extra={"key": item.key, "error": str(exc)})
        return
    state = leader.workload.add(
        job,
        progress,
        revision=stored.revision if stored else 0,
        unix_time=leader.unix_time(),
        max_early_start_s=leader.limits.max_early_start_s,
        now=now,
    )
    # A job that has ended in memory may not be stored as ended yet.
    if state is not None:
        leader.record_live(job.id, state.phase)
        leader.update_queue(state)
        _log.info(
            "job added",
            extra={
                "job": job.id,
                "queue": job.queue.name,
                "team": job.team,
                "revision": item.revision,
                "steps": len(job.steps),
                "age_s": round(leader.unix_time() - job.accepted_at, 3),
            },
        )


def decode_executors(
    leader: Leader, items: tuple[Item, ...]
) -> DecodedExecutors:
    """Decodes executor entries; those that cannot be decoded are reported."""
    prefix = leader.platform.executors_prefix
    infos, unusable = [], set()
    for item in items:
        match leader.platform.decode_executor(item.key, item.value or b""):
            case Success(info):
                infos.append(info)
            case Failure(failed):
                unusable.add(item.key.removeprefix(prefix))
                _report_unusable_entry(leader, item, failed)
    return DecodedExecutors(tuple(infos), frozenset(unusable))


def list_executors(
    leader: Leader,
    infos: Iterable[ExecutorInfo],
    *,
    written_after: float = float("-inf"),
) -> None:
    """Adds or updates executors; one that causes an exception is left out.

    Args:
        leader: The leader.
        infos: Decoded entries.
        written_after: Time after which the entries were written.
    """
    for info in infos:
        try:
            leader.fleet.on_listed(info, written_after=written_after)
        except Exception:
            _log.exception("executor set aside", extra={"executor": info.id})
            leader.metrics.isolated_faults.labels("executor entry").inc()


def _report_unusable_entry(
    leader: Leader, item: Item, problem: Problem
) -> None:
    # A scan returns entries that were reported before.
    if leader.reported_entries.get(item.key) == item.revision:
        return
    leader.reported_entries[item.key] = item.revision
    leader.metrics.malformed_inputs.labels("executor entry").inc()
    _log.warning(
        "executor entry unusable",
        extra={
            "key": item.key,
            "revision": item.revision,
            "code": problem.code.name,
            "field": problem.field,
            "detail": problem.detail,
            "accepted": problem.accepted,
        },
    )
