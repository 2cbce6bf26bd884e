"""Keeps a host's cache of job phases up to date with the leader's."""

__all__ = ["SYNC_RETRY_DELAY_S", "SYNC_TIMEOUT_S", "PhaseSynchronizer"]

import asyncio
from collections.abc import Callable

from returns.result import Success

from dragonflybank.cell.election import Candidate
from dragonflybank.cell.known_peers import KnownPeers
from dragonflybank.cell.leader_fitness import LeaderFitness
from dragonflybank.cell.messages import SYNC_KIND, SyncReply, SyncRequest
from dragonflybank.cell.peering import Peers
from dragonflybank.cell.phase_cache import JobPhaseCache
from dragonflybank.cell.suspension_records import SuspensionTimes
from dragonflybank.cluster.clock import Clock

SYNC_TIMEOUT_S = 1.4
SYNC_RETRY_DELAY_S = 0.2


class PhaseSynchronizer:
    """Asks the leader for changes as long as another host leads.

    Args:
        peers: The other hosts.
        phase_cache: The cache of this host.
        candidate: Knows the current leader.
        fitness: Gets the number of executors that the leader reports.
        known_peers: Gets the addresses of hosts that the leader names.
        suspension_times: Gets the ages of suspended leases.
        clock: Clock of the host.
        make_request: Returns the next request.
        adopt_config: Called with a configuration that the leader sent.
    """

    def __init__(
        self,
        peers: Peers,
        phase_cache: JobPhaseCache,
        candidate: Candidate,
        fitness: LeaderFitness,
        known_peers: KnownPeers,
        suspension_times: SuspensionTimes,
        *,
        clock: Clock,
        make_request: Callable[[], SyncRequest],
        adopt_config: Callable[[bytes], None],
    ):
        self._peers = peers
        self._phase_cache = phase_cache
        self._candidate = candidate
        self._fitness = fitness
        self._known_peers = known_peers
        self._suspension_times = suspension_times
        self._clock = clock
        self._make_request = make_request
        self._adopt_config = adopt_config

    async def run(self) -> None:
        """Applies the leader's changes until cancelled."""
        while True:
            record = self._candidate.record
            if record is None or record.address == self._peers.address:
                await self._clock.sleep(SYNC_RETRY_DELAY_S)
                continue
            changed = asyncio.create_task(self._candidate.changed.wait())
            requesting = asyncio.create_task(
                self._peers.call(
                    record.address,
                    SYNC_KIND,
                    self._make_request(),
                    SyncReply,
                    timeout_s=SYNC_TIMEOUT_S,
                )
            )
            try:
                # A replaced leader may never answer, so a change of the leader
                # ends the wait.
                await asyncio.wait(
                    (changed, requesting), return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                changed.cancel()
                requesting.cancel()
            if not requesting.done() or requesting.cancelled():
                continue
            match requesting.result():
                case Success(reply) if reply.epoch:
                    self._apply(reply)
                case got:
                    if isinstance(got, Success):
                        self._candidate.record_ended_term(
                            got.unwrap().over_term
                        )
                    self._phase_cache.synced_at = float("-inf")
                    await self._clock.sleep(SYNC_RETRY_DELAY_S)

    def _apply(self, reply: SyncReply) -> None:
        now = self._clock.now()
        self._phase_cache.apply_changes(reply, now)
        if reply.suspensions_revision != self._suspension_times.revision:
            self._suspension_times.learn(
                reply.suspensions, reply.suspensions_revision, now
            )
        self._known_peers.learn(reply.peers)
        if reply.executors:
            self._fitness.executors = reply.executors
        if reply.config:
            self._adopt_config(reply.config)
