"""Keeps the configuration of each host current, without going back.

Two hosts of each region watch the store. Every host also polls it, since a
watch may stop responding, and fetches the value from a peer whose gossiped
generation is greater.
"""

__all__ = ["CONFIG_KEY", "ConfigHolder", "ConfigSync"]

import asyncio
import logging
import random
from collections.abc import Callable

from returns.result import Result, Success

from dragonflybank.cluster.clock import Clock
from dragonflybank.cluster.entries import HostEntry
from dragonflybank.cluster.membership import Membership
from dragonflybank.cluster.messages import ConfigValue, FetchConfig
from dragonflybank.cluster.peers import Peers
from dragonflybank.model.codes import Problem
from dragonflybank.model.hashing import rank_members
from dragonflybank.platform.store import ConfigStore, VersionedValue

_log = logging.getLogger(__name__)

CONFIG_KEY = "config/active"
WATCHERS_PER_REGION = 2
WATCH_WAIT_S = 10.0
POLL_INTERVAL_S = 10.0
WATCHER_POLL_INTERVAL_S = 5.0
FETCH_INTERVAL_S = 0.5
RETRY_DELAY_S = 1.0
FETCH_TIMEOUT_S = 2.0
# A host that does not watch the store fetches a newer value from another region
# only after this time, since traffic between regions is billed. The watching
# hosts fetch it at once, and the others usually get it from them before that.
REMOTE_FETCH_AFTER_S = 2.0


class ConfigHolder:
    """The configuration in force on this host.

    Attributes:
        generation: Generation of the configuration, 0 before the first.
        value: The encoded configuration.
    """

    def __init__(
        self, on_adopt: Callable[[int, bytes], None] = lambda gen, value: None
    ):
        self.generation = 0
        self.value = b""
        self._on_adopt = on_adopt

    def adopt(self, generation: int, value: bytes) -> bool:
        """Puts a configuration in force if its generation is greater.

        Example:
            >>> holder = ConfigHolder()
            >>> holder.adopt(2, b"new"), holder.adopt(1, b"old")
            (True, False)
        """
        if generation <= self.generation:
            return False
        self.generation = generation
        self.value = value
        self._on_adopt(generation, value)
        return True


