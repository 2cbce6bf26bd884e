"""Where a host spends its time on lookups: ``python -m ...bench.profiling``.

One host of the first deployment runs under cProfile while lookups come at a
steady rate. The functions of the lookup's path are printed with the time
spent in them and below them. The profiler about doubles that time, so only
the shares are of use.
"""

__all__ = ["main", "profile_host"]

import asyncio
import pathlib
import pstats

import attrs

from dragonflybank.bench.callers import Callers
from dragonflybank.bench.deployment import LoopbackDeployment, ServerProcess
from dragonflybank.bench.process_runs import (
    DEPLOYMENT_FOLDERS,
    LoadPhase,
    send_lookups,
)

LOAD = LoadPhase(150.0, 8.0)
ROWS = 45
OUTPUT = pathlib.Path("build/host.prof")


def main() -> None:
    """Profiles a host and prints the most expensive functions."""
    asyncio.run(profile_host(OUTPUT))
    stats = pstats.Stats(str(OUTPUT))
    stats.sort_stats("cumulative").print_stats("dragonflybank|aiohttp", ROWS)
    stats.sort_stats("tottime").print_stats(ROWS)


async def profile_host(output: pathlib.Path) -> None:
    """Runs one host under the profiler, with lookups for it alone.

    Args:
        output: File for the profile; its directory is made.
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    deployment = _Profiled(DEPLOYMENT_FOLDERS[0], output)
    callers = Callers(lambda: deployment.urls_in_rotation()[:1], seed=1)
    try:
        await deployment.start()
        await deployment.wait_ready()
        await send_lookups(deployment, callers, [LOAD], seed=1)
    finally:
        await callers.close()
        await deployment.stop()


class _Profiled(LoopbackDeployment):
    """A deployment with one host, which runs under the profiler."""

    def __init__(self, folder: pathlib.Path, output: pathlib.Path):
        super().__init__(folder)
        self._output = output
        region = self.topology.regions[0]
        # All workers are in the host's region, so that none is unowned.
        self.topology = attrs.evolve(
            self.topology,
            hosts=self.topology.hosts[:1],
            workers=tuple(
                w for w in self.topology.workers if w.region == region
            ),
        )

    async def start_program(
        self, path: str, log: pathlib.Path
    ) -> ServerProcess:
        """Starts the host's daemon under cProfile."""
        return await ServerProcess.start(
            "cProfile",
            "-o",
            str(self._output),
            "-m",
            "dragonflybank.host",
            path,
            log=log,
        )


if __name__ == "__main__":
    main()
