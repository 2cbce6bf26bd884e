"""Ownership of workers: claims, handover to other hosts, sessions.

Each worker has one owner at a time, ideally the host that ranks first for it.
A host claims the workers for which it ranks first and hands workers over to
hosts that rank first for them in its own membership table.
"""

__all__ = ["Ownership", "OwnershipConfig"]

import asyncio
import logging
import random
from collections.abc import Callable, Iterable

from returns.result import Result, Success

from dragonflybank.cluster.clock import Clock
from dragonflybank.cluster.events import OnFinished, report_lost_tasks
from dragonflybank.cluster.managed_worker import DropReason
from dragonflybank.cluster.membership import PAUSE_THRESHOLD_S, Membership
from dragonflybank.cluster.messages import HandoverReply, HandoverRequest
from dragonflybank.cluster.peers import Peers
from dragonflybank.cluster.ranking import (
    first_host,
    may_receive,
    owner_candidates,
)
from dragonflybank.cluster.renewals import maintain_ownership
from dragonflybank.cluster.session_registry import (
    OwnershipConfig,
    SessionEntry,
    SessionRegistry,
)
from dragonflybank.cluster.sessions import WorkerSession
from dragonflybank.cluster.summaries import summarise_capacity
from dragonflybank.cluster.takeover import (
    AcquireOutcome,
    acquire,
    is_ownership_denied,
)
from dragonflybank.cluster.unlisted_workers import UnlistedWorkers
from dragonflybank.model.codes import Problem
from dragonflybank.model.leases import Resolution
from dragonflybank.model.topology import CapacitySummary, VmInfo
from dragonflybank.model.work import StartRecord
from dragonflybank.platform.worker import WorkerClient

_log = logging.getLogger(__name__)

STEP_INTERVAL_S = 0.5
# A host that has just started or was paused claims nothing during the first
# gossip rounds, since it ranks first for every worker until it knows others.
OBSERVE_BEFORE_CLAIM_S = 2.0
# Limits the backoff for an unreachable worker. It is shorter than after a lost
# claim, since the worker has no owner meanwhile.
MAX_UNREACHABLE_BACKOFF_S = 10.0


