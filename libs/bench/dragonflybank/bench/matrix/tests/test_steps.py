"""Tests that steps are reached whatever the order in which hosts start."""

import asyncio

import testtools
from testtools.matchers import Equals

from dragonflybank.bench.deployment import wait_until
from dragonflybank.bench.matrix.matrix_deployment import MatrixDeployment
from dragonflybank.bench.matrix.runner import run_cell
from dragonflybank.bench.matrix.table import CELLS


class TestTakeover(testtools.TestCase):
    """Guards against a step that waits for a claim which no host makes.

    This happens if the home owns no worker yet when it is killed.
    """

    def test_takeover_from_a_home_that_started_last(self):
        cell = next(c for c in CELLS if c.name == "race__takeover")
        start_host = MatrixDeployment.start_host

        async def start_last(deployment, spec):
            async def is_claimed() -> bool:
                return all(w.owner for w in deployment.workers.values())

            if spec is deployment.host_specs[-1]:
                await wait_until(is_claimed, timeout_s=60.0)
            return await start_host(deployment, spec)

        self.patch(MatrixDeployment, "start_host", start_last)
        result = asyncio.run(run_cell(cell, asyncio.Semaphore(8)))
        self.assertThat("\n".join(result.problems), Equals(""))
