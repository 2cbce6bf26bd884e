"""An in-memory configuration store with scripted write faults."""

__all__ = ["MemoryStore", "WriteFault", "no_wait"]

import enum

from returns.result import Result, Success

from dragonflybank.model.codes import Code, failure
from dragonflybank.platform.store import ConfigStore, VersionedValue


class WriteFault(enum.Enum):
    """The fault of one write."""

    # The write has no effect and is reported as failed.
    REFUSED = enum.auto()
    # The write takes effect, but the caller gets no answer.
    ANSWER_LOST = enum.auto()
    # The write has no effect, and the caller gets no answer.
    CALL_LOST = enum.auto()
    # As CALL_LOST, but the call arrives at `MemoryStore.deliver_delayed`.
    CALL_DELAYED = enum.auto()


class MemoryStore(ConfigStore):
    """Stores values in memory.

    Attributes:
        faults: Faults of the next writes in order; None for a normal write.
        before_put: Coroutine function called once before the next put, to
            simulate a concurrent write.
    """

    def __init__(self):
        self.faults: list[WriteFault | None] = []
        self.before_put = None
        self._delayed_calls = []
        self._values: dict[str, VersionedValue] = {}

    async def get(self, key: str) -> Result[VersionedValue, object]:
        """See `ConfigStore.get`."""
        return Success(self._values.get(key, VersionedValue(0, None)))

    async def put(self, key, value, *, version):
        """See `ConfigStore.put`."""
        race, self.before_put = self.before_put, None
        if race is not None:
            await race()
        return self._write(key, value, version)

    async def delete(self, key, *, version):
        """See `ConfigStore.delete`."""
        return self._write(key, None, version)

    async def list_versions(self, prefix):
        """See `ConfigStore.list_versions`."""
        return Success(
            {
                key: stored.version
                for key, stored in self._values.items()
                if key.startswith(prefix) and stored.value is not None
            }
        )

    def deliver_delayed(self):
        """Executes the delayed calls and returns their outcomes."""
        calls, self._delayed_calls = self._delayed_calls, []
        return [self._write(*call) for call in calls]

    async def watch(self, key, *, after, wait_s):
        """See `ConfigStore.watch`; returns at once."""
        return Success(None)

    def _write(self, key, value, version):
        fault = self.faults.pop(0) if self.faults else None
        if fault is WriteFault.REFUSED:
            return failure(Code.STORE_UNAVAILABLE, "refused")
        if fault is WriteFault.CALL_DELAYED:
            self._delayed_calls.append((key, value, version))
        if fault in (WriteFault.CALL_LOST, WriteFault.CALL_DELAYED):
            return failure(Code.TIMED_OUT, "call lost")
        current = self._values.get(key, VersionedValue(0, None)).version
        if current != version:
            return failure(Code.CAS_CONFLICT, f"at version {current}")
        self._values[key] = VersionedValue(version + 1, value)
        if fault is WriteFault.ANSWER_LOST:
            return failure(Code.TIMED_OUT, "answer lost")
        return Success(version + 1)


async def no_wait(_: float) -> None:
    """Returns at once; replaces `asyncio.sleep`."""
