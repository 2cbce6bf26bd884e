"""A host of the cell: answers callers and takes part in leader election."""

__all__ = ["CellHost", "HostSettings"]

import asyncio
import logging
import random
from collections.abc import Callable, Sequence

import attrs
import mode
from returns.result import Failure, Result, Success

from dragonflybank.cell.advice_dispatch import AdviceDispatcher
from dragonflybank.cell.background import BackgroundTasks
from dragonflybank.cell.config_transfer import (
    pack_config,
    should_send_config,
    unpack_config,
)
from dragonflybank.cell.election import Candidate, Leadership
from dragonflybank.cell.frontend import CellFrontend
from dragonflybank.cell.host_settings import HostSettings
from dragonflybank.cell.isolation import run_supervised
from dragonflybank.cell.jobs import CellConfig
from dragonflybank.cell.known_peers import KnownPeers
from dragonflybank.cell.lag import LoopLag
from dragonflybank.cell.leader import Leader
from dragonflybank.cell.leader_fitness import UNFIT, LeaderFitness
from dragonflybank.cell.leader_session import run_leader
from dragonflybank.cell.messages import (
    ADVICE_KIND,
    KEY_WRITTEN_KIND,
    READ_KIND,
    SYNC_KIND,
    WRITE_KIND,
    AdviceReply,
    AdviceRequest,
    KeyWrittenReply,
    KeyWrittenRequest,
    ReadRequest,
    SyncReply,
    SyncRequest,
    WriteRequest,
)
from dragonflybank.cell.metrics import CellMetrics
from dragonflybank.cell.peering import Peers
from dragonflybank.cell.phase_cache import JobPhaseCache, sync_batch_delay_s
from dragonflybank.cell.phase_sync import (
    SYNC_RETRY_DELAY_S,
    SYNC_TIMEOUT_S,
    PhaseSynchronizer,
)
from dragonflybank.cell.ports import Item, Platform
from dragonflybank.cell.prefix_watcher import PrefixWatcher
from dragonflybank.cell.relay import (
    RelayedStore,
    read_for_peer,
    write_for_peer,
)
from dragonflybank.cell.suspension_records import SuspensionTimes
from dragonflybank.cell.takeover import add_stored_jobs
from dragonflybank.cluster.clock import Clock
from dragonflybank.model.codes import Code, failure

_log = logging.getLogger(__name__)

# Longest time that the leader holds back its reply to a sync request while
# there are no changes.
SYNC_WAIT_S = 0.7
# A leader that has not answered for this long may have failed.
LEADER_SILENCE_LIMIT_S = 1.2
# The watch of the configuration also shows whether the store answers; a shorter
# wait detects an outage earlier.
CONFIG_WAIT_S = 1.0
# Network time to a peer and back, added to the timeout of the peer's own call.
PEER_ROUND_TRIP_S = 0.2
# Hosts with fewer cores delay their candidacy.
MIN_PREFERRED_CORES = 1.0


