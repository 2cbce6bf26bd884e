"""A host of the cell: it answers callers, and one of the hosts leads."""

__all__ = ["CellHost", "HostSettings"]

import asyncio
import logging
import random
from collections.abc import Callable, Sequence

import attrs
import mode
from returns.result import Failure, Result, Success

from dragonflybank.cell.advising import AdviceLines
from dragonflybank.cell.board import Board
from dragonflybank.cell.clock import BootClock
from dragonflybank.cell.election import Candidate, Leadership
from dragonflybank.cell.front import CellFront
from dragonflybank.cell.jobs import CellConfig
from dragonflybank.cell.leader import Leader
from dragonflybank.cell.limits import CellLimits
from dragonflybank.cell.messages import (
    ADVISE,
    SYNC,
    Advise,
    Advised,
    Sync,
    SyncReply,
)
from dragonflybank.cell.ports import Platform
from dragonflybank.cell.session import lead
from dragonflybank.cell.watching import Watch
from dragonflybank.cluster.links import PeerLink, PeerServer, typed
from dragonflybank.cluster.messages import decode_reply, encode
from dragonflybank.model.codes import Code, problem

_log = logging.getLogger(__name__)

# The leader answers a question without news after this time.
SYNC_WAIT_S = 1.0
SYNC_TIMEOUT_S = 2.0
# Gathers changes of state into one answer; small against an objective.
SYNC_GATHER_S = 0.04
SYNC_RETRY_S = 0.2
# A host that has not asked for news for this long makes no calls for advice.
PEER_AGE_S = 2.5
PEER_CONTEXTS = 96
# Hosts with less are elected after the others.
STRONG_CORES = 1.0


@attrs.frozen
class HostSettings:
    """Settings of a host of a cell.

    Attributes:
        name: Name of the host.
        zone: Its failure domain.
        peer_ip: IP number of its peer socket.
        peer_port: Port of its peer socket.
        cores: Processors that it may use.
        limits: Bounds of the platform.
    """

    name: str
    zone: str
    peer_ip: str
    peer_port: int
    cores: float = 1.0
    limits: CellLimits = CellLimits()


