"""Time from ``apply`` until a change is in force on all hosts."""

__all__ = ["apply_in_force"]

import asyncio
import pathlib
import time

from dragonflybank.bench.callers import Callers
from dragonflybank.bench.deployment import LoopbackDeployment, wait_until
from dragonflybank.bench.process_runs import (
    DEPLOYMENT_FOLDERS,
    first_class_of_kind,
    running_deployment,
)
from dragonflybank.bench.table import Row
from dragonflybank.bench.usage import metric_value
from dragonflybank.model.work import WorkKind

MAX_PROPAGATION_S = 16.0
TIMEOUT_S = 40.0
SETTLE_S = 2.0
CHANGES = 5
MANY_HOSTS = 24


def apply_in_force() -> list[Row]:
    """Returns the rows of each deployment, and of one with more hosts."""
    rows = [
        row
        for f in DEPLOYMENT_FOLDERS
        for row in asyncio.run(_measure_deployment(f))
    ]
    return [
        *rows,
        *asyncio.run(
            _measure_deployment(DEPLOYMENT_FOLDERS[0], hosts=MANY_HOSTS)
        ),
    ]


async def _measure_deployment(
    folder: pathlib.Path, *, hosts: int | None = None
) -> list[Row]:
    async with running_deployment(folder, hosts=hosts) as (deployment, callers):
        await asyncio.sleep(SETTLE_S)
        store_up_s = [
            await _propagation_time_s(
                deployment, callers, number, store_lost=False
            )
            for number in range(CHANGES)
        ]
        store_lost_s = await _propagation_time_s(
            deployment, callers, CHANGES, store_lost=True
        )
        count = len(deployment.hosts)
    where = deployment.topology.name
    return [
        Row(
            f"from apply until in force on every host, {case}",
            "s",
            where,
            value,
            bound=MAX_PROPAGATION_S,
            bound_source="I8: in force everywhere within 16 s",
            note=note,
        )
        for case, value, note in (
            (
                "store up",
                max(store_up_s),
                f"{count} hosts; the longest of {CHANGES} changes",
            ),
            (
                "store lost after the answer",
                store_lost_s,
                f"{count} hosts; one change",
            ),
        )
    ]


async def _propagation_time_s(
    deployment: LoopbackDeployment,
    callers: Callers,
    number: int,
    *,
    store_lost: bool,
) -> float:
    """Applies a change and returns the seconds until all hosts use it."""
    lookup = first_class_of_kind(deployment, WorkKind.LOOKUP).name
    name = f"bench{number}"
    change = f"set class.{lookup}.priority = {90 - number}"
    staged = await callers.run_query(f"stage {name}: {change}")
    if staged.get("code"):
        raise RuntimeError(f"stage was refused: {staged}")
    previous = max(await _active_generations(deployment))
    applied_at = time.monotonic()
    applied = await callers.run_query(f"apply {name}")
    if store_lost:
        await deployment.set_faults("store", "store", down=True)
    if applied.get("code"):
        raise RuntimeError(f"apply was refused: {applied}")

    async def is_in_force() -> bool:
        return min(await _active_generations(deployment)) > previous

    try:
        await wait_until(is_in_force, timeout_s=TIMEOUT_S, interval_s=0.01)
        return time.monotonic() - applied_at
    finally:
        if store_lost:
            await deployment.set_faults("store", "store", down=False)


async def _active_generations(deployment: LoopbackDeployment) -> list[float]:
    texts = await asyncio.gather(
        *(deployment.read_metrics(host) for host in deployment.hosts.values())
    )
    return [metric_value(t, "dragonflybank_config_generation") for t in texts]
