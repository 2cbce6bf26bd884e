"""The scheduler host as a service.

The parts do the work; this module connects them, starts them in order and
drains them.
"""

__all__ = ["SchedulerHost"]

import asyncio
import logging
import random
import zlib
from collections.abc import Callable

import attrs
import mode
from returns.result import Failure, Success

from dragonflybank.cluster.clock import Clock, SystemClock
from dragonflybank.cluster.config_sync import ConfigHolder, ConfigSync
from dragonflybank.cluster.gossip import Gossiper
from dragonflybank.cluster.links import PeerServer
from dragonflybank.cluster.membership import Membership
from dragonflybank.cluster.ownership import Ownership, OwnershipConfig
from dragonflybank.config.editor import ConfigEditor
from dragonflybank.config.operator import decode_operator_config
from dragonflybank.config.settings import Settings, injected_latency_s
from dragonflybank.host.active_config import ActiveConfig
from dragonflybank.host.fleet import Fleet
from dragonflybank.host.http_frontend import HttpFront
from dragonflybank.host.job_frontend import JobsFront
from dragonflybank.host.links import HostLinks
from dragonflybank.host.lookup_preemption import CrestGuard
from dragonflybank.host.lookups import LookupRouter
from dragonflybank.host.metrics import HostMetrics
from dragonflybank.host.operator_view import HostView
from dragonflybank.host.owned_workers import OwnerSide
from dragonflybank.host.peer_handlers import handlers
from dragonflybank.host.runner import HostTaskRunner
from dragonflybank.host.scheduling_rules import HostSchedulingRules
from dragonflybank.host.shard_manager import ShardTable
from dragonflybank.host.task_outcomes import ClassStatistics, Health
from dragonflybank.jobs.home import ShardHome
from dragonflybank.jobs.results import ResultStore
from dragonflybank.model.codes import Problem
from dragonflybank.model.decisions import DecisionLog
from dragonflybank.model.topology import CapacitySummary, VmInfo
from dragonflybank.operators.execute import execute
from dragonflybank.operators.render import problem_to_json, report_to_json
from dragonflybank.platform.store import HttpConfigStore
from dragonflybank.platform.vmlist import HttpVmList
from dragonflybank.platform.worker import HttpWorkerClient
from dragonflybank.policy.placement import BestFitPolicy
from dragonflybank.policy.routing import SUMMARY_MAX_AGE_S, LinkCost

_log = logging.getLogger(__name__)

STEP_S = 0.5
DRAIN_POLL_S = 0.05
START_READS_S = 5.0
# Ownership moves at the other hosts' pace; lookups are bounded by 30 s.
HANDOVER_LIMIT_S = 10.0


