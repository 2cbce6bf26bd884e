"""The scheduler host as a service.

Connects the components of a host, starts them in order and drains them at a
shutdown.
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
from dragonflybank.host.http_frontend import HttpFrontend
from dragonflybank.host.job_frontend import JobFrontend
from dragonflybank.host.links import HostLinks
from dragonflybank.host.lookup_preemption import LookupPreemptor
from dragonflybank.host.lookups import LookupRouter
from dragonflybank.host.metrics import HostMetrics
from dragonflybank.host.operator_view import HostView
from dragonflybank.host.owned_workers import OwnedWorkers
from dragonflybank.host.peer_handlers import make_peer_handlers
from dragonflybank.host.runner import HostTaskRunner
from dragonflybank.host.scheduling_rules import HostSchedulingRules
from dragonflybank.host.shard_manager import ShardManager
from dragonflybank.host.task_outcomes import ClassStatistics, HealthTracker
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

STEP_INTERVAL_S = 0.5
DRAIN_POLL_INTERVAL_S = 0.05
# The VM list is polled every STEP_INTERVAL_S for this time after the start.
FAST_POLL_DURATION_S = 5.0
# Limits the wait until other hosts have taken over the workers, which would not
# end if they cannot reach one of them. The wait for lookups in progress has its
# own limit, `Intervals.drain_s`, by default 30 s.
HANDOVER_TIMEOUT_S = 10.0


class SchedulerHost(mode.Service):
    """One scheduler host.

    Attributes:
        settings: Settings of the process.
        draining: Whether the host is shutting down.

    Args:
        settings: Settings of the process.
        clock: Clock of the background loops.
        on_ports: Called with the HTTP port and the peer port once both sockets
            listen.
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
        self.worker_health = HealthTracker(self)
        self.placement_policy = BestFitPolicy()
        self.owned_workers = OwnedWorkers(self)
        self.preemptor = LookupPreemptor(self)
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
        self.shards = ShardManager(self)
        self.jobs = JobFrontend(self, self.shards)
        self.runner = HostTaskRunner(self, self.placement_policy)
        self.results = ResultStore(
            self.store, writes_per_s=settings.results_per_s
        )
        self.http = HttpFrontend(self)
        self.view = HostView(self, ConfigEditor(self.store))
        self.server = PeerServer(
            settings.peer.address,
            settings.peer.port,
            on_bytes=self._count_server_bytes,
        )
        self.membership: Membership | None = None
        self.gossiper: Gossiper | None = None
        self.ownership: Ownership | None = None
        self.config_sync: ConfigSync | None = None

    async def on_start(self) -> None:
        """Opens the sockets and starts the background loops."""
        self.server.serve(make_peer_handlers(self))
        address = f"{self.settings.peer.address}:{self.server.port}"
        now = self.clock()
        self.membership = Membership(
            self.name, self.settings.region, address, now=now
        )
        rng = random.Random(f"{self.name}/{now}")
        self.gossiper = Gossiper(
            self.membership, self.links, rng=rng, summary=self.capacity_summary
        )
        self.ownership = Ownership(
            OwnershipConfig(
                self.name,
                self.settings.region,
                self.settings.lookup_reserve,
            ),
            self.membership,
            _make_worker_client,
            on_finished=self.jobs.on_task_ended,
            peers=self.links,
            rng=rng,
        )
        self.config_sync = ConfigSync(
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
        self._update_join_candidates()
        await self.http.start(
            self.settings.http.address, self.settings.http.port
        )
        for loop in (
            self.gossiper.run(self.loop_clock),
            self.ownership.run(self.loop_clock),
            self.config_sync.run(self.loop_clock),
            self._poll_fleet(),
            self._step_shards(),
            self.preemptor.run(),
        ):
            self.add_future(loop)
        _log.info(
            "host %s listens for HTTP on port %d and for peers on %s",
            self.name,
            self.http.port,
            address,
        )
        self._on_ports(self.http.port, self.server.port)

    async def on_stop(self) -> None:
        """Drains: releases shards, finishes requests, hands over workers."""
        self.draining = True
        await self.gossiper.announce_leaving(self.loop_clock)
        self.lookups.slots.refuse_waiting()
        await self.shards.close()
        try:
            async with asyncio.timeout(self.settings.intervals.drain_s):
                while self.http.in_progress or self.lookups.slots.executing:
                    await self.loop_clock.sleep(DRAIN_POLL_INTERVAL_S)
        except TimeoutError:
            _log.error(
                "aborting %d requests that did not end within the drain time",
                self.http.in_progress,
            )
        try:
            async with asyncio.timeout(HANDOVER_TIMEOUT_S):
                await self.ownership.drain(self.loop_clock)
        except TimeoutError:
            _log.warning("drain ends before all workers are handed over")

    async def on_shutdown(self) -> None:
        """Closes the sockets after the background loops have ended."""
        await self.http.stop()
        await self.server.close()
        await self.links.close()
        await self.store.close()
        await self._vmlist.close()

    def capacity_summary(self, now: float) -> CapacitySummary:
        """Returns the free capacity of the owned workers."""
        summary = self.ownership.capacity_summary(
            now, self.lookups.slots.expected_wait_s()
        )
        quarantined = len(self.worker_health.quarantined)
        return attrs.evolve(summary, quarantined=quarantined)

    def fresh_summaries(self, now: float) -> tuple[CapacitySummary, ...]:
        """Returns the recent capacity summaries of other hosts."""
        return self.membership.summaries(now, SUMMARY_MAX_AGE_S)

    def round_trip_s(self, host: str) -> float:
        """Returns the round-trip latency of the link to a host in seconds.

        It counts as 0 within the region.
        """
        is_near = self.membership.region_of(host) == self.settings.region
        return 0.0 if is_near else 2 * LinkCost().latency_s

    def not_ready_reason(self) -> str:
        """Returns why the host is not ready; empty if it is ready."""
        if self.draining:
            return "the host is leaving"
        return "" if self.config_sync.is_ready else "no current configuration"

    def new_shard_home(self, shard: str) -> ShardHome:
        """Returns a new home for a shard, which is not open yet."""
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

    async def _poll_fleet(self) -> None:
        started_at = self.clock()
        while True:
            # Hosts that start at the same time are missing from the first VM
            # list that each of them reads, so a new host polls more often.
            is_starting = self.clock() - started_at < FAST_POLL_DURATION_S
            interval_s = self.settings.intervals.vmlist_s
            await self.loop_clock.sleep(
                min(interval_s, STEP_INTERVAL_S) if is_starting else interval_s
            )
            await self._read_fleet()
            self._update_join_candidates()

    async def _read_fleet(self) -> None:
        if isinstance(await self.fleet.read(), Success):
            self.ownership.update_workers(self.fleet.workers, self.clock())

    async def _step_shards(self) -> None:
        while True:
            if self.active_config.generation and not self.draining:
                await self.shards.step(self.clock())
            self.metrics.owned_workers.set(len(self.ownership.owned_sessions()))
            self.metrics.open_shards.set(len(self.shards.open_homes()))
            await self.loop_clock.sleep(STEP_INTERVAL_S)

    def _update_join_candidates(self) -> None:
        seeds = {s.name: f"{s.address}:{s.port}" for s in self.settings.seeds}
        self.membership.set_join_candidates(
            {**seeds, **self.fleet.host_addresses()}
        )

    def _address_of(self, host: str) -> str | None:
        return self.membership.address_of(host)

    def _latency_to(self, address: str) -> float:
        return injected_latency_s(
            self.settings, self._region_of_address(address)
        )

    def _region_of_address(self, address: str) -> str:
        entries = self.membership.peer_entries(self.clock())
        return next((e.region for e in entries if e.address == address), "")

    def _count_link_bytes(self, address: str, sent: int, received: int) -> None:
        scope = self._byte_scope(self._region_of_address(address))
        self.metrics.count_peer_bytes(scope, sent, received)

    def _count_server_bytes(self, peer: str, sent: int, received: int) -> None:
        scope = self._byte_scope(self.membership.region_of(peer))
        self.metrics.count_peer_bytes(scope, sent, received)

    def _byte_scope(self, region: str | None) -> str:
        if not region:
            return "unknown"
        is_same_region = region == self.settings.region
        return "within_region" if is_same_region else "between_regions"

    def _adopt_config(self, generation: int, value: bytes) -> None:
        self.active_config.adopt(value)
        self.metrics.config_generation.set(generation)


def _make_worker_client(vm: VmInfo) -> HttpWorkerClient:
    return HttpWorkerClient(vm.name, vm.url)