class Ownership:
    """Claims workers, maintains their ownership and hands them over.

    Args:
        cfg: Settings of worker ownership.
        membership: The membership table of this host.
        make_client: Returns a client of the worker on a VM.
        on_finished: Called with the end of each task and the worker until it
            returns True, which says that the end is journalled.
        peers: Calls to other hosts.
        rng: Source of the random part of backoff.

    Attributes:
        sessions: Sessions by worker name, owned or not.
    """

    def __init__(
        self,
        cfg: OwnershipConfig,
        membership: Membership,
        make_client: Callable[[VmInfo], WorkerClient],
        *,
        on_finished: OnFinished,
        peers: Peers,
        rng: random.Random | None = None,
    ):
        self._cfg = cfg
        self._membership = membership
        self._on_finished = on_finished
        self._peers = peers
        self._rng = rng or random.Random()
        self._registry = SessionRegistry(
            cfg, make_client, self._is_ownership_denied
        )
        self.sessions = self._registry.sessions
        self._claim_slots = asyncio.Semaphore(cfg.max_concurrent_claims)
        self._unlisted = UnlistedWorkers(
            self._registry, self._is_ownership_denied
        )
        self._stepped_at: float | None = None
        self._seen_incarnation_raises = membership.incarnation_raises

    def update_workers(self, vms: Iterable[VmInfo], now: float) -> None:
        """Updates the sessions from a VM list; see `SessionRegistry.update`."""
        self._registry.update(vms, now)

    def set_lookup_reserve(self, slots: int) -> None:
        """Sets the number of slots of each worker reserved for lookups."""
        self._registry.set_lookup_reserve(slots)

    def step(self, now: float) -> tuple[str, ...]:
        """Decides which workers to claim now.

        A worker is claimed if this host ranks first for it, does not own it
        and need not wait after a failed claim.

        Args:
            now: Current time; expected every half second.

        Returns:
            Names of the workers to claim.
        """
        self._check_pause(now)
        self._check_regions(now)
        is_too_early = self._membership.observed_s(now) < OBSERVE_BEFORE_CLAIM_S
        entries = self._registry.entries.items()
        candidates_by_region = {
            region: owner_candidates(self._membership, region, now)
            for region in {s.session.info.region for _, s in entries}
        }
        return tuple(
            name
            for name, entry in entries
            if self._update_session(
                entry, candidates_by_region[entry.session.info.region], now
            )
            and not is_too_early
        )

    async def acquire(self, name: str, clock: Clock) -> AcquireOutcome:
        """Tries to acquire a worker; sets its backoff if that fails."""
        entry = self._registry.entries[name]
        async with self._claim_slots:
            outcome = await acquire(
                entry.session, self._membership, self._peers, clock
            )
        now = clock.now()
        _log.info("claim of %s: %s", name, outcome)
        if outcome is AcquireOutcome.WAITING:
            entry.backoff.delay(now)
        elif outcome is AcquireOutcome.UNREACHABLE:
            entry.backoff.on_failure(
                now, self._rng, max_wait_s=MAX_UNREACHABLE_BACKOFF_S
            )
        elif outcome is not AcquireOutcome.WON:
            entry.backoff.on_failure(now, self._rng)
        return outcome

    async def resolve(
        self, start: StartRecord, *, now: float
    ) -> Result[Resolution, Problem]:
        """Decides what became of a start, even without a worker session."""
        session = self.sessions.get(start.worker)
        if session is not None:
            return await session.resolve(start, now=now)
        return await self._unlisted.resolve(start, now)

    async def handle_handover(
        self, sender: str, request: HandoverRequest, now: float
    ) -> Result[HandoverReply, Problem]:
        """Releases workers to a host that ranks first for them.

        The handler of requests of kind ``handover``. A worker that the reply
        lists neither as released nor as waiting stays with this host.
        """
        owned = [w for w in request.workers if self._owns(w)]
        if not request.query:
            for name in owned:
                self._hand_over(name, sender, now)
        released = tuple(w for w in request.workers if not self._owns(w))
        waiting = tuple(w for w in owned if self._is_handing_over(w, now))
        return Success(HandoverReply(released, waiting))

    def capacity_summary(
        self, now: float, queue_s: float = 0.0
    ) -> CapacitySummary:
        """Returns the free capacity of the owned workers, sent with gossip.

        Args:
            now: Current time.
            queue_s: Expected wait of a new lookup in seconds.
        """
        return summarise_capacity(
            self.owned_sessions(),
            now,
            host=self._cfg.host,
            region=self._cfg.region,
            queue_s=queue_s,
        )

    def owned_sessions(self) -> tuple[WorkerSession, ...]:
        """Returns the sessions of the workers that this host owns."""
        return tuple(s for s in self.sessions.values() if s.is_owned)

    def probable_owner(self, worker: str, now: float) -> str | None:
        """Returns the host that probably owns a worker, None if unknown."""
        session = self.sessions.get(worker)
        if session is None:
            return None
        if session.is_owned:
            return self._cfg.host
        candidates = owner_candidates(
            self._membership, session.info.region, now
        )
        return first_host(worker, candidates)

    async def run(self, clock: Clock) -> None:
        """Claims workers, renews leases and reports ended tasks.

        Runs until it is cancelled.
        """
        report_loop = asyncio.create_task(self._report_lost_loop(clock))
        entries = self._registry.entries
        try:
            while True:
                for name in self.step(clock.now()):
                    entries[name].task = asyncio.create_task(
                        self._claim_and_maintain(name, entries[name], clock)
                    )
                await self._registry.close_unused_clients()
                await clock.sleep(STEP_INTERVAL_S)
        finally:
            tasks = [report_loop, *(s.task for s in entries.values() if s.task)]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._registry.close()

    async def drain(self, clock: Clock) -> None:
        """Waits until no worker is owned; this host must be leaving.

        The hosts that rank next request the workers once they learn that this
        host is leaving. It returns at once if no host is left that could
        request them. It does not return while the next host cannot reach a
        worker, so the caller sets a time limit.
        """
        while any(
            owner_candidates(self._membership, s.info.region, clock.now())
            for s in self.owned_sessions()
        ):
            await clock.sleep(STEP_INTERVAL_S)

    async def _claim_and_maintain(
        self, name: str, entry: SessionEntry, clock: Clock
    ) -> None:
        """Acquires a worker and maintains the ownership until it is lost."""
        session = entry.session
        try:
            if await self.acquire(name, clock) is not AcquireOutcome.WON:
                return
            await maintain_ownership(session, self._on_finished, clock)
            _log.info(
                "ownership of %s has ended: %s", name, session.drop_reason
            )
            if session.drop_reason is DropReason.STALE:
                entry.backoff.on_failure(clock.now(), self._rng)
        except Exception:
            _log.exception("claim or session of %s failed", name)
            session.drop_ownership(DropReason.FAILED)
            entry.backoff.on_failure(clock.now(), self._rng)
        finally:
            entry.task = None

    async def _report_lost_loop(self, clock: Clock) -> None:
        while True:
            waiting = [s for s in self.sessions.values() if s.lost_events]
            await asyncio.gather(
                *(report_lost_tasks(s, self._on_finished) for s in waiting)
            )
            await clock.sleep(STEP_INTERVAL_S)

    def _update_session(
        self, entry: SessionEntry, candidates: tuple[str, ...], now: float
    ) -> bool:
        """Updates a session; returns whether to claim its worker now."""
        session = entry.session
        session.liveness.last_step_at = now
        session.capacity.expire(now)
        if session.is_owned:
            entry.backoff.on_owned(now - session.claimed_at)
            return False
        if first_host(session.name, candidates) != self._cfg.host:
            session.liveness.taken_over_at = None
            return False
        return entry.task is None and entry.backoff.not_before <= now

    async def _is_ownership_denied(self, worker: str, now: float) -> bool:
        return await is_ownership_denied(
            worker, self._membership, self._peers, now
        )

    def _owns(self, worker: str) -> bool:
        session = self.sessions.get(worker)
        return session is not None and session.is_owned

    def _is_handing_over(self, worker: str, now: float) -> bool:
        return self._owns(worker) and now < self.sessions[worker].handover_until

    def _hand_over(self, worker: str, requester: str, now: float) -> None:
        session = self.sessions[worker]
        candidates = owner_candidates(
            self._membership, session.info.region, now
        )
        if may_receive(worker, requester, candidates):
            session.hand_over(now)

    def _check_pause(self, now: float) -> None:
        last, self._stepped_at = self._stepped_at, now
        was_paused = last is not None and now - last > PAUSE_THRESHOLD_S
        if (
            not was_paused
            and self._membership.incarnation_raises
            == self._seen_incarnation_raises
        ):
            return
        # Other hosts may have taken workers over during the pause. Each worker
        # is probed before work is placed on it or its leases are considered
        # expired.
        self._seen_incarnation_raises = self._membership.incarnation_raises
        for session in self.sessions.values():
            session.liveness.on_pause(now)
            if session.is_owned:
                session.liveness.require_confirmation()

    def _check_regions(self, now: float) -> None:
        for region in self._registry.regions():
            may_own = self._cfg.host in owner_candidates(
                self._membership, region, now
            )
            if may_own:
                self._registry.add_region(region)
            else:
                self._registry.remove_region(region)
