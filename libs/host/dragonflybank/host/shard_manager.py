"""Opens and closes the job shards whose home is this host."""

__all__ = ["ShardManager"]

import asyncio
import itertools
import logging

from returns.result import Failure

from dragonflybank.jobs.home import ShardHome
from dragonflybank.model.codes import Code, Problem
from dragonflybank.model.hashing import rank_members, shard_of_job

_log = logging.getLogger(__name__)

# A region that loses contact with the others keeps the shards that it writes:
# hosts of another region take a shard over only after this time without a live
# host in the shard's region and without a write to the shard.
REGION_TAKEOVER_DELAY_S = 60.0
MIN_OPEN_RETRY_DELAY_S = 1.0
MAX_OPEN_RETRY_DELAY_S = 30.0
# Three gossip rounds. A host that starts learns of the other hosts before it
# opens shards of which they are the home.
STARTUP_DELAY_S = 1.5


class ShardManager:
    """Assigns shards to hosts and runs the shard homes of this host."""

    def __init__(self, host):
        self._host = host
        self._open_homes: dict[str, ShardHome] = {}
        self._home_tasks: dict[str, asyncio.Task] = {}
        self._opening_tasks: dict[str, asyncio.Task] = {}
        self._started_at = host.clock()
        self._retry_at: dict[str, float] = {}
        self._live_hosts: set[str] = set()
        self._open_delay_s: dict[str, float] = {}

    def open_homes(self) -> list[tuple[str, ShardHome]]:
        """Returns the names and homes of the shards open on this host."""
        return list(self._open_homes.items())

    def has_team(self, team: str) -> bool:
        """Returns whether the configuration in force contains the team."""
        return self._host.active_config.team(team) is not None

    def shard_name(self, team: str, key: str) -> str:
        """Returns the name of the shard that contains a job."""
        owner = self._host.active_config.team(team)
        number = shard_of_job(
            team,
            key,
            self._host.settings.shards_per_region,
            team_shards=owner.shards,
        )
        return f"{owner.region}/{number}"

    def home_host(self, team: str, key: str) -> str | None:
        """Returns the host that should be the home of a job, if any."""
        return self._assigned_host(
            self.shard_name(team, key), self._host.clock()
        )

    def find_open_home(self, team: str, key: str) -> ShardHome | None:
        """Returns the shard home of a job if it is open on this host."""
        if not self.has_team(team):
            return None
        return self._open_homes.get(self.shard_name(team, key))

    def find_open_shard(self, shard: str) -> ShardHome | None:
        """Returns the home of a shard if it is open on this host."""
        return self._open_homes.get(shard)

    async def step(self, now: float) -> None:
        """Opens and closes shards to follow the membership of the cluster."""
        if now - self._started_at < STARTUP_DELAY_S:
            return
        self._recheck_after_host_loss(
            set(self._host.membership.live_hosts(None, now))
        )
        assigned = {
            s
            for s in self._all_shards()
            if self._assigned_host(s, now) == self.name
        }
        for shard, home in list(self._open_homes.items()):
            if shard in assigned and not home.is_releasing:
                continue
            # The next home waits until this one has released the shard.
            released = await home.release(now)
            if released and self._open_homes.get(shard) is home:
                await self._close_shard(shard)
        for shard in (
            assigned - self._open_homes.keys() - self._opening_tasks.keys()
        ):
            if now >= self._retry_at.get(shard, 0.0):
                task = asyncio.create_task(self._open_shard(shard))
                self._opening_tasks[shard] = task

    async def close(self) -> None:
        """Releases all shards."""
        for task in self._opening_tasks.values():
            task.cancel()
        for shard in list(self._open_homes):
            await self._close_shard(shard)

    @property
    def name(self) -> str:
        """Name of this host."""
        return self._host.name

    def _recheck_after_host_loss(self, live: set[str]) -> None:
        # A dead owner does not report that tasks of its workers are lost, and
        # the next owner of a replaced VM does not know of these tasks.
        if self._live_hosts - live:
            for home in self._open_homes.values():
                home.recheck_starts()
        self._live_hosts = live

    def _all_shards(self):
        regions = {team.region for team in self._host.active_config.teams}
        numbers = range(self._host.settings.shards_per_region)
        return (f"{r}/{n}" for r, n in itertools.product(regions, numbers))

    def _assigned_host(self, shard: str, now: float) -> str | None:
        region = shard.rsplit("/", 1)[0]
        membership = self._host.membership
        hosts = membership.live_hosts(region, now)
        if not hosts and self._is_region_silent(region, now):
            hosts = membership.live_hosts(None, now)
        return rank_members(shard, hosts)[0] if hosts else None

    def _is_region_silent(self, region: str, now: float) -> bool:
        silent_s = self._host.membership.region_silent_s(region, now)
        return silent_s >= REGION_TAKEOVER_DELAY_S

    async def _open_shard(self, shard: str) -> None:
        home = self._host.new_shard_home(shard)
        now = self._host.clock()
        is_other_region = shard.rsplit("/", 1)[0] != self._host.settings.region
        min_idle_s = REGION_TAKEOVER_DELAY_S if is_other_region else 0.0
        try:
            opened = await home.open(
                now,
                min_idle_s=min_idle_s,
                is_dead=lambda name: self._host.membership.is_dead(name, now),
            )
        finally:
            self._opening_tasks.pop(shard, None)
        if isinstance(opened, Failure):
            self._on_open_failed(shard, opened.failure(), now)
            return
        self._open_delay_s.pop(shard, None)
        self._open_homes[shard] = home
        self._home_tasks[shard] = asyncio.create_task(
            self._run_home(shard, home)
        )
        _log.info("shard %s is open", shard)

    def _on_open_failed(self, shard: str, failed: Problem, now: float) -> None:
        if failed.code is Code.NOT_HOME:
            # The current home has not been declared dead. It will release the
            # shard or be declared dead later.
            self._retry_at[shard] = now + MIN_OPEN_RETRY_DELAY_S
            return
        self._delay_open(shard, now)
        _log.warning(
            "shard %s could not be opened: %s", shard, failed.code.name
        )

    async def _run_home(self, shard: str, home: ShardHome) -> None:
        """Runs a shard home until it is closed or loses its shard."""
        try:
            await home.run()
        except asyncio.CancelledError:
            raise
        except Exception:
            _log.exception("home of shard %s failed", shard)
        if self._open_homes.get(shard) is home:
            del self._open_homes[shard]
            self._delay_open(shard, self._host.clock())
            _log.warning("shard %s is lost (%s)", shard, Code.CAS_CONFLICT.name)

    async def _close_shard(self, shard: str) -> None:
        home = self._open_homes.pop(shard)
        await home.close()
        task = self._home_tasks.pop(shard)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        _log.info("shard %s is released", shard)

    def _delay_open(self, shard: str, now: float) -> None:
        delay_s = self._open_delay_s.get(shard, MIN_OPEN_RETRY_DELAY_S)
        self._retry_at[shard] = now + delay_s
        self._open_delay_s[shard] = min(2 * delay_s, MAX_OPEN_RETRY_DELAY_S)
