"""Keeps the configuration of a host current."""

__all__ = ["ConfigSync"]

from returns.result import Success

from dragonflybank.cluster import messages
from dragonflybank.config.operator import ACTIVE_KEY

ROUND_S = 0.5
POLL_ROUNDS = 10


class ConfigSync:
    """Reads the store and the peers that are ahead."""

    def __init__(self, host):
        self._host = host
        self._value = b""

    async def run(self) -> None:
        """Reads until cancelled."""
        rounds = 0
        while True:
            if rounds % POLL_ROUNDS == 0 or not self._value:
                stored = await self._host.store.get(ACTIVE_KEY)
                if isinstance(stored, Success) and stored.unwrap().value:
                    self._adopt(stored.unwrap().value)
            await self._ask_peers()
            rounds += 1
            await self._host.loop_clock.sleep(ROUND_S)

    def value_for(self, req: messages.FetchConfig) -> messages.ConfigValue:
        """Returns the value for a host that may be behind."""
        generation = self._host.active.generation
        value = self._value if generation > req.generation else b""
        return messages.ConfigValue(generation, value)

    def not_ready(self) -> str:
        """Returns why the host cannot serve yet."""
        return "" if self._value else "no configuration yet"

    async def _ask_peers(self) -> None:
        own = self._host.active.generation
        peers = self._host.membership.peers(self._host.clock())
        for entry in (e for e in peers if e.generation > own):
            reply = await self._host.links.ask(
                entry.host, messages.FetchConfig(own), timeout_s=1.0
            )
            if isinstance(reply, Success) and reply.unwrap().value:
                self._adopt(reply.unwrap().value)

    def _adopt(self, value: bytes) -> None:
        before = self._host.active.generation
        after = self._host.active.adopt(value).value_or(before)
        if after > before:
            self._value = value
