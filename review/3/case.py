"""A gang that finds no room keeps all other work of its service waiting."""

import pathlib

from standins.lab import FINISH_S, Lab, run_case

FOLDER = pathlib.Path(__file__).resolve().parent
SWEEPS = 24
SWEEP_CPU = 1000
WATCHED_S = 3.0
QUEUE = {"max_attempts": 3, "slack_factor": 2.2, "target_duration_ms": 1200}
ROUTES = [
    {**QUEUE, "name": "monitors", "prefix": "/monitors/", "priority": 1},
    {**QUEUE, "name": "designs", "prefix": "/designs/", "priority": 1},
    {
        **QUEUE,
        "name": "sweeps",
        "prefix": "/sweeps/",
        "priority": 2,
        "slack_factor": 20.0,
    },
]
MONITOR = {
    "spec": "monitor",
    "steps": [{"count": 1, "cpu": 2000, "mem_mb": 512, "long_running": True}],
}
# It needs 7 of the 8 cores of each executor, and one of them has 6 left.
DESIGN = {
    "spec": "design",
    "steps": [
        {
            "count": 4,
            "cpu": 7000,
            "mem_mb": 512,
            "estimated_ms": 20000,
            "gang_scheduled": True,
        }
    ],
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
        await lab.start(ROUTES)
        await lab.submit("monitors", MONITOR)
        if not await lab.wait_for(lambda: bool(lab.fleet.running()), 8.0):
            lab.note("the task that lasts was not started")
            return 2
        if lab.trouble:
            await lab.submit("designs", DESIGN)
        sweeps = [await lab.submit("sweeps", SWEEP) for _ in range(SWEEPS)]
        accepted = [job for job in sweeps if job in lab.accepted]
        lab.note(f"end of the traffic, {len(accepted)} sweeps accepted")
        await lab.wait_for(lambda: False, FINISH_S)
        lost = set(accepted)
        until = lab.now() + WATCHED_S
        while lab.now() < until:
            lost &= set(_left_waiting(lab, accepted))
            await lab.wait_for(lambda: False, 0.1)
        for job in accepted:
            state = await lab.state("sweeps", job)
            lab.note(f"sweep {job} is shown as {state}")
        for job in sorted(lost):
            lab.note(f"LOST {job}: nothing ran for {WATCHED_S} s")
        return 1 if lost else 0
    finally:
        await lab.close()


def _left_waiting(lab: Lab, jobs: list[str]) -> list[str]:
    """Returns the jobs that could run now but do not.

    There is capacity for each of them twice over, and under half of the
    service's capacity is in use.
    """
    executors = lab.fleet.executors.values()
    used = sum(e.used_cpu() for e in executors)
    most_free = sum((e.cpu - e.used_cpu()) // SWEEP_CPU for e in executors)
    if most_free < 2 or 2 * used >= sum(e.cpu for e in executors):
        return []
    done = {r.task.split(".")[0] for r in lab.fleet.runs if r.how == "done"}
    return [
        job for job in jobs if job not in done and not lab.fleet.running(job)
    ]


run_case(FOLDER, play)
