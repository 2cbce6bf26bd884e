"""The steps of the matrix, at which the fault is injected."""

__all__ = ["STEPS", "Step", "run_step"]

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from dragonflybank.bench.deployment import wait_until
from dragonflybank.bench.matrix.breakpoints import (
    STORE_CALLS,
    CallPattern,
)
from dragonflybank.bench.matrix.cell_run import CellRun
from dragonflybank.bench.matrix.client import Job
from dragonflybank.bench.matrix.faults import ANY_FINAL_OUTCOME
from dragonflybank.bench.matrix.layout import (
    BILLED_CLASS,
    FAR_TEAM,
    REPEATABLE_CLASS,
)
from dragonflybank.model.work import Outcome
from dragonflybank.standins.faults import HookTiming

JOURNAL_WRITE, STAGED_WRITE, ACTIVE_WRITE, _ = STORE_CALLS
# Longer than the interval of 3 s between two renewals.
TASK_RUN_TIME_S = 4.0
# More tasks than one worker can run, so that other owners are asked.
REPEATABLE_TASKS = 6
STEP_TIMEOUT_S = 60.0
StepFunction = Callable[[CellRun], Awaitable[None]]


@attrs.frozen
class Step:
    """A column of the matrix.

    Attributes:
        name: Name in test names.
        title: Heading of the column in the fault matrix page.
        injection_point: Description of when and where the fault is injected.
        run: Brings the deployment to the step.
        prepare: Called before the hosts are started.
    """

    name: str
    title: str
    injection_point: str
    run: StepFunction
    prepare: Callable[[CellRun], None] = lambda cell_run: None


async def run_step(step: Step, cell_run: CellRun) -> None:
    """Starts the deployment and brings it to the step."""
    step.prepare(cell_run)
    await cell_run.deployment.start()
    await cell_run.deployment.wait_until_ready()
    await step.run(cell_run)


def _select_home(cell_run: CellRun) -> Callable[[str], str]:
    home_host = cell_run.deployment.home_host()
    return lambda server: home_host


def _select_owner(cell_run: CellRun) -> Callable[[str], str]:
    return lambda server: cell_run.deployment.workers[server].owner


async def _run_jobs(cell_run: CellRun) -> None:
    """Runs a billed and a repeatable job until their answers are final.

    With two regions, a repeatable job of the far region runs too.
    """
    jobs = [
        Job(
            "bill",
            BILLED_CLASS,
            frozenset({Outcome.DONE}) | cell_run.fault.extra_outcomes,
            run_s=TASK_RUN_TIME_S,
        ),
        Job(
            "table",
            REPEATABLE_CLASS,
            run_s=TASK_RUN_TIME_S,
            tasks=REPEATABLE_TASKS,
        ),
    ]
    if cell_run.fault.two_regions:
        jobs.append(
            Job(
                "far-table",
                REPEATABLE_CLASS,
                run_s=TASK_RUN_TIME_S,
                team=FAR_TEAM,
            )
        )
    await asyncio.gather(
        *(cell_run.client.submit_and_wait(job) for job in jobs)
    )


async def _accept(cell_run: CellRun) -> None:
    submit = CallPattern("peer", "job_submit")
    cell_run.inject_at(submit, HookTiming.BEFORE, lambda receiver: receiver)
    await _run_jobs(cell_run)


async def _record(cell_run: CellRun) -> None:
    cell_run.inject_at(JOURNAL_WRITE, HookTiming.BEFORE, _select_home(cell_run))
    await _run_jobs(cell_run)


async def _queue(cell_run: CellRun) -> None:
    """Injects the fault while jobs wait for the quota of their team."""
    names = ("first", "second", "third", "fourth")
    expected_outcomes = frozenset({Outcome.DONE})
    jobs = [
        Job(
            name,
            wc,
            expected_outcomes | extra_outcomes,
            run_s=TASK_RUN_TIME_S,
            team="tight",
        )
        for name, (wc, extra_outcomes) in zip(
            names,
            2
            * (
                (REPEATABLE_CLASS, expected_outcomes),
                (BILLED_CLASS, cell_run.fault.extra_outcomes),
            ),
            strict=True,
        )
    ]
    jobs_task = asyncio.gather(
        *(cell_run.client.submit_and_wait(job) for job in jobs)
    )

    async def is_queued() -> bool:
        running = sum(
            len(_running_tasks(cell_run, name))
            for name in cell_run.deployment.workers
        )
        return running >= 2 and len(cell_run.client.accepted) == len(jobs)

    await wait_until(is_queued, timeout_s=STEP_TIMEOUT_S)
    await cell_run.inject(cell_run.deployment.home_host("tight"))
    await jobs_task


async def _choose(cell_run: CellRun) -> None:
    home_host = cell_run.deployment.home_host()

    async def owns_one_worker_at_most() -> bool:
        workers = cell_run.deployment.workers.values()
        return sum(w.owner == home_host for w in workers) <= 1

    # A home that started first owns all workers until it hands some over. It
    # would run all tasks on its own workers and ask no other host.
    await wait_until(owns_one_worker_at_most, timeout_s=STEP_TIMEOUT_S)
    cell_run.inject_at(
        CallPattern("peer", "reserve"),
        HookTiming.BEFORE,
        _select_home(cell_run),
    )
    await _run_jobs(cell_run)


