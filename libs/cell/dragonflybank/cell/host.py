"""A host of the cell: it answers callers, and one of the hosts leads."""

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
from dragonflybank.cell.election import Candidate, Leadership
from dragonflybank.cell.frontend import CellFrontend
from dragonflybank.cell.jobs import CellConfig
from dragonflybank.cell.lag import LoopLag
from dragonflybank.cell.leader import Leader
from dragonflybank.cell.limits import CellLimits
from dragonflybank.cell.messages import (
    ADVISE,
    NOTICE,
    READ,
    SYNC,
    WRITE,
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
from dragonflybank.cell.phase_cache import JobPhaseCache
from dragonflybank.cell.ports import Item, Platform
from dragonflybank.cell.relay import (
    RelayedStore,
    read_for_peer,
    write_for_peer,
)
from dragonflybank.cell.session import lead
from dragonflybank.cell.takeover import add_stored_jobs
from dragonflybank.cell.watching import Watch
from dragonflybank.cluster.clock import Clock
from dragonflybank.model.codes import Code, failure

_log = logging.getLogger(__name__)

# The leader answers a question without news after this time.
SYNC_WAIT_S = 0.7
SYNC_TIMEOUT_S = 1.4
# A leader that has not answered for this long may be dead.
HEARD_S = 1.2
# The wait for changes of the configuration shows whether the store answers.
CONFIG_WAIT_S = 1.0
# Gathers changes of state into one answer; small against an objective.
SYNC_GATHER_S = 0.04
SYNC_RETRY_S = 0.2
# A host that has not asked for news for this long makes no calls for advice.
PEER_AGE_S = 2.5
# For the way to a peer and back, beside the peer's own call.
PEER_EXTRA_S = 0.2
# Hosts with less are elected after the others.
STRONG_CORES = 1.0


@attrs.frozen
class HostSettings:
    """Settings of a host of a cell.

    Attributes:
        name: Name of the host.
        cores: Processors that it may use.
        limits: Bounds of the platform.
    """

    name: str
    cores: float = 1.0
    limits: CellLimits = CellLimits()


class CellHost(mode.Service):
    """One host.

    Attributes:
        front: Answers callers.
        config: The operators' configuration, None before it is known.
        metrics: Its metrics.
        draining: Whether the host is leaving.
        leader: The leader while this host leads, or None.

    Args:
        settings: Settings of the host.
        platform: The platform.
        peers: The other hosts.
        clock: Steady clock.
        wall: Returns the time of day, seconds since 1970.
    """

    shutdown_timeout = 10.0

    def __init__(
        self,
        settings: HostSettings,
        platform: Platform,
        peers: Peers,
        *,
        clock: Clock,
        wall: Callable[[], float],
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
        self._clock_of_host = clock
        self._wall = wall
        self._phase_cache = JobPhaseCache()
        self._config_watch = Watch(
            platform.store, platform.config_key, clock, wait_s=CONFIG_WAIT_S
        )
        self.frontend = CellFrontend(
            RelayedStore(
                platform.store,
                peers,
                is_answering=lambda: self._config_watch.is_answered,
                relay_address=self._relay_address,
            ),
            self._phase_cache,
            clock=clock,
            notify=self._notify_leader,
        )
        self._peers = peers
        self._asked_at: dict[str, float] = {}
        self._over_term = 0
        self._lag = LoopLag()
        self._notices = BackgroundTasks()
        self._lines: AdviceDispatcher | None = None
        self._candidate = Candidate(
            platform.store,
            settings.name,
            peers.address,
            clock=clock,
            is_weak=settings.cores < STRONG_CORES,
            rng=random.Random(settings.name),
            is_leader_heard=self._is_leader_heard,
            has_process_exited=peers.has_process_exited,
            lag=self._lag,
        )

    async def on_start(self) -> None:
        """Opens the peer socket and starts the loops."""
        self._peers.serve(
            {
                SYNC: (SyncRequest, self._answer_sync),
                ADVISE: (AdviceRequest, self._answer_advise),
                NOTICE: (KeyWrittenRequest, self._answer_notice),
                READ: (ReadRequest, self._answer_read),
                WRITE: (WriteRequest, self._answer_write),
            }
        )
        for loop in (
            self._lag.run(self._clock_of_host),
            self._follow_config(),
            self._stand(),
            self._sync(),
        ):
            self.add_future(loop)
        _log.info("started", extra={"host": self.settings.name})

    async def on_stop(self) -> None:
        """Gives up the leadership."""
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
        """Why callers should be sent elsewhere, empty if they should not."""
        if self.draining:
            return "the host is leaving"
        if self.config is None:
            return "no configuration"
        is_reachable = self._config_watch.is_answered or self._relay_address()
        return "" if is_reachable else "store silent"

    def adopt_config(self, raw: bytes) -> None:
        """Puts a configuration in force unless a newer one is."""
        match self.platform.decode_config(raw):
            case Success(cfg):
                if self.config is None or cfg.version > self.config.version:
                    self.config = cfg
                    self._config_raw = raw
                    self.metrics.config_version.set(cfg.version)
                    _log.info(
                        "configuration in force",
                        extra={"version": cfg.version},
                    )
            case Failure(failed):
                _log.error(
                    "configuration unreadable", extra={"detail": failed.detail}
                )

    async def _follow_config(self) -> None:
        key = self.platform.config_key
        async for items, _ in self._config_watch.changes(None):
            for item in items:
                if item.key == key and item.value is not None:
                    self.adopt_config(item.value)

    def _is_leader_heard(self, now: float) -> bool:
        return now - self._phase_cache.fresh_at <= HEARD_S

    async def _stand(self) -> None:
        while not self.draining:
            leadership = await self._candidate.wait_for_turn()
            if self.draining:
                await self._candidate.resign()
                return
            await self._lead(leadership)

    async def _lead(self, leadership: Leadership) -> None:
        clock = self._clock_of_host
        self._phase_cache.start_epoch(leadership.epoch)
        if self.platform.advice is not None:
            self._lines = AdviceDispatcher(
                self.platform.advice, self._ask_peer, now=clock.now
            )
        self.leader = Leader(
            self.platform,
            leadership,
            limits=self.settings.limits,
            clock=clock,
            wall=self._wall,
            advice_dispatcher=self._lines,
            publish=self._phase_cache.record_phase,
            metrics=self.metrics,
        )
        self.metrics.elections.inc()
        telling = asyncio.create_task(self._tell_loss(leadership))
        reporting = asyncio.create_task(self._report(self.leader))
        try:
            await lead(self.leader, self._candidate)
        finally:
            reporting.cancel()
            await telling
            if self._lines is not None:
                self._lines.close()
            self.leader = self._lines = None

    async def _tell_loss(self, leadership: Leadership) -> None:
        """Answers those who wait for news once the leadership is lost."""
        await leadership.lost.wait()
        self._over_term = leadership.term
        self._phase_cache.wake_waiters()

    def exposition(self) -> bytes:
        """Returns the metrics in Prometheus' text format."""
        age_s = self._clock_of_host.now() - self._phase_cache.fresh_at
        self.metrics.board_age_seconds.set(age_s)
        if self.leader is not None:
            self.leader.update_gauges()
        return self.metrics.exposition()

    async def _report(self, leader: Leader) -> None:
        while True:
            now = self._clock_of_host.now()
            if self._is_leading(now):
                self._phase_cache.pending = (
                    leader.workload.count_pending_by_queue()
                )
                self._phase_cache.fresh_at = now
            if self._lines is not None:
                self._lines.set_peers(
                    [
                        address
                        for address, asked_at in self._asked_at.items()
                        if now - asked_at < PEER_AGE_S
                    ]
                )
            await self._clock_of_host.sleep(SYNC_RETRY_S)

    async def _sync(self) -> None:
        clock = self._clock_of_host
        while True:
            record = self._candidate.record
            if record is None or record.address == self._peers.address:
                await clock.sleep(SYNC_RETRY_S)
                continue
            changed = asyncio.create_task(self._candidate.changed.wait())
            asking = asyncio.create_task(self._ask_for_news(record.address))
            try:
                # A leader that has been replaced may never answer.
                await asyncio.wait(
                    (changed, asking), return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                changed.cancel()
                asking.cancel()
            if not asking.done() or asking.cancelled():
                continue
            match asking.result():
                case Success(reply) if reply.epoch:
                    self._phase_cache.apply_changes(reply, clock.now())
                    if reply.config:
                        self.adopt_config(reply.config)
                case got:
                    if isinstance(got, Success):
                        self._candidate.note_over(got.unwrap().over_term)
                    self._phase_cache.fresh_at = float("-inf")
                    await clock.sleep(SYNC_RETRY_S)

    async def _ask_for_news(self, address: str) -> Result:
        question = SyncRequest(
            self._peers.address,
            self._phase_cache.epoch,
            self._phase_cache.change_number,
            self.config.version if self.config else 0,
        )
        return await self._peers.call(
            address, SYNC, question, SyncReply, timeout_s=SYNC_TIMEOUT_S
        )

    async def _answer_sync(self, sender: str, req: SyncRequest) -> Result:
        now = self._clock_of_host.now()
        if not self._is_leading(now):
            return Success(SyncReply(0, over_term=self._over_term))
        self._asked_at[req.address] = now
        if req.epoch == self._phase_cache.epoch:
            await self._clock_of_host.sleep(SYNC_GATHER_S)
        reply = await self._phase_cache.wait_for_changes(
            req.epoch, req.number, wait_s=SYNC_WAIT_S
        )
        if not self._is_leading(self._clock_of_host.now()):
            return Success(SyncReply(0, over_term=self._over_term))
        if self.config is not None and self.config.version > req.version:
            reply = attrs.evolve(reply, config=self._config_raw)
        return Success(reply)

    def _relay_address(self) -> str:
        """Returns the address of a leader that reaches the store."""
        record = self._candidate.record
        is_other = record and record.address != self._peers.address
        if is_other and self._is_leader_heard(self._clock_of_host.now()):
            return record.address
        return ""

    async def _answer_read(self, sender: str, req: ReadRequest) -> Result:
        return await read_for_peer(self.platform.store, req)

    async def _answer_write(self, sender: str, req: WriteRequest) -> Result:
        return await write_for_peer(self.platform.store, req)

    async def _answer_notice(
        self, sender: str, req: KeyWrittenRequest
    ) -> Result:
        self._take_notice(req.epoch, Item(req.key, req.value, req.revision))
        return Success(KeyWrittenReply())

    def _take_notice(self, epoch: int, item: Item) -> None:
        leader = self.leader
        if leader is not None and leader.leadership.epoch == epoch:
            add_stored_jobs(leader, (item,))

    def _notify_leader(self, epoch: int, item: Item) -> None:
        record = self._candidate.record
        if record is None:
            return
        if record.address == self._peers.address:
            self._take_notice(epoch, item)
            return
        self._notices.spawn(
            self._peers.call(
                record.address,
                NOTICE,
                KeyWrittenRequest(
                    epoch, item.key, item.value or b"", item.revision
                ),
                KeyWrittenReply,
                timeout_s=SYNC_TIMEOUT_S,
            )
        )

    def _is_leading(self, now: float) -> bool:
        # The others look at the leader's key when it is not confirmed, and
        # into the store while the leader does not know all jobs.
        leader = self.leader
        return (
            leader is not None
            and leader.is_loaded
            and leader.leadership.may_start_attempts(now)
        )

    async def _answer_advise(self, sender: str, req: AdviceRequest) -> Result:
        if self.platform.advice is None:
            return failure(Code.BAD_REQUEST, "no advice service")
        got = await self.platform.advice.advise(
            req.step, req.executors, timeout_s=req.timeout_s
        )
        return got.map(lambda tickets: AdviceReply(dict(tickets)))

    async def _ask_peer(
        self,
        address: str,
        step: str,
        executors: Sequence[str],
        timeout_s: float,
    ) -> Result:
        got = await self._peers.call(
            address,
            ADVISE,
            AdviceRequest(step, tuple(executors), timeout_s),
            AdviceReply,
            timeout_s=timeout_s + PEER_EXTRA_S,
        )
        return got.map(lambda advised: advised.tickets)