class SchedulerHost(mode.Service):
    """One scheduler host.

    Attributes:
        settings: Its settings.
        draining: Whether it is leaving.

    Args:
        settings: Settings of the process.
        clock: Clock of the loops.
        on_ports: Called with the ports of the HTTP and the peer socket.
    """

    shutdown_timeout = 60.0

    def __init__(
        self,
        settings: Settings,
        *,
        clock: Clock | None = None,
        on_ports: Callable[[int, int], None] = lambda http, peer: None,
        **kwargs,
    ):
        super().__init__(**kwargs)
        self.settings = settings
        self._on_ports = on_ports
        self.name = settings.name
        self.draining = False
        self.loop_clock = clock or SystemClock()
        self.clock = self.loop_clock.now
        self.decisions = DecisionLog()
        self.metrics = HostMetrics()
        self.active_config = ActiveConfig()
        self.class_statistics = ClassStatistics()
        self.health = Health(self)
        self.policy = BestFitPolicy()
        self.owner = OwnerSide(self)
        self.crest = CrestGuard(self)
        self.store = HttpConfigStore(settings.store_url)
        self._vmlist = HttpVmList(settings.vmlist_url)
        self.fleet = Fleet(self._vmlist)
        self.links = HostLinks(
            self.name,
            self._address_of,
            metrics=self.metrics,
            latency_to=self._latency_to,
            on_bytes=self._count_link_bytes,
        )
        self.lookups = LookupRouter(self)
        self.shards = ShardTable(self)
        self.jobs = JobsFront(self, self.shards)
        self.runner = HostTaskRunner(self, self.policy)
        self.results = ResultStore(
            self.store, writes_per_s=settings.results_per_s
        )
        self.http = HttpFront(self)
        self.view = HostView(self, ConfigEditor(self.store))
        self.server = PeerServer(
            settings.peer.address,
            settings.peer.port,
            on_bytes=self._count_server_bytes,
        )
        self.membership: Membership | None = None
        self.gossiper: Gossiper | None = None
        self.ownership: Ownership | None = None
        self.spread: ConfigSync | None = None

    async def on_start(self) -> None:
        """Opens the sockets and starts the loops."""
        self.server.serve(handlers(self))
        address = f"{self.settings.peer.address}:{self.server.port}"
        now = self.clock()
        self.membership = Membership(
            self.name, self.settings.region, address, now=now
        )
        rng = random.Random(f"{self.name}/{now}")
        self.gossiper = Gossiper(
            self.membership, self.links, rng=rng, summary=self.capacity
        )
        self.ownership = Ownership(
            OwnershipConfig(
                self.name,
                self.settings.region,
                self.settings.lookup_reserve,
            ),
            self.membership,
            _client_of,
            on_finished=self.jobs.finished,
            peers=self.links,
            rng=rng,
        )
        self.spread = ConfigSync(
            ConfigHolder(self._adopt_config),
            self.store,
            self.membership,
            self.links,
            read_generation=lambda value: decode_operator_config(value).map(
                lambda cfg: cfg.generation
            ),
            rng=rng,
        )
        await self._read_fleet()
        self._set_candidates()
        await self.http.start(
            self.settings.http.address, self.settings.http.port
        )
        for loop in (
            self.gossiper.run(self.loop_clock),
            self.ownership.run(self.loop_clock),
            self.spread.run(self.loop_clock),
            self._read_fleet_always(),
            self._step_shards(),
            self.crest.run(),
        ):
            self.add_future(loop)
        _log.info(
            "host %s serves http on port %d and peers on %s",
            self.name,
            self.http.port,
            address,
        )
        self._on_ports(self.http.port, self.server.port)

    async def on_stop(self) -> None:
        """Drains: hands over workers and shards, finishes requests."""
        self.draining = True
        await self.gossiper.announce_leaving(self.loop_clock)
        self.lookups.slots.drain()
        await self.shards.close()
        try:
            async with asyncio.timeout(self.settings.intervals.drain_s):
                while self.http.in_progress or self.lookups.slots.executing:
                    await self.loop_clock.sleep(DRAIN_POLL_S)
        except TimeoutError:
            _log.error("%d requests are cut off", self.http.in_progress)
        try:
            async with asyncio.timeout(HANDOVER_LIMIT_S):
                await self.ownership.drain(self.loop_clock)
        except TimeoutError:
            _log.warning("not all workers were handed over")

    async def on_shutdown(self) -> None:
        """Closes the sockets after the loops have ended."""
        await self.http.stop()
        await self.server.close()
        await self.links.close()
        await self.store.close()
        await self._vmlist.close()

    def capacity(self, now: float) -> CapacitySummary:
        """Returns the free capacity of the owned workers."""
        summary = self.ownership.capacity_summary(
            now, self.lookups.slots.wait_s()
        )
        quarantined = len(self.health.quarantined)
        return attrs.evolve(summary, quarantined=quarantined)

    def fresh_summaries(self, now: float) -> tuple[CapacitySummary, ...]:
        """Returns the other hosts' summaries that are young enough to use."""
        return self.membership.summaries(now, SUMMARY_MAX_AGE_S)

    def round_trip_s(self, host: str) -> float:
        """Returns the latency of the link to a host and back, in seconds."""
        is_near = self.membership.region_of(host) == self.settings.region
        return 0.0 if is_near else 2 * LinkCost().latency_s

    def not_ready(self) -> str:
        """Returns why the balancer should not send requests here."""
        if self.draining:
            return "the host is leaving"
        return "" if self.spread.is_ready else "no current configuration"

    def new_shard_home(self, shard: str) -> ShardHome:
        """Returns a home for a shard, not opened yet."""
        return ShardHome(
            shard,
            self.name,
            store=self.store,
            runner=self.runner,
            rules=HostSchedulingRules(self, shard),
            results=self.results,
            seed=zlib.crc32(shard.encode()),
            clock=self.clock,
            log=self.decisions.add,
        )

    async def query(self, text: str, *, operator: str) -> dict:
        """Runs an operator's command and returns its JSON reply."""
        report = await execute(
            self.view, text, operator=operator, now=self.clock()
        )
        match report:
            case Success(found):
                return report_to_json(found)
            case Failure(Problem() as failed):
                return problem_to_json(failed)

    async def _read_fleet_always(self) -> None:
        started_at = self.clock()
        while True:
            # Hosts that start together are not in each other's first reading.
            is_new = self.clock() - started_at < START_READS_S
            interval_s = self.settings.intervals.vmlist_s
            await self.loop_clock.sleep(
                min(interval_s, STEP_S) if is_new else interval_s
            )
            await self._read_fleet()
            self._set_candidates()

    async def _read_fleet(self) -> None:
        if isinstance(await self.fleet.read(), Success):
            self.ownership.update_workers(self.fleet.workers, self.clock())

    async def _step_shards(self) -> None:
        while True:
            if self.active_config.generation and not self.draining:
                await self.shards.step(self.clock())
            self.metrics.owned_workers.set(len(self.ownership.owned_sessions()))
            self.metrics.open_shards.set(len(self.shards.open_homes()))
            await self.loop_clock.sleep(STEP_S)

    def _set_candidates(self) -> None:
        seeds = {s.name: f"{s.address}:{s.port}" for s in self.settings.seeds}
        self.membership.set_join_candidates(
            {**seeds, **self.fleet.host_addresses()}
        )

    def _address_of(self, host: str) -> str | None:
        return self.membership.address_of(host)

    def _latency_to(self, address: str) -> float:
        return injected_latency_s(self.settings, self._region_at(address))

    def _region_at(self, address: str) -> str:
        entries = self.membership.peers(self.clock())
        return next((e.region for e in entries if e.address == address), "")

    def _count_link_bytes(self, address: str, sent: int, received: int) -> None:
        scope = self._scope_of(self._region_at(address))
        self.metrics.count_peer_bytes(scope, sent, received)

    def _count_server_bytes(self, peer: str, sent: int, received: int) -> None:
        scope = self._scope_of(self.membership.region_of(peer))
        self.metrics.count_peer_bytes(scope, sent, received)

    def _scope_of(self, region: str | None) -> str:
        if not region:
            return "unknown"
        own = region == self.settings.region
        return "within_region" if own else "between_regions"

    def _adopt_config(self, generation: int, value: bytes) -> None:
        self.active_config.adopt(value)
        self.metrics.generation.set(generation)


def _client_of(vm: VmInfo) -> HttpWorkerClient:
    return HttpWorkerClient(vm.name, vm.url)