def _prepare_claim(cell_run: CellRun) -> None:
    cell_run.inject_at(
        CallPattern("worker", "claim"),
        HookTiming.AFTER,
        _select_owner(cell_run),
    )


async def _start_sent(cell_run: CellRun) -> None:
    cell_run.inject_at(
        CallPattern("worker", "start"),
        HookTiming.BEFORE,
        _select_owner(cell_run),
        hold_call=True,
    )
    await _run_jobs(cell_run)


async def _start_done(cell_run: CellRun) -> None:
    cell_run.inject_at(
        CallPattern("worker", "start"), HookTiming.AFTER, _select_home(cell_run)
    )
    await _run_jobs(cell_run)


async def _run(cell_run: CellRun) -> None:
    # On a slow machine the first tasks would end before the last one starts.
    workers = [server.work for server in cell_run.deployment.workers.values()]
    for work in workers:
        work.hold_ends()
    jobs_task = asyncio.create_task(_run_jobs(cell_run))

    async def is_running() -> bool:
        running = sum(
            len(_running_tasks(cell_run, name))
            for name in cell_run.deployment.workers
        )
        return running > REPEATABLE_TASKS

    await wait_until(is_running, timeout_s=STEP_TIMEOUT_S)
    worker = next(
        n for n in cell_run.deployment.workers if _running_tasks(cell_run, n)
    )
    await cell_run.inject(cell_run.deployment.workers[worker].owner, worker)
    for work in workers:
        work.release_ends()
    await jobs_task


async def _renew(cell_run: CellRun) -> None:
    cell_run.inject_at(
        CallPattern("worker", "renew"),
        HookTiming.BEFORE,
        _select_owner(cell_run),
        matches_server=lambda name: bool(_running_tasks(cell_run, name)),
    )
    await _run_jobs(cell_run)


async def _result_back(cell_run: CellRun) -> None:
    cell_run.inject_at(
        CallPattern("worker", "events"),
        HookTiming.AFTER,
        _select_owner(cell_run),
        matches_server=lambda name: bool(
            cell_run.deployment.workers[name].work.unacked_tasks()
        ),
    )
    await _run_jobs(cell_run)


async def _result_told(cell_run: CellRun) -> None:
    cell_run.inject_at(
        CallPattern("worker", "ack"), HookTiming.BEFORE, _select_home(cell_run)
    )
    await _run_jobs(cell_run)


async def _cancel(cell_run: CellRun) -> None:
    """Injects the fault while running and waiting jobs are cancelled."""
    jobs = [
        Job(
            f"drop-{n}",
            (BILLED_CLASS, REPEATABLE_CLASS)[n % 2],
            ANY_FINAL_OUTCOME,
            3 * TASK_RUN_TIME_S,
            team=team,
        )
        for n, team in enumerate(("makers", "tight", "tight", "tight"))
    ]
    cancelled_jobs = [
        attrs.evolve(
            job,
            expected_outcomes=ANY_FINAL_OUTCOME | cell_run.fault.extra_outcomes,
        )
        for job in jobs
    ]
    await asyncio.gather(
        *(cell_run.client.submit(job) for job in cancelled_jobs)
    )
    jobs_task = asyncio.create_task(_run_jobs(cell_run))
    cancel = CallPattern("peer", "job_cancel")
    cell_run.inject_at(cancel, HookTiming.BEFORE, lambda receiver: receiver)
    await asyncio.gather(
        *(cell_run.client.cancel(job) for job in cancelled_jobs)
    )
    await asyncio.gather(
        *(cell_run.client.wait_until_final(job) for job in cancelled_jobs)
    )
    await jobs_task


async def _drain(cell_run: CellRun) -> None:
    jobs_task = asyncio.create_task(_run_jobs(cell_run))
    await _wait_until_running(cell_run)
    home_host = cell_run.deployment.home_host()
    cell_run.inject_at(
        JOURNAL_WRITE, HookTiming.BEFORE, lambda server: home_host
    )
    await cell_run.deployment.drain(home_host)
    await jobs_task


async def _takeover(cell_run: CellRun) -> None:
    home_host = cell_run.deployment.home_host()

    async def is_owner() -> bool:
        return any(
            w.owner == home_host for w in cell_run.deployment.workers.values()
        )

    # A home that started last may own no worker yet. If it is killed then, no
    # other host claims a worker, and the step is never reached.
    await wait_until(is_owner, timeout_s=STEP_TIMEOUT_S)
    jobs_task = asyncio.create_task(_run_jobs(cell_run))
    await _wait_until_running(cell_run)
    cell_run.inject_at(
        CallPattern("worker", "claim"),
        HookTiming.AFTER,
        _select_owner(cell_run),
    )
    cell_run.deployment.kill(home_host)
    await jobs_task


