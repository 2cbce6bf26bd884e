"""Tests that steps are reached whatever the order in which hosts start."""

import asyncio
from collections.abc import Callable

import testtools
from testtools.matchers import Equals

from dragonflybank.bench.deployment import wait_until
from dragonflybank.bench.matrix.layout import (
    HOME_REGION,
    HOME_TEAM,
    SHARDS_PER_REGION,
)
from dragonflybank.bench.matrix.matrix_deployment import MatrixDeployment
from dragonflybank.bench.matrix.runner import run_cell
from dragonflybank.bench.matrix.table import CELLS
from dragonflybank.config.topology import HostSpec
from dragonflybank.model.hashing import rank_members, shard_of_job


def _find_problems(test, cell_name: str, waits: Callable) -> str:
    """Plays a cell of which some hosts start once all workers are owned.

    Args:
        test: The test, which patches the start of hosts.
        cell_name: Name of the cell.
        waits: Called with the deployment and the specification of a host;
            returns whether the host starts late.
    """
    start_host = MatrixDeployment.start_host

    async def start_in_order(deployment, spec):
        async def is_claimed() -> bool:
            return all(w.owner for w in deployment.workers.values())

        if waits(deployment, spec):
            await wait_until(is_claimed, timeout_s=60.0)
        return await start_host(deployment, spec)

    test.patch(MatrixDeployment, "start_host", start_in_order)
    cell = next(c for c in CELLS if c.name == cell_name)
    result = asyncio.run(run_cell(cell, asyncio.Semaphore(8)))
    return "\n".join(result.problems)


def _is_not_home(deployment: MatrixDeployment, spec: HostSpec) -> bool:
    shard = f"{HOME_REGION}/{shard_of_job(HOME_TEAM, 'x', SHARDS_PER_REGION)}"
    names = [s.name for s in deployment.host_specs if s.region == HOME_REGION]
    return spec.name != rank_members(shard, names)[0]


class TestTakeover(testtools.TestCase):
    """Guards against a step that waits for a claim which no host makes.

    This happens if the home owns no worker yet when it is killed.
    """

    def test_takeover_from_a_home_that_started_last(self):
        problems = _find_problems(
            self,
            "race__takeover",
            lambda deployment, spec: spec is deployment.host_specs[-1],
        )
        self.assertThat(problems, Equals(""))


class TestChoose(testtools.TestCase):
    """Guards against a step that waits for a request which the home needs not.

    This happens if the home owns workers for all tasks when they are submitted.
    """

    def test_choice_by_a_home_that_started_first(self):
        problems = _find_problems(self, "store_slow__choose", _is_not_home)
        self.assertThat(problems, Equals(""))
