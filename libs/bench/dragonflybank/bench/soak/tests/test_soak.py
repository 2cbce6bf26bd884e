"""Short runs of the soak with fixed seeds and each seed that has failed."""

import asyncio
import pathlib
import tempfile

import testtools
from testtools.matchers import Equals, GreaterThan

from dragonflybank.bench.soak.runner import SoakSettings, run_seed
from dragonflybank.cell.keys import JOBS_PREFIX
from dragonflybank.cell.ports import TxnReply
from dragonflybank.standins.cell.store import MemoryStore

SHORT_RUN = SoakSettings(seconds=8.0, long_share=0.0, finish_timeout_s=60.0)
# Without signals, changes of the configuration and cancels, only the end of the
# jobs has a time bound. It is long, so that the verdict doesn't depend on the
# machine's speed. Leases expire in the event loop that also receives starts, so
# that a slow machine delays both alike.
RESTART_RUN = SoakSettings(
    seconds=6.0,
    long_share=0.15,
    faults=("executors_restart", "leader_and_executors", "calls_late"),
    cancel_share=0.0,
    finish_timeout_s=300.0,
)
# As above, without a bound that depends on the speed of the machine.
OUTAGE_RUN = SoakSettings(
    seconds=6.0,
    long_share=0.0,
    faults=("store_lapses",),
    cancel_share=0.3,
    finish_timeout_s=300.0,
)
# Seed, settings and reason by name of the test.
RUNS = {
    "seed_1": (1, SHORT_RUN, "the short run of CI"),
    "outages_4": (4, OUTAGE_RUN, "UNSTORED on 561a797 after outages"),
    "restarts_4": (4, RESTART_RUN, "TWICE on 989c321 after restarts"),
}


class TestSoak(testtools.TestCase):
    """Guards against a rule about jobs that is violated under faults."""

    def test_detects_accepted_jobs_that_were_not_stored(self):
        commit = MemoryStore.commit

        def forget_jobs(store, txn):
            is_job = any(key.startswith(JOBS_PREFIX) for key in txn.puts)
            return TxnReply(1) if is_job else commit(store, txn)

        self.patch(MemoryStore, "commit", forget_jobs)
        settings = SoakSettings(
            seconds=6.0,
            long_share=0.0,
            finish_timeout_s=60.0,
            series=1,
            faults=("all_killed",),
        )
        with tempfile.TemporaryDirectory() as folder:
            violations, _ = asyncio.run(
                run_seed(1, pathlib.Path(folder), settings)
            )
        lost = [line for line in violations if line.startswith("LOST")]
        self.assertThat(len(lost), GreaterThan(0))


def _make_test(seed: int, settings: SoakSettings, reason: str):
    def test(self):
        with tempfile.TemporaryDirectory() as folder:
            violations, notes = asyncio.run(
                run_seed(seed, pathlib.Path(folder), settings)
            )
        self.assertThat(
            "\n".join(violations), Equals(""), "\n".join(notes), verbose=True
        )

    test.__doc__ = f"Seed {seed}: {reason}."
    return test


for name, run in RUNS.items():
    setattr(TestSoak, f"test_{name}", _make_test(*run))
