"""Jobs whose handling raised exceptions that ended leaderships.

An exception in the opening of due occurrences or in the group commit ends a
leadership, since the state in memory may be wrong. The next leader would meet
the same job and end by the same exception. So each leader stores, before it
resigns, which job it was about, and its successors set a job aside that has
ended two leaderships: nothing of it is started any more.

- After exceptions in openings, what runs of the job goes on, and its ends and
  its cancellation are processed. It is considered again once its entry is
  removed from the store.
- After exceptions in the group commit, its record is not written any more
  either. It must not start again, since its ends are not stored.

If a transaction of several records raises, all of their jobs are suspect. They
are written one by one from then on, so that the second exception names one.
"""

__all__ = [
    "FaultPlace",
    "FaultRecord",
    "InputFaultError",
    "InputFaults",
    "find_input_fault",
]

import enum
import logging
from collections.abc import Collection, Iterable

import attrs
import msgspec
from returns.result import Failure, Result, Success

from dragonflybank.cell.election import LEADER_KEY, Leadership
from dragonflybank.cell.keys import INPUT_FAULTS_KEY
from dragonflybank.cell.metrics import CellMetrics
from dragonflybank.cell.ports import Store, Txn, TxnReply
from dragonflybank.cluster.clock import Clock
from dragonflybank.model.codes import Code, Problem
from dragonflybank.model.decoding import decode_json

_log = logging.getLogger(__name__)

FAULTS_LIMIT = 2
# Exceptions without a relation to the job that they name would set aside one
# job after another; from this number on, leaderships end as without records.
MAX_SET_ASIDE = 16
# Bounds the stored value; a transaction of the group commit has up to 15 jobs.
MAX_RECORDS = 64
STORE_ATTEMPTS = 3
RETRY_DELAY_S = 0.05


class FaultPlace(enum.StrEnum):
    """Where an exception was raised."""

    ROUND = "round of decisions"
    COMMIT = "group commit"


@attrs.frozen
class FaultRecord:
    """Exceptions that named a job.

    Attributes:
        job: Identifier of the job.
        place: Where they were raised.
        count: Number of leaderships that they ended.
    """

    job: str
    place: FaultPlace
    count: int


class InputFaultError(Exception):
    """An exception whose cause is the state of a job.

    Attributes:
        place: Where it was raised.
        jobs: Identifiers of the jobs that were being handled.
    """

    def __init__(self, place: FaultPlace, jobs: Iterable[str]):
        self.place = place
        self.jobs = tuple(jobs)
        super().__init__(f"{place} of {', '.join(self.jobs)}")


class InputFaults:
    """The stored faults of inputs, as a leader reads and writes them.

    Attributes:
        records: Known faults by job and place.

    Args:
        store: The platform's store.
        leadership: Leadership of the writing leader.
        clock: Clock of the host.
        metrics: Metrics of the host.
    """

    def __init__(
        self,
        store: Store,
        leadership: Leadership,
        *,
        clock: Clock,
        metrics: CellMetrics,
    ):
        self.records: dict[tuple[str, FaultPlace], FaultRecord] = {}
        self._store = store
        self._leadership = leadership
        self._clock = clock
        self._metrics = metrics
        self._revision = 0

    async def load(self) -> Result[None, Problem]:
        """Reads the faults that earlier leaders stored."""
        got = await self._store.get(INPUT_FAULTS_KEY)
        if isinstance(got, Failure):
            return got
        item = got.unwrap()
        self.records = {}
        self._revision = item.revision if item else 0
        if item is None or item.value is None:
            return Success(None)
        match decode_json(
            item.value, tuple[FaultRecord, ...], code=Code.BAD_REQUEST
        ):
            case Success(records):
                self.records = {(r.job, r.place): r for r in records}
            case Failure(failed):
                self._metrics.malformed_inputs.labels("input faults").inc()
                _log.error(
                    "input faults unreadable", extra={"detail": failed.detail}
                )
        return Success(None)

    def forget_ended(self, open_jobs: Collection[str]) -> None:
        """Drops the faults of jobs that are no longer in the store."""
        self.records = {
            key: record
            for key, record in self.records.items()
            if record.job in open_jobs
        }

    def set_aside(self, place: FaultPlace | None = None) -> set[str]:
        """Returns the jobs that are set aside.

        Args:
            place: Where their exceptions were raised; None for any place.
        """
        return {
            r.job
            for r in self.records.values()
            if r.count >= FAULTS_LIMIT and place in (None, r.place)
        }

    def suspects(self) -> set[str]:
        """Returns the jobs whose records are written one by one."""
        return {
            r.job for r in self.records.values() if r.place is FaultPlace.COMMIT
        }

    async def store(self, fault: InputFaultError) -> None:
        """Counts a fault and stores it before the leader resigns.

        If the store does not answer, the next leader does not know of it.
        """
        self._metrics.isolated_faults.labels(fault.place.value).inc()
        before = self.set_aside()
        for job in fault.jobs:
            self._count(job, fault)
        for job in self.set_aside() - before:
            _log.error(
                "job set aside after a repeated exception",
                extra={"job": job, "place": fault.place.value},
                exc_info=fault,
            )
        if not await self._write():
            _log.error("input fault not stored", extra={"jobs": fault.jobs})

    def _count(self, job: str, fault: InputFaultError) -> None:
        key = (job, fault.place)
        known = self.records.get(key)
        if known is None:
            if len(self.records) < MAX_RECORDS:
                self.records[key] = FaultRecord(job, fault.place, 1)
        # Several jobs are suspects, of which one at most is the cause.
        elif len(fault.jobs) == 1 and len(self.set_aside()) < MAX_SET_ASIDE:
            count = min(FAULTS_LIMIT, known.count + 1)
            self.records[key] = attrs.evolve(known, count=count)

    async def _write(self) -> bool:
        value = msgspec.json.encode(tuple(self.records.values()))
        for _ in range(STORE_ATTEMPTS):
            txn = Txn(
                expected={
                    LEADER_KEY: self._leadership.epoch,
                    INPUT_FAULTS_KEY: self._revision,
                },
                puts={INPUT_FAULTS_KEY: value},
            )
            match await self._store.commit(txn):
                case Success(TxnReply(revision=int())):
                    return True
                case Success(reply):
                    # Only leaders and operators write the key. A newer
                    # revision is from an attempt whose answer was lost, or from
                    # an operator, whose removal the next fault repeats.
                    found = {i.key: i.revision for i in reply.current}
                    if found.get(LEADER_KEY) != self._leadership.epoch:
                        return False
                    self._revision = found.get(INPUT_FAULTS_KEY, 0)
                case Failure(_):
                    await self._clock.sleep(RETRY_DELAY_S)
        return False


def find_input_fault(exc: BaseException | None) -> InputFaultError | None:
    """Returns the input fault in an exception or a group of them, if any."""
    if isinstance(exc, InputFaultError):
        return exc
    if isinstance(exc, BaseExceptionGroup):
        found = map(find_input_fault, exc.exceptions)
        return next((f for f in found if f is not None), None)
    return None
