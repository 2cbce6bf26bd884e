"""The steps of the matrix: at which call the fault strikes."""

__all__ = ["STEPS", "Step", "play"]

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from dragonflybank.bench.deployment import wait_until
from dragonflybank.bench.matrix.breakpoints import (
    STORE_POINTS,
    Point,
)
from dragonflybank.bench.matrix.cell_run import Scene
from dragonflybank.bench.matrix.client import Job
from dragonflybank.bench.matrix.faults import ANY_END
from dragonflybank.bench.matrix.layout import (
    BILLED,
    FAR_TEAM,
    TABLE,
)
from dragonflybank.model.work import Outcome
from dragonflybank.standins.faults import HookTiming

JOURNAL, STAGED, ACTIVE, _ = STORE_POINTS
# Longer than the 3 s between two renewals.
RUN_S = 4.0
# More tasks than one worker can hold, so that other owners are asked.
TASKS = 6
LIMIT_S = 60.0
Play = Callable[[Scene], Awaitable[None]]


@attrs.frozen
class Step:
    """A column of the matrix.

    Attributes:
        name: Name in test names.
        title: Words of the design page.
        strikes: The call at which the fault strikes, in words.
        drive: Brings the deployment to the step.
        prepare: Called before the hosts are started.
    """

    name: str
    title: str
    strikes: str
    drive: Play
    prepare: Callable[[Scene], None] = lambda scene: None


async def play(step: Step, scene: Scene) -> None:
    """Starts the deployment and brings it to the step."""
    step.prepare(scene)
    await scene.world.start()
    await scene.world.wait_ready()
    await step.drive(scene)


def _home(scene: Scene) -> Callable[[str], str]:
    home = scene.world.home()
    return lambda server: home


def _owner(scene: Scene) -> Callable[[str], str]:
    return lambda server: scene.world.workers[server].owner


async def _work(scene: Scene) -> None:
    """Runs billed and repeatable jobs to their ends."""
    jobs = [
        Job(
            "bill",
            BILLED,
            frozenset({Outcome.DONE}) | scene.fault.spoils,
            run_s=RUN_S,
        ),
        Job("table", TABLE, run_s=RUN_S, tasks=TASKS),
    ]
    if scene.fault.two_regions:
        jobs.append(Job("far-table", TABLE, run_s=RUN_S, team=FAR_TEAM))
    await asyncio.gather(*(scene.calls.job(job) for job in jobs))


async def _accept(scene: Scene) -> None:
    submit = Point("peer", "job_submit")
    scene.trap(submit, HookTiming.BEFORE, lambda receiver: receiver)
    await _work(scene)


async def _record(scene: Scene) -> None:
    scene.trap(JOURNAL, HookTiming.BEFORE, _home(scene))
    await _work(scene)


async def _queue(scene: Scene) -> None:
    """Jobs above the quota of their team wait when the fault strikes."""
    names = ("first", "second", "third", "fourth")
    expect = frozenset({Outcome.DONE})
    jobs = [
        Job(name, wc, expect | spoils, run_s=RUN_S, team="tight")
        for name, (wc, spoils) in zip(
            names,
            2 * ((TABLE, expect), (BILLED, scene.fault.spoils)),
            strict=True,
        )
    ]
    running = asyncio.gather(*(scene.calls.job(job) for job in jobs))

    async def is_queued() -> bool:
        held = sum(len(_running(scene, name)) for name in scene.world.workers)
        return held >= 2 and len(scene.calls.accepted) == len(jobs)

    await wait_until(is_queued, timeout_s=LIMIT_S)
    await scene.strike(scene.world.home("tight"))
    await running


async def _choose(scene: Scene) -> None:
    scene.trap(Point("peer", "reserve"), HookTiming.BEFORE, _home(scene))
    await _work(scene)


def _prepare_claim(scene: Scene) -> None:
    scene.trap(Point("worker", "claim"), HookTiming.AFTER, _owner(scene))


async def _start_sent(scene: Scene) -> None:
    scene.trap(
        Point("worker", "start"), HookTiming.BEFORE, _owner(scene), held=True
    )
    await _work(scene)


async def _start_done(scene: Scene) -> None:
    scene.trap(Point("worker", "start"), HookTiming.AFTER, _home(scene))
    await _work(scene)


async def _run(scene: Scene) -> None:
    working = asyncio.create_task(_work(scene))

    async def is_running() -> bool:
        held = sum(len(_running(scene, name)) for name in scene.world.workers)
        return held > TASKS

    await wait_until(is_running, timeout_s=LIMIT_S)
    worker = next(n for n in scene.world.workers if _running(scene, n))
    await scene.strike(scene.world.workers[worker].owner, worker)
    await working