class CellHost(mode.Service):
    """One host.

    Attributes:
        front: Answers callers.
        config: The operators' configuration, None before it is known.
        draining: Whether the host is leaving.
        leader: The leader while this host leads, or None.

    Args:
        settings: Settings of the host.
        platform: The platform.
        clock: Steady clock.
        wall: Returns the time of day, seconds since 1970.
    """

    shutdown_timeout = 10.0

    def __init__(
        self,
        settings: HostSettings,
        platform: Platform,
        *,
        clock: BootClock,
        wall: Callable[[], float],
        **kwargs,
    ):
        super().__init__(**kwargs)
        self.settings = settings
        self.platform = platform
        self.config: CellConfig | None = None
        self.draining = False
        self.leader: Leader | None = None
        self._config_raw = b""
        self._clock_of_host = clock
        self._wall = wall
        self._board = Board()
        self.front = CellFront(platform.store, self._board, clock=clock)
        self._address = f"{settings.peer_ip}:{settings.peer_port}"
        self._server = PeerServer(
            settings.peer_ip, settings.peer_port, contexts=PEER_CONTEXTS
        )
        self._peer_links: dict[str, PeerLink] = {}
        self._peers: dict[str, float] = {}
        self._lines: AdviceLines | None = None
        self._candidate = Candidate(
            platform.store,
            settings.name,
            self._address,
            clock=clock,
            is_weak=settings.cores < STRONG_CORES,
            rng=random.Random(settings.name),
        )

    async def on_start(self) -> None:
        """Opens the peer socket and starts the loops."""
        self._server.serve(
            {
                SYNC: typed(Sync, self._answer_sync),
                ADVISE: typed(Advise, self._answer_advise),
            }
        )
        for loop in (self._follow_config(), self._stand(), self._sync()):
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
        for link in self._peer_links.values():
            await link.close()
        await self._server.close()
        await self.platform.close()
        _log.info("stopped", extra={"host": self.settings.name})

    def adopt_config(self, raw: bytes) -> None:
        """Puts a configuration in force unless a newer one is."""
        match self.platform.decode_config(raw):
            case Success(cfg):
                if self.config is None or cfg.version > self.config.version:
                    self.config = cfg
                    self._config_raw = raw
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
        watch = Watch(self.platform.store, key, self._clock_of_host)
        async for items, _ in watch.changes(None):
            for item in items:
                if item.key == key and item.value is not None:
                    self.adopt_config(item.value)

    async def _stand(self) -> None:
        while not self.draining:
            leadership = await self._candidate.wait_for_turn()
            if self.draining:
                await self._candidate.resign()
                return
            await self._lead(leadership)

    async def _lead(self, leadership: Leadership) -> None:
        clock = self._clock_of_host
        self._board.lead(leadership.epoch)
        if self.platform.advice is not None:
            self._lines = AdviceLines(
                self.platform.advice, self._ask_peer, now=clock.now
            )
        self.leader = Leader(
            self.platform,
            leadership,
            limits=self.settings.limits,
            clock=clock,
            wall=self._wall,
            lines=self._lines,
            publish=self._board.publish,
        )
        reporting = asyncio.create_task(self._report(self.leader))
        try:
            await lead(self.leader, self._candidate)
        finally:
            reporting.cancel()
            if self._lines is not None:
                self._lines.close()
            self.leader = self._lines = None

    async def _report(self, leader: Leader) -> None:
        while True:
            now = self._clock_of_host.now()
            if leader.leadership.may_start(now):
                self._board.pending = leader.workload.pending()
                self._board.fresh_at = now
            if self._lines is not None:
                self._lines.set_peers(
                    [a for a, t in self._peers.items() if now - t < PEER_AGE_S]
                )
            await self._clock_of_host.sleep(SYNC_RETRY_S)

    async def _sync(self) -> None:
        clock = self._clock_of_host
        while True:
            record = self._candidate.record
            if record is None or record.address == self._address:
                await clock.sleep(SYNC_RETRY_S)
                continue
            version = self.config.version if self.config else 0
            question = Sync(
                self._address, self._board.epoch, self._board.number, version
            )
            raw = await self._link(record.address).call(
                SYNC, encode(question), timeout_s=SYNC_TIMEOUT_S
            )
            match raw.bind(lambda reply: decode_reply(reply, SyncReply)):
                case Success(reply) if reply.epoch:
                    self._board.take(reply, clock.now())
                    if reply.config:
                        self.adopt_config(reply.config)
                case _:
                    await clock.sleep(SYNC_RETRY_S)

    async def _answer_sync(self, sender: str, req: Sync) -> Result:
        if self.leader is None:
            return Success(SyncReply(0))
        now = self._clock_of_host.now()
        self._peers[req.address] = now
        if req.epoch == self._board.epoch:
            await self._clock_of_host.sleep(SYNC_GATHER_S)
        reply = await self._board.news(
            req.epoch, req.number, wait_s=SYNC_WAIT_S
        )
        if self.leader is None:
            return Success(SyncReply(0))
        if self.config is not None and self.config.version > req.version:
            reply = attrs.evolve(reply, config=self._config_raw)
        return Success(reply)

    async def _answer_advise(self, sender: str, req: Advise) -> Result:
        if self.platform.advice is None:
            return problem(Code.BAD_REQUEST, "no advice service")
        got = await self.platform.advice.advise(
            req.step, req.executors, timeout_s=req.timeout_s
        )
        return got.map(lambda tickets: Advised(dict(tickets)))

    async def _ask_peer(
        self,
        address: str,
        step: str,
        executors: Sequence[str],
        timeout_s: float,
    ) -> Result:
        raw = await self._link(address).call(
            ADVISE,
            encode(Advise(step, tuple(executors), timeout_s)),
            timeout_s=timeout_s + 0.2,
        )
        got = raw.bind(lambda reply: decode_reply(reply, Advised))
        return got.map(lambda advised: advised.tickets)

    def _link(self, address: str) -> PeerLink:
        if address not in self._peer_links:
            self._peer_links[address] = PeerLink(self.settings.name, address)
        return self._peer_links[address]
