"""Which job shards this host keeps, and their opening and closing."""

__all__ = ["ShardTable"]

import asyncio
import itertools
import logging

from returns.result import Failure

from dragonflybank.jobs.home import ShardHome
from dragonflybank.model.codes import Code, Problem
from dragonflybank.model.hashing import rank_members, shard_of_job

_log = logging.getLogger(__name__)

# A region that lost contact for minutes keeps its shards: hosts of another
# region take one only after this time without a live host in its region.
REGION_ABSENT_S = 60.0
RETRY_OPEN_MIN_S = 1.0
RETRY_OPEN_MAX_S = 30.0
# Three gossip rounds: a host that starts learns of the others before it
# takes shards that they keep.
SETTLE_S = 1.5


class ShardTable:
    """The shards of all regions and those that are open at this host."""

    def __init__(self, host):
        self._host = host
        self._open: dict[str, ShardHome] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._opening: dict[str, asyncio.Task] = {}
        self._started_at = host.clock()
        self._retry_at: dict[str, float] = {}
        self._live: set[str] = set()
        self._delay_s: dict[str, float] = {}

    def open_homes(self) -> list[tuple[str, ShardHome]]:
        """Returns the names and homes of the shards that are open here."""
        return list(self._open.items())

    def knows_team(self, team: str) -> bool:
        """Returns whether the configuration in force has the team."""
        return self._host.active_config.team(team) is not None

    def shard_name(self, team: str, key: str) -> str:
        """Returns the name of the shard that keeps a job."""
        owner = self._host.active_config.team(team)
        number = shard_of_job(
            team,
            key,
            self._host.settings.shards_per_region,
            team_shards=owner.shards,
        )
        return f"{owner.region}/{number}"

    def home_of(self, team: str, key: str) -> str | None:
        """Returns the host that should keep a job, None if there is none."""
        return self._first(self.shard_name(team, key), self._host.clock())

    def open_home(self, team: str, key: str) -> ShardHome | None:
        """Returns the home of a job if it is open here."""
        if not self.knows_team(team):
            return None
        return self._open.get(self.shard_name(team, key))

    def home_of_shard(self, shard: str) -> ShardHome | None:
        """Returns the home of a shard if it is open here."""
        return self._open.get(shard)

    async def step(self, now: float) -> None:
        """Opens and closes shards after a change of the membership."""
        if now - self._started_at < SETTLE_S:
            return
        self._note_gone(set(self._host.membership.live_hosts(None, now)))
        wanted = {s for s in self._shards() if self._first(s, now) == self.name}
        for shard, home in list(self._open.items()):
            if shard in wanted and not home.is_releasing:
                continue
            # Without a release the next home would wait for ever.
            released = await home.release(now)
            if released and self._open.get(shard) is home:
                await self._close(shard)
        for shard in wanted - self._open.keys() - self._opening.keys():
            if now >= self._retry_at.get(shard, 0.0):
                task = asyncio.create_task(self._open_shard(shard))
                self._opening[shard] = task

    async def close(self) -> None:
        """Releases all shards."""
        for task in self._opening.values():
            task.cancel()
        for shard in list(self._open):
            await self._close(shard)

    @property
    def name(self) -> str:
        """Name of this host."""
        return self._host.name

    def _note_gone(self, live: set[str]) -> None:
        # An owner that died does not report the loss of its workers' tasks,
        # and the next owner of a replaced VM does not know of them.
        if self._live - live:
            for home in self._open.values():
                home.recheck_starts()
        self._live = live

    def _shards(self):
        regions = {team.region for team in self._host.active_config.teams}
        numbers = range(self._host.settings.shards_per_region)
        return (f"{r}/{n}" for r, n in itertools.product(regions, numbers))

    def _first(self, shard: str, now: float) -> str | None:
        region = shard.rsplit("/", 1)[0]
        membership = self._host.membership
        hosts = membership.live_hosts(region, now)
        if not hosts and self._is_absent(region, now):
            hosts = membership.live_hosts(None, now)
        return rank_members(shard, hosts)[0] if hosts else None

    def _is_absent(self, region: str, now: float) -> bool:
        silent_s = self._host.membership.region_silent_s(region, now)
        return silent_s >= REGION_ABSENT_S

    async def _open_shard(self, shard: str) -> None:
        home = self._host.new_shard_home(shard)
        now = self._host.clock()
        is_far = shard.rsplit("/", 1)[0] != self._host.settings.region
        min_idle_s = REGION_ABSENT_S if is_far else 0.0
        try:
            opened = await home.open(
                now,
                min_idle_s=min_idle_s,
                is_dead=lambda name: self._host.membership.is_dead(name, now),
            )
        finally:
            self._opening.pop(shard, None)
        if isinstance(opened, Failure):
            self._not_opened(shard, opened.failure(), now)
            return
        self._delay_s.pop(shard, None)
        self._open[shard] = home
        self._tasks[shard] = asyncio.create_task(self._run(shard, home))
        _log.info("shard %s is open", shard)

    def _not_opened(self, shard: str, failed: Problem, now: float) -> None:
        if failed.code is Code.NOT_HOME:
            # Its home lives; it releases the shard or is found to be dead.
            self._retry_at[shard] = now + RETRY_OPEN_MIN_S
            return
        self._delay(shard, now)
        _log.warning("shard %s did not open: %s", shard, failed.code.name)

    async def _run(self, shard: str, home: ShardHome) -> None:
        """Runs a home until it is closed or loses its shard."""
        try:
            await home.run()
        except asyncio.CancelledError:
            raise
        except Exception:
            _log.exception("home of shard %s ended", shard)
        if self._open.get(shard) is home:
            del self._open[shard]
            self._delay(shard, self._host.clock())
            _log.warning("shard %s is lost (%s)", shard, Code.CAS_CONFLICT.name)

    async def _close(self, shard: str) -> None:
        home = self._open.pop(shard)
        await home.close()
        task = self._tasks.pop(shard)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        _log.info("shard %s is released", shard)

    def _delay(self, shard: str, now: float) -> None:
        delay_s = self._delay_s.get(shard, RETRY_OPEN_MIN_S)
        self._retry_at[shard] = now + delay_s
        self._delay_s[shard] = min(2 * delay_s, RETRY_OPEN_MAX_S)
