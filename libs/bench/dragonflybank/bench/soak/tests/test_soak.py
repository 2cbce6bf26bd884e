"""Short runs of the soak: ordinary faults, and restarts of executors."""

import asyncio
import pathlib
import tempfile

import testtools
from testtools.matchers import Equals, GreaterThan

from dragonflybank.bench.soak.runner import SoakSettings, run_seed
from dragonflybank.cell.keys import JOBS_PREFIX
from dragonflybank.cell.ports import TxnReply
from dragonflybank.standins.cell.store import MemoryStore

SHORT_RUN = SoakSettings(seconds=8.0)
SEEDS = {1: "the short run of CI"}


class TestSoak(testtools.TestCase):
    """Guards against a rule about jobs that is violated under faults."""

    def test_detects_accepted_jobs_that_were_not_stored(self):
        commit = MemoryStore.commit

        def forget_jobs(store, txn):
            is_job = any(key.startswith(JOBS_PREFIX) for key in txn.puts)
            return TxnReply(1) if is_job else commit(store, txn)

        self.patch(MemoryStore, "commit", forget_jobs)
        settings = SoakSettings(seconds=6.0, series=1, faults=("all_killed",))
        with tempfile.TemporaryDirectory() as folder:
            violations, _ = asyncio.run(
                run_seed(1, pathlib.Path(folder), settings)
            )
        lost = [line for line in violations if line.startswith("LOST")]
        self.assertThat(len(lost), GreaterThan(0))


def _make_test(seed: int, reason: str):
    def test(self):
        with tempfile.TemporaryDirectory() as folder:
            violations, notes = asyncio.run(
                run_seed(seed, pathlib.Path(folder), SHORT_RUN)
            )
        self.assertThat(
            "\n".join(violations), Equals(""), "\n".join(notes), verbose=True
        )

    test.__doc__ = f"Seed {seed}: {reason}."
    return test


for seed_of_test, why in SEEDS.items():
    setattr(
        TestSoak, f"test_seed_{seed_of_test}", _make_test(seed_of_test, why)
    )
