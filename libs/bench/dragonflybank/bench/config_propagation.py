"""Time from ``apply`` until a change is in force on every host."""

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

BOUND_S = 16.0
LIMIT_S = 40.0
SETTLE_S = 2.0
CHANGES = 5
MANY_HOSTS = 24


def apply_in_force() -> list[Row]:
    """Returns the rows of both deployments, and of one with more hosts."""
    rows = [row for f in DEPLOYMENT_FOLDERS for row in asyncio.run(_apply(f))]
    return [
        *rows,
        *asyncio.run(_apply(DEPLOYMENT_FOLDERS[0], hosts=MANY_HOSTS)),
    ]


async def _apply(
    folder: pathlib.Path, *, hosts: int | None = None
) -> list[Row]:
    async with running_deployment(folder, hosts=hosts) as (deployment, callers):
        await asyncio.sleep(SETTLE_S)
        usual = [
            await _one_change(deployment, callers, number, store_lost=False)
            for number in range(CHANGES)
        ]
        lost = await _one_change(deployment, callers, CHANGES, store_lost=True)
        count = len(deployment.hosts)
    where = deployment.topology.name
    return [
        Row(
            f"from apply until in force on every host, {name}",
            "s",
            where,
            value,
            bound=BOUND_S,
            bound_source="I8: in force everywhere within 16 s",
            note=note,
        )
        for name, value, note in (
            (
                "store up",
                max(usual),
                f"{count} hosts; the longest of {CHANGES} changes",
            ),
            ("store lost after the answer", lost, f"{count} hosts; one change"),
        )
    ]


async def _one_change(
    deployment: LoopbackDeployment,
    callers: Callers,
    number: int,
    *,
    store_lost: bool,
) -> float:
    """Applies a change and returns the seconds until it is in force."""
    lookup = first_class_of_kind(deployment, WorkKind.LOOKUP).name
    name = f"bench{number}"
    change = f"set class.{lookup}.priority = {90 - number}"
    staged = await callers.run_query(f"stage {name}: {change}")
    if staged.get("code"):
        raise RuntimeError(f"stage was refused: {staged}")
    before = max(await _generations(deployment))
    began_at = time.monotonic()
    applied = await callers.run_query(f"apply {name}")
    if store_lost:
        await deployment.set_faults("store", "store", down=True)
    if applied.get("code"):
        raise RuntimeError(f"apply was refused: {applied}")

    async def is_in_force() -> bool:
        return min(await _generations(deployment)) > before

    try:
        await wait_until(is_in_force, timeout_s=LIMIT_S, interval_s=0.01)
        return time.monotonic() - began_at
    finally:
        if store_lost:
            await deployment.set_faults("store", "store", down=False)


async def _generations(deployment: LoopbackDeployment) -> list[float]:
    texts = await asyncio.gather(
        *(deployment.metrics(host) for host in deployment.hosts.values())
    )
    return [metric_value(t, "dragonflybank_config_generation") for t in texts]
