"""A scheduler's surroundings in tests: starts and calls are recorded."""

__all__ = ["CALL_S", "FakeAdviceDispatcher", "FakeLeader"]

import asyncio

import attrs
from returns.result import Success

from dragonflybank.cell.advice_dispatch import AdviceSlot
from dragonflybank.cell.background import BackgroundTasks
from dragonflybank.cell.capacity import release, reserve
from dragonflybank.cell.election import ElectionTimes, Leadership
from dragonflybank.cell.limits import CellLimits
from dragonflybank.cell.metrics import CellMetrics
from dragonflybank.cell.state import AttemptPhase
from dragonflybank.cell.workload import Workload
from dragonflybank.standins.cell.virtual_time import VirtualClock

CALL_S = 0.7


class FakeAdviceDispatcher:
    """Slow advice that declares every executor good, or some of them."""

    is_mostly_idle = True

    def __init__(self, good=None):
        self.named = []
        self._good = good

    def acquire_slot(self, *, priority, duration_s, now):
        return AdviceSlot("", 0.0)

    async def request_advice(self, slot, step, executors, *, duration_s):
        self.named.append(sorted(executors))
        await asyncio.sleep(CALL_S)
        good = [n for n in executors if self._good is None or n in self._good]
        return Success({name: f"ticket/{name}" for name in good})


class FakeLeader:
    """The parts of a leader that the scheduler uses; starts are recorded."""

    def __init__(self, executors, clock=None):
        self.clock = clock or VirtualClock()
        self.limits = CellLimits()
        self.fleet = _Fleet({e.info.id: e for e in executors})
        self.workload = Workload()
        self.leadership = Leadership(1, 1, 0.0, float("inf"))
        self.background = BackgroundTasks()
        self.metrics = CellMetrics()
        self.attempts = _Attempts(self.clock)
        self.suspensions = _NoSuspensions()
        self.election_times = ElectionTimes()

    def wake(self):
        """Does nothing, since the test runs the rounds."""


@attrs.frozen
class _Fleet:
    executors: dict


class _NoSuspensions:
    def find(self, executor_id):
        return None


class _Attempts:
    def __init__(self, clock):
        self.started = []
        self._clock = clock

    def reserve_attempts(self, step, pairs, number, now):
        return [
            reserve(e, t, number, phase=AttemptPhase.RESERVED, now=now)
            for t, e in pairs
        ]

    def start_attempts(self, step, attempts):
        now = self._clock.now()
        self.started += [(now, a.executor.info.id) for a in attempts]

    def stop(self, attempt, reason):
        release(attempt)
