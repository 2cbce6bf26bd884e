"""Profiles a host while it serves lookups.

Run ``python -m dragonflybank.bench.profiling``. One host of the first
deployment runs under cProfile while lookups arrive at a constant rate. The
functions that serve a lookup are printed with their cumulative and own time.
The profiler about doubles these times, so that only their shares are
meaningful.
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
MAX_PRINTED_FUNCTIONS = 45
PROFILE_PATH = pathlib.Path("build/host.prof")


def main() -> None:
    """Profiles a host and prints the most expensive functions."""
    asyncio.run(profile_host(PROFILE_PATH))
    stats = pstats.Stats(str(PROFILE_PATH))
    stats.sort_stats("cumulative").print_stats(
        "dragonflybank|aiohttp", MAX_PRINTED_FUNCTIONS
    )
    stats.sort_stats("tottime").print_stats(MAX_PRINTED_FUNCTIONS)


async def profile_host(output: pathlib.Path) -> None:
    """Runs one host under the profiler and sends it lookups.

    Args:
        output: File for the profile; its directory is created if missing.
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    deployment = _ProfiledDeployment(DEPLOYMENT_FOLDERS[0], output)
    callers = Callers(lambda: deployment.urls_in_rotation()[:1], seed=1)
    try:
        await deployment.start()
        await deployment.wait_until_ready()
        await send_lookups(deployment, callers, [LOAD], seed=1)
    finally:
        await callers.close()
        await deployment.stop()


class _ProfiledDeployment(LoopbackDeployment):
    """A deployment whose only host runs under the profiler."""

    def __init__(self, folder: pathlib.Path, output: pathlib.Path):
        super().__init__(folder)
        self._output = output
        region = self.topology.regions[0]
        # Only workers in the host's region, so that the host owns them all.
        self.topology = attrs.evolve(
            self.topology,
            hosts=self.topology.hosts[:1],
            workers=tuple(
                w for w in self.topology.workers if w.region == region
            ),
        )

    async def start_host_process(
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
