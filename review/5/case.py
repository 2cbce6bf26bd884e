"""A queue is moved to another service while accepted jobs wait for room."""

import asyncio
import pathlib

from standins.lab import FINISH_S, Lab, run_case

FOLDER = pathlib.Path(__file__).resolve().parent
OLD, NEW = "tooling-old", "tooling-new"
# They take all cores of the two executors of the old service.
MONITORS = 4
SWEEPS = 8
SWEEP_CPU = 2000
APPLY_S = 2.5
WATCHED_S = 3.0
QUEUE = {
    "priority": 1,
    "max_attempts": 3,
    "slack_factor": 4.0,
    "target_duration_ms": 3000,
}
MONITORS_ROUTE = {
    **QUEUE,
    "name": "monitors",
    "prefix": "/monitors/",
    "service": OLD,
}
SWEEPS_ROUTE = {**QUEUE, "name": "sweeps", "prefix": "/sweeps/"}
MONITOR = {
    "spec": "monitor",
    "steps": [{"count": 1, "cpu": 4000, "mem_mb": 512, "long_running": True}],
}
SWEEP = {
    "spec": "sweep",
    "steps": [
        {"count": 1, "cpu": SWEEP_CPU, "mem_mb": 512, "estimated_ms": 1000}
    ],
}


async def play(folder: pathlib.Path) -> int:
    """Plays the case; returns 1 if accepted jobs are left waiting."""
    lab = Lab(folder, work_s=lambda _: 1.0)
    try:
        await lab.start(
            [MONITORS_ROUTE, {**SWEEPS_ROUTE, "service": OLD}],
            services=(OLD, NEW),
        )
        for _ in range(MONITORS):
            await lab.submit("monitors", MONITOR)
        if not await lab.wait_for(
            lambda: len(lab.fleet.running()) == MONITORS, 8.0
        ):
            lab.note("the tasks that last were not started")
            return 2
        sweeps = [await lab.submit("sweeps", SWEEP) for _ in range(SWEEPS)]
        accepted = [job for job in sweeps if job in lab.accepted]
        await asyncio.sleep(1.0)
        service = OLD
        if lab.trouble:
            service = NEW
            lab.configure(2, [MONITORS_ROUTE, {**SWEEPS_ROUTE, "service": NEW}])
            lab.note(f"version 2 sends sweeps to {NEW}")
        await asyncio.sleep(APPLY_S)
        later = await lab.submit("sweeps", SWEEP)
        lab.note(f"end of the traffic, {len(accepted)} sweeps accepted before")
        await asyncio.sleep(FINISH_S)
        lost = set(accepted)
        until = lab.now() + WATCHED_S
        while lab.now() < until:
            lost &= set(_left_waiting(lab, service, accepted))
            await asyncio.sleep(0.1)
        for job in accepted:
            state = await lab.state("sweeps", job)
            lab.note(f"sweep {job} is shown as {state}")
        if later:
            state = await lab.state("sweeps", later)
            lab.note(f"sweep {later}, the later one, is shown as {state}")
        for job in sorted(lost):
            lab.note(f"LOST {job}: nothing ran for {WATCHED_S} s")
        return 1 if lost else 0
    finally:
        await lab.close()


def _left_waiting(lab: Lab, service: str, jobs: list[str]) -> list[str]:
    """Returns the jobs that could run now but do not.

    There is capacity for each of them twice over, and under half of the
    capacity of the service that their queue is sent to is in use.
    """
    executors = [
        e for e in lab.fleet.executors.values() if e.service == service
    ]
    used = sum(e.used_cpu() for e in executors)
    most_free = sum((e.cpu - e.used_cpu()) // SWEEP_CPU for e in executors)
    if most_free < 2 or 2 * used >= sum(e.cpu for e in executors):
        return []
    done = {r.task.split(".")[0] for r in lab.fleet.runs if r.how == "done"}
    return [
        job for job in jobs if job not in done and not lab.fleet.running(job)
    ]


run_case(FOLDER, play)