async def _stage(cell_run: CellRun) -> None:
    jobs_task = asyncio.create_task(_run_jobs(cell_run))
    contact = cell_run.deployment.non_home_host()
    cell_run.inject_at(STAGED_WRITE, HookTiming.BEFORE, lambda server: contact)
    await _stage_and_apply(cell_run, contact)
    await jobs_task


async def _apply(cell_run: CellRun) -> None:
    jobs_task = asyncio.create_task(_run_jobs(cell_run))
    contact = cell_run.deployment.non_home_host()
    cell_run.inject_at(ACTIVE_WRITE, HookTiming.BEFORE, lambda server: contact)
    await _stage_and_apply(cell_run, contact)
    await jobs_task


async def _spread(cell_run: CellRun) -> None:
    jobs_task = asyncio.create_task(_run_jobs(cell_run))
    contact = cell_run.deployment.non_home_host()
    other_host = next(
        n for n in cell_run.deployment.live_hosts() if n != contact
    )
    cell_run.inject_at(
        ACTIVE_WRITE, HookTiming.AFTER, lambda server: other_host
    )
    await _stage_and_apply(cell_run, contact)
    await jobs_task


async def _restart(cell_run: CellRun) -> None:
    """Injects the fault at a host restarted after a new generation."""
    jobs_task = asyncio.create_task(_run_jobs(cell_run))
    contact = cell_run.deployment.non_home_host()
    other_host = next(
        n for n in cell_run.deployment.live_hosts() if n != contact
    )
    await _stage_and_apply(cell_run, contact)
    await cell_run.deployment.drain(other_host)
    await cell_run.deployment.start_host(
        cell_run.deployment.hosts[other_host].spec
    )
    await cell_run.inject(other_host)
    await jobs_task


async def _stage_and_apply(cell_run: CellRun, host: str) -> None:
    text = f"stage calmer: set class.{REPEATABLE_CLASS}.value = 7"
    staged = await cell_run.client.run_command(text, "ada", host=host)
    cell_run.check(staged["code"] == 0, f"stage: {staged}")
    applied = await cell_run.client.run_command(
        "apply calmer", "ada", host=host
    )
    cell_run.check(applied["code"] == 0, f"apply: {applied}")


async def _wait_until_running(cell_run: CellRun) -> None:
    async def is_running() -> bool:
        return any(
            _running_tasks(cell_run, name)
            for name in cell_run.deployment.workers
        )

    await wait_until(is_running, timeout_s=STEP_TIMEOUT_S)


def _running_tasks(cell_run: CellRun, worker: str) -> list:
    return cell_run.deployment.workers[worker].work.running_tasks()


STEPS = (
    Step(
        "accept",
        "accept",
        "the submission is on its way to the home; the home is struck",
        _accept,
    ),
    Step(
        "record",
        "record",
        "the first journal write arrives at the store; the home is struck",
        _record,
    ),
    Step(
        "queue",
        "queue",
        "two tasks run, two jobs wait for their quota; the home is struck",
        _queue,
    ),
    Step(
        "choose",
        "choose",
        "the home's request for room is on its way to an owner; the home is"
        " struck",
        _choose,
    ),
    Step(
        "claim",
        "claim a worker",
        "the first claim has taken effect, its answer has not left; the"
        " claimer is struck",
        _run_jobs,
        _prepare_claim,
    ),
    Step(
        "start_sent",
        "start, in flight",
        "the first start arrives at its worker and is held back for 8 s; the"
        " owner is struck",
        _start_sent,
    ),
    Step(
        "start_done",
        "start, taken effect",
        "the first start has taken effect, its answer has not left; the home"
        " is struck",
        _start_done,
    ),
    Step("run", "run", "all tasks run; an owner is struck", _run),
    Step(
        "renew",
        "renew",
        "a renewal arrives at a worker with tasks; the owner is struck",
        _renew,
    ),
    Step(
        "result_back",
        "result back to the host",
        "the end of a task is about to be reported; the owner is struck",
        _result_back,
    ),
    Step(
        "result_told",
        "result to the caller",
        "a result is journalled, its acknowledgement arrives at the worker;"
        " the home is struck",
        _result_told,
    ),
    Step(
        "cancel",
        "cancel",
        "a cancellation is on its way to the home; the home is struck",
        _cancel,
    ),
    Step(
        "drain",
        "drain",
        "the first journal write after SIGTERM; the draining home is struck",
        _drain,
    ),
    Step(
        "takeover",
        "takeover",
        "the home was killed, the first claim has taken effect; the claimer"
        " is struck",
        _takeover,
    ),
    Step(
        "stage",
        "configuration: stage",
        "the staged change arrives at the store; the host that was asked is"
        " struck",
        _stage,
    ),
    Step(
        "apply",
        "configuration: apply",
        "the new generation arrives at the store; the host that was asked is"
        " struck",
        _apply,
    ),
    Step(
        "spread",
        "configuration: spread",
        "the new generation was written; another host is struck",
        _spread,
    ),
    Step(
        "restart",
        "configuration: restart",
        "a host was drained and started again; this host is struck",
        _restart,
    ),
)