async def _renew(scene: Scene) -> None:
    scene.trap(
        Point("worker", "renew"),
        HookTiming.BEFORE,
        _owner(scene),
        accepts=lambda name: bool(_running(scene, name)),
    )
    await _work(scene)


async def _result_back(scene: Scene) -> None:
    scene.trap(
        Point("worker", "events"),
        HookTiming.AFTER,
        _owner(scene),
        accepts=lambda name: bool(
            scene.world.workers[name].work.unacked_tasks()
        ),
    )
    await _work(scene)


async def _result_told(scene: Scene) -> None:
    scene.trap(Point("worker", "ack"), HookTiming.BEFORE, _home(scene))
    await _work(scene)


async def _cancel(scene: Scene) -> None:
    """Running and waiting jobs are cancelled."""
    jobs = [
        Job(f"drop-{n}", (BILLED, TABLE)[n % 2], ANY_END, 3 * RUN_S, team=team)
        for n, team in enumerate(("makers", "tight", "tight", "tight"))
    ]
    spoilt = [
        attrs.evolve(job, expect=ANY_END | scene.fault.spoils) for job in jobs
    ]
    await asyncio.gather(*(scene.calls.submit(job) for job in spoilt))
    working = asyncio.create_task(_work(scene))
    cancel = Point("peer", "job_cancel")
    scene.trap(cancel, HookTiming.BEFORE, lambda receiver: receiver)
    await asyncio.gather(*(scene.calls.cancel(job) for job in spoilt))
    await asyncio.gather(*(scene.calls.wait(job) for job in spoilt))
    await working


async def _drain(scene: Scene) -> None:
    working = asyncio.create_task(_work(scene))
    await _until_running(scene)
    home = scene.world.home()
    scene.trap(JOURNAL, HookTiming.BEFORE, lambda server: home)
    await scene.world.drain(home)
    await working


async def _takeover(scene: Scene) -> None:
    home = scene.world.home()

    async def is_owner() -> bool:
        return any(w.owner == home for w in scene.world.workers.values())

    # A home that started last may own no worker yet, and nobody claims
    # anything after its death then.
    await wait_until(is_owner, timeout_s=LIMIT_S)
    working = asyncio.create_task(_work(scene))
    await _until_running(scene)
    scene.trap(Point("worker", "claim"), HookTiming.AFTER, _owner(scene))
    scene.world.kill(home)
    await working


async def _stage(scene: Scene) -> None:
    working = asyncio.create_task(_work(scene))
    asked = scene.world.entry()
    scene.trap(STAGED, HookTiming.BEFORE, lambda server: asked)
    await _stage_and_apply(scene, asked)
    await working


async def _apply(scene: Scene) -> None:
    working = asyncio.create_task(_work(scene))
    asked = scene.world.entry()
    scene.trap(ACTIVE, HookTiming.BEFORE, lambda server: asked)
    await _stage_and_apply(scene, asked)
    await working


async def _spread(scene: Scene) -> None:
    working = asyncio.create_task(_work(scene))
    asked = scene.world.entry()
    other = next(n for n in scene.world.live() if n != asked)
    scene.trap(ACTIVE, HookTiming.AFTER, lambda server: other)
    await _stage_and_apply(scene, asked)
    await working


async def _restart(scene: Scene) -> None:
    """A host is started again while a new generation is in force."""
    working = asyncio.create_task(_work(scene))
    asked = scene.world.entry()
    other = next(n for n in scene.world.live() if n != asked)
    await _stage_and_apply(scene, asked)
    await scene.world.drain(other)
    await scene.world.start_host(scene.world.hosts[other].spec)
    await scene.strike(other)
    await working


async def _stage_and_apply(scene: Scene, host: str) -> None:
    text = f"stage calmer: set class.{TABLE}.value = 7"
    staged = await scene.calls.query(text, "ada", host=host)
    scene.check(staged["code"] == 0, f"stage: {staged}")
    applied = await scene.calls.query("apply calmer", "ada", host=host)
    scene.check(applied["code"] == 0, f"apply: {applied}")


async def _until_running(scene: Scene) -> None:
    async def is_running() -> bool:
        return any(_running(scene, name) for name in scene.world.workers)

    await wait_until(is_running, timeout_s=LIMIT_S)


def _running(scene: Scene, worker: str) -> list:
    return scene.world.workers[worker].work.running_tasks()


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
        _work,
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