class CellHost(mode.Service):
    """One host of a cell.

    Attributes:
        frontend: Answers callers.
        config: The operators' configuration, None before it is known.
        metrics: Metrics of the host.
        draining: Whether the host is shutting down.
        leader: The leader while this host leads, otherwise None.

    Args:
        settings: Settings of the host.
        platform: The platform.
        peers: The other hosts.
        clock: Monotonic clock.
        unix_time: Returns the current time, seconds since 1970.
    """

    shutdown_timeout = 10.0

    def __init__(
        self,
        settings: HostSettings,
        platform: Platform,
        peers: Peers,
        *,
        clock: Clock,
        unix_time: Callable[[], float],
        **kwargs,
    ):
        super().__init__(**kwargs)
        self.settings = settings
        self.platform = platform
        self.config: CellConfig | None = None
        self.draining = False
        self.leader: Leader | None = None
        self.metrics = CellMetrics()
        self._config_raw = b""
        self._config_adopted_at = float("-inf")
        self._is_stored_config_unsound = False
        self._host_clock = clock
        self._unix_time = unix_time
        self._phase_cache = JobPhaseCache()
        self._config_watcher = PrefixWatcher(
            platform.store, platform.config_key, clock, wait_s=CONFIG_WAIT_S
        )
        self.frontend = CellFrontend(
            RelayedStore(
                platform.store,
                peers,
                is_store_answering=lambda: (
                    self._config_watcher.is_store_answering
                ),
                get_relay_address=self._relay_address,
            ),
            self._phase_cache,
            clock=clock,
            notify_leader=self._notify_leader,
        )
        self._peers = peers
        self._known_peers = KnownPeers(peers)
        self._suspension_times = SuspensionTimes()
        self._last_ended_term = 0
        self._lag = LoopLag()
        self._fitness = LeaderFitness(settings.capacity)
        self._notifications = BackgroundTasks()
        self._advice_dispatcher: AdviceDispatcher | None = None
        self._candidate = Candidate(
            platform.store,
            settings.name,
            peers.address,
            clock=clock,
            has_few_cores=settings.cores < MIN_PREFERRED_CORES,
            fitness=self._fitness,
            rng=random.Random(settings.name),
            is_leader_responsive=self._is_leader_responsive,
            has_process_exited=peers.has_process_exited,
            lag=self._lag,
            read_through_peers=self._known_peers.read,
        )
        self._synchronizer = PhaseSynchronizer(
            peers,
            self._phase_cache,
            self._candidate,
            self._fitness,
            self._known_peers,
            self._suspension_times,
            clock=clock,
            make_request=self._make_sync_request,
            adopt_config=self._adopt_packed_config,
        )

    async def on_start(self) -> None:
        """Opens the peer socket and starts the background loops."""
        self._peers.serve(
            {
                SYNC_KIND: (SyncRequest, self._handle_sync),
                ADVICE_KIND: (AdviceRequest, self._handle_advice),
                KEY_WRITTEN_KIND: (KeyWrittenRequest, self._handle_key_written),
                READ_KIND: (ReadRequest, self._handle_read),
                WRITE_KIND: (WriteRequest, self._handle_write),
            }
        )
        clock = self._host_clock
        for name, run_loop in (
            ("lag", lambda: self._lag.run(clock)),
            ("configuration", self._watch_config),
            ("election", self._run_for_election),
            ("job states", self._synchronizer.run),
        ):
            self.add_future(
                run_supervised(
                    name,
                    run_loop,
                    clock=clock,
                    on_fault=self.metrics.isolated_faults.labels(name).inc,
                )
            )
        _log.info("started", extra={"host": self.settings.name})

    async def on_stop(self) -> None:
        """Marks the host as not ready and resigns the leadership."""
        self.draining = True
        _log.info("stopping", extra={"host": self.settings.name})
        if self.leader is not None:
            self.leader.leadership.lost.set()
            await self._candidate.resign()

    async def on_shutdown(self) -> None:
        """Closes all connections."""
        await self._peers.close()
        await self.platform.close()
        _log.info("stopped", extra={"host": self.settings.name})

    @property
    def not_ready_reason(self) -> str:
        """Why the host is not ready for callers, empty if it is ready."""
        if self.draining:
            return "the host is shutting down"
        if self.config is None:
            return "no configuration received yet"
        is_reachable = (
            self._config_watcher.is_store_answering or self._relay_address()
        )
        return "" if is_reachable else "the store does not answer"

    def adopt_config(self, raw: bytes) -> None:
        """Puts a configuration in force unless a newer one is in force."""
        match self.platform.decode_config(raw):
            case Success(cfg):
                self._is_stored_config_unsound = False
                if self.config is None or cfg.version > self.config.version:
                    self.config = cfg
                    self._config_raw = self.platform.shareable_config(raw)
                    self._config_adopted_at = self._host_clock.now()
                    self.metrics.config_version.set(cfg.version)
                    _log.info(
                        "configuration in force",
                        extra={"version": cfg.version},
                    )
                    if self.leader is not None:
                        self.leader.adopt_config(cfg)
            case Failure(failed):
                self._is_stored_config_unsound = True
                _log.error(
                    "configuration cannot be decoded",
                    extra={"detail": failed.detail, "field": failed.field},
                )

    def _adopt_packed_config(self, packed: bytes) -> None:
        match unpack_config(packed):
            case Success(raw):
                self.adopt_config(raw)
            case Failure(failed):
                _log.error(
                    "configuration of the leader cannot be unpacked",
                    extra={"detail": failed.detail},
                )

    async def _watch_config(self) -> None:
        key = self.platform.config_key
        async for items, _ in self._config_watcher.changes(None):
            for item in items:
                if item.key == key and item.value is not None:
                    self.adopt_config(item.value)

    def _is_leader_responsive(self, now: float) -> bool:
        return now - self._phase_cache.synced_at <= LEADER_SILENCE_LIMIT_S

    async def _run_for_election(self) -> None:
        while not self.draining:
            leadership = await self._candidate.wait_until_elected()
            if self.draining:
                await self._candidate.resign()
                return
            await self._lead(leadership)

    async def _lead(self, leadership: Leadership) -> None:
        clock = self._host_clock
        self._phase_cache.start_epoch(leadership.epoch)
        if self.platform.advice is not None:
            self._advice_dispatcher = AdviceDispatcher(
                self.platform.advice, self._request_advice, now=clock.now
            )
        self.leader = Leader(
            self.platform,
            leadership,
            limits=self.settings.limits,
            clock=clock,
            unix_time=self._unix_time,
            advice_dispatcher=self._advice_dispatcher,
            record_live=self._phase_cache.record_live,
            record_end=self._phase_cache.record_end,
            metrics=self.metrics,
            suspension_times=self._suspension_times,
            wake_followers=self._phase_cache.wake_waiters,
            election_times=self._candidate.election_times,
        )
        if self.config is not None:
            self.leader.adopt_config(self.config)
        self.metrics.elections.inc()
        releasing = asyncio.create_task(
            self._release_waiters_on_loss(leadership)
        )
        updating = asyncio.create_task(self._update_pending(self.leader))
        try:
            await run_leader(self.leader, self._candidate)
        finally:
            updating.cancel()
            await releasing
            self.leader = self._advice_dispatcher = None

    async def _release_waiters_on_loss(self, leadership: Leadership) -> None:
        """Answers waiting sync requests once the leadership is lost."""
        await leadership.lost.wait()
        self._last_ended_term = leadership.term
        self._phase_cache.wake_waiters()

    def exposition(self) -> bytes:
        """Returns the metrics in Prometheus' text format."""
        age_s = self._host_clock.now() - self._phase_cache.synced_at
        self.metrics.board_age_seconds.set(age_s)
        if self.leader is not None:
            self.leader.update_gauges()
        return self.metrics.exposition()

    async def _update_pending(self, leader: Leader) -> None:
        while True:
            now = self._host_clock.now()
            if self._is_leading(now):
                self._phase_cache.update_pending(
                    leader.workload.count_pending_by_queue(),
                    leader.start_delays(now),
                    hosts=len(self._known_peers.last_sync_at),
                    now=now,
                )
                self._phase_cache.synced_at = now
                self._phase_cache.executors = self._fitness.executors = len(
                    leader.fleet.executors
                )
            self._known_peers.forget_silent(now)
            self._fitness.keep_peers(self._known_peers.last_sync_at)
            if self._fitness.should_hand_over(now - leader.leadership.began_at):
                await self._hand_over(leader)
            if self._advice_dispatcher is not None:
                self._advice_dispatcher.set_peers(
                    list(self._known_peers.last_sync_at)
                )
            await self._host_clock.sleep(SYNC_RETRY_DELAY_S)

    async def _hand_over(self, leader: Leader) -> None:
        _log.warning(
            "resigning because another host is fitter to lead",
            extra=self._fitness.log_fields,
        )
        self._fitness.record_handover()
        leader.leadership.lost.set()
        await self._candidate.resign()

    def _make_sync_request(self) -> SyncRequest:
        has_store = self._config_watcher.is_store_answering
        return SyncRequest(
            self._peers.address,
            self._phase_cache.epoch,
            self._phase_cache.change_number,
            self.config.version if self.config else 0,
            needs_config=self._is_stored_config_unsound or not has_store,
            accepts_packed=True,
            accepts_ends=True,
            # Neither kind of host would be elected after a handover.
            shortfall=(
                UNFIT
                if self.draining or not has_store
                else self._fitness.announced_shortfall
            ),
            pending_number=self._phase_cache.pending_number,
            suspensions_revision=self._suspension_times.revision,
        )

    async def _handle_sync(self, sender: str, req: SyncRequest) -> Result:
        now = self._host_clock.now()
        if not self._is_leading(now):
            return Success(SyncReply(0, over_term=self._last_ended_term))
        self._known_peers.last_sync_at[req.address] = now
        self._fitness.record_peer(req.address, req.shortfall)
        if req.epoch == self._phase_cache.epoch:
            await self._host_clock.sleep(
                sync_batch_delay_s(len(self._known_peers.last_sync_at))
            )
        # A loss during the delay has not woken this request.
        if not self._is_leading(self._host_clock.now()):
            return Success(SyncReply(0, over_term=self._last_ended_term))
        reply = await self._phase_cache.wait_for_changes(
            req.epoch,
            req.number,
            wait_s=SYNC_WAIT_S,
            packs=req.accepts_packed,
            takes_ends=req.accepts_ends,
            pending_number=req.pending_number,
        )
        if not self._is_leading(self._host_clock.now()):
            return Success(SyncReply(0, over_term=self._last_ended_term))
        reply = self._add_leader_state(reply, req)
        if self.config is not None and should_send_config(
            req,
            self.config.version,
            age_s=self._host_clock.now() - self._config_adopted_at,
        ):
            reply = attrs.evolve(reply, config=pack_config(self._config_raw))
        return Success(reply)

    def _add_leader_state(
        self, reply: SyncReply, req: SyncRequest
    ) -> SyncReply:
        """Adds what else the asking host has to know of this leader."""
        suspensions = self.leader.suspensions
        is_known = req.suspensions_revision == suspensions.revision
        return attrs.evolve(
            reply,
            peers=self._known_peers.recent,
            suspensions=(
                () if is_known else suspensions.ages(self._host_clock.now())
            ),
            suspensions_revision=suspensions.revision,
        )

    def _relay_address(self) -> str:
        """Returns the leader's address if another host leads, else ''."""
        record = self._candidate.record
        is_other = record and record.address != self._peers.address
        if is_other and self._is_leader_responsive(self._host_clock.now()):
            return record.address
        return ""

    async def _handle_read(self, sender: str, req: ReadRequest) -> Result:
        return await read_for_peer(self.platform.store, req)

    async def _handle_write(self, sender: str, req: WriteRequest) -> Result:
        return await write_for_peer(self.platform.store, req)

    async def _handle_key_written(
        self, sender: str, req: KeyWrittenRequest
    ) -> Result:
        self._load_written_key(
            req.epoch, Item(req.key, req.value, req.revision)
        )
        return Success(KeyWrittenReply())

    def _load_written_key(self, epoch: int, item: Item) -> None:
        # A leader that is still loading finds the key with its watch.
        leader = self.leader
        if (
            leader is not None
            and leader.is_loaded
            and leader.leadership.epoch == epoch
        ):
            add_stored_jobs(leader, (item,))

    def _notify_leader(self, epoch: int, item: Item) -> None:
        record = self._candidate.record
        if record is None:
            return
        if record.address == self._peers.address:
            self._load_written_key(epoch, item)
            return
        self._notifications.spawn(
            self._peers.call(
                record.address,
                KEY_WRITTEN_KIND,
                KeyWrittenRequest(
                    epoch, item.key, item.value or b"", item.revision
                ),
                KeyWrittenReply,
                timeout_s=SYNC_TIMEOUT_S,
            )
        )

    def _is_leading(self, now: float) -> bool:
        # If false, the other hosts stop relying on this leader: they check the
        # leader's key, since the leadership may be lost, and read job phases
        # from the store, since this leader may not have loaded all jobs.
        leader = self.leader
        return (
            leader is not None
            and leader.is_loaded
            and leader.leadership.may_start_attempts(now)
        )

    async def _handle_advice(self, sender: str, req: AdviceRequest) -> Result:
        if self.platform.advice is None:
            return failure(Code.BAD_REQUEST, "this host has no advice service")
        got = await self.platform.advice.advise(
            req.step, req.executors, timeout_s=req.timeout_s
        )
        return got.map(lambda tickets: AdviceReply(dict(tickets)))

    async def _request_advice(
        self,
        address: str,
        step: str,
        executors: Sequence[str],
        timeout_s: float,
    ) -> Result:
        got = await self._peers.call(
            address,
            ADVICE_KIND,
            AdviceRequest(step, tuple(executors), timeout_s),
            AdviceReply,
            timeout_s=timeout_s + PEER_ROUND_TRIP_S,
        )
        return got.map(lambda reply: reply.tickets)