class ConfigSync:
    """Keeps the configuration of this host current.

    Attributes:
        holder: The configuration in force.
        is_ready: Whether the host has ever had a configuration that was as
            new as that of each peer that answered.
    """

    def __init__(
        self,
        holder: ConfigHolder,
        store: ConfigStore,
        membership: Membership,
        peers: Peers,
        *,
        read_generation: Callable[[bytes], Result[int, Problem]],
        rng: random.Random,
    ):
        self.holder = holder
        self.is_ready = False
        self._store = store
        self._membership = membership
        self._peers = peers
        self._read_generation = read_generation
        self._rng = rng
        self._version = 0
        self._behind_since: float | None = None

    def adopt_if_newer(self, value: bytes) -> bool:
        """Puts a configuration in force if it is well formed and newer.

        Returns:
            Whether it was adopted.
        """
        generation_result = self._read_generation(value)
        if not isinstance(generation_result, Success):
            _log.warning(
                "malformed configuration ignored: %s",
                generation_result.failure().detail,
            )
            return False
        generation = generation_result.unwrap()
        is_new = self.holder.adopt(generation, value)
        if is_new:
            self._membership.update_own_entry(generation=generation)
            _log.info("configuration generation %d is in force", generation)
        return is_new

    def is_watcher(self, now: float) -> bool:
        """Returns whether this host is one of its region's two watchers."""
        own = self._membership.own_entry
        hosts = self._membership.live_hosts(own.region, now)
        watchers = rank_members(f"{CONFIG_KEY}@{own.region}", hosts)
        return own.host in watchers[:WATCHERS_PER_REGION]

    async def handle_fetch(
        self, request: FetchConfig
    ) -> Result[ConfigValue, Problem]:
        """Returns the configuration if it is newer than the sender's.

        The handler of requests of kind ``fetch_config``.
        """
        is_newer = self.holder.generation > request.generation
        value = self.holder.value if is_newer else b""
        return Success(ConfigValue(self.holder.generation, value))

    async def check_ready(self, now: float) -> bool:
        """Asks the store and all peers once; returns whether the host is ready.

        A host is ready when it has a configuration that is at least as new as
        that of each peer that answered. It stays ready.
        """
        if self.is_ready:
            return True
        addresses = {e.address for e in self._membership.peer_entries(now)}
        addresses |= set(self._membership.join_candidates(now))
        _, *answered = await asyncio.gather(
            self.poll_store(), *(self._fetch(a) for a in sorted(addresses))
        )
        newest = max((g for g in answered if g is not None), default=0)
        own = self.holder.generation
        self.is_ready = own > 0 and own >= newest
        return self.is_ready

    async def poll_store(self) -> bool:
        """Reads the store once; returns whether it answered."""
        reply = await self._store.get(CONFIG_KEY)
        if not isinstance(reply, Success):
            return False
        self._process_stored(reply.unwrap())
        return True

    async def watch_store(self) -> bool:
        """Waits once for a newer value in the store.

        Returns:
            Whether the store answered as the protocol says, so that it can be
            watched again at once.
        """
        reply = await self._store.watch(
            CONFIG_KEY, after=self._version, wait_s=WATCH_WAIT_S
        )
        if not isinstance(reply, Success):
            return False
        stored = reply.unwrap()
        if stored is None:
            return True
        is_later = stored.version > self._version
        self._process_stored(stored)
        return is_later

    async def fetch_newer(self, now: float) -> bool:
        """Fetches a newer configuration from a peer; returns whether it did.

        Args:
            now: Current time; expected every half second.
        """
        ahead = [
            e
            for e in self._membership.peer_entries(now)
            if e.generation > self.holder.generation
        ]
        if not ahead:
            self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = now
        allowed = [e for e in ahead if self._may_fetch(e, now)]
        if not allowed:
            return False
        before = self.holder.generation
        await self._fetch(self._rng.choice(allowed).address)
        return self.holder.generation > before

    async def run(self, clock: Clock) -> None:
        """Watches, polls and fetches until it is cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch_loop(clock))
            group.create_task(self._poll_loop(clock))
            group.create_task(self._fetch_loop(clock))

    async def _watch_loop(self, clock: Clock) -> None:
        while True:
            is_watching = self.is_watcher(clock.now())
            if not is_watching or not await self.watch_store():
                await clock.sleep(RETRY_DELAY_S)

    async def _poll_loop(self, clock: Clock) -> None:
        # Hosts that start at the same time must not poll at the same time.
        await clock.sleep(self._rng.uniform(0.0, RETRY_DELAY_S))
        while True:
            await self.poll_store()
            is_watcher = self.is_watcher(clock.now())
            await clock.sleep(
                WATCHER_POLL_INTERVAL_S if is_watcher else POLL_INTERVAL_S
            )

    async def _fetch_loop(self, clock: Clock) -> None:
        while True:
            if self.is_ready:
                await self.fetch_newer(clock.now())
            else:
                await self.check_ready(clock.now())
            await clock.sleep(FETCH_INTERVAL_S)

    async def _fetch(self, address: str) -> int | None:
        """Fetches from a peer; returns its generation, None without answer."""
        reply = await self._peers.call_address(
            address,
            FetchConfig(self.holder.generation),
            timeout_s=FETCH_TIMEOUT_S,
        )
        if not isinstance(reply, Success):
            return None
        answer: ConfigValue = reply.unwrap()
        if answer.value:
            self.adopt_if_newer(answer.value)
        return answer.generation

    def _may_fetch(self, entry: HostEntry, now: float) -> bool:
        if entry.region == self._membership.own_entry.region:
            return True
        is_late = now - self._behind_since >= REMOTE_FETCH_AFTER_S
        return is_late or self.is_watcher(now)

    def _process_stored(self, stored: VersionedValue) -> None:
        self._version = max(self._version, stored.version)
        if stored.value is not None:
            self.adopt_if_newer(stored.value)
