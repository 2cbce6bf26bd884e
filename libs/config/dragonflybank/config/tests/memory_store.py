"""A configuration store in memory with scripted faults."""

__all__ = ["Fault", "MemoryStore", "no_wait"]

import enum

from returns.result import Result, Success

from dragonflybank.model.codes import Code, failure
from dragonflybank.platform.store import ConfigStore, VersionedValue


class Fault(enum.Enum):
    """What happens to one write instead of its normal course."""

    REFUSED = enum.auto()
    ANSWER_LOST = enum.auto()
    CALL_LOST = enum.auto()
    CALL_LATE = enum.auto()


class MemoryStore(ConfigStore):
    """Keeps values in memory.

    Attributes:
        faults: Faults of the next writes; None for a normal write.
        before_put: Called once before the next write, to race with it.
    """

    def __init__(self):
        self.faults: list[Fault | None] = []
        self.before_put = None
        self._late = []
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

    def deliver_late(self):
        """Lets the late calls arrive and returns their outcomes."""
        late, self._late = self._late, []
        return [self._write(*call) for call in late]

    async def watch(self, key, *, after, wait_s):
        """See `ConfigStore.watch`; it returns at once."""
        return Success(None)

    def _write(self, key, value, version):
        fault = self.faults.pop(0) if self.faults else None
        if fault is Fault.REFUSED:
            return failure(Code.STORE_UNAVAILABLE, "refused")
        if fault is Fault.CALL_LATE:
            self._late.append((key, value, version))
        if fault in (Fault.CALL_LOST, Fault.CALL_LATE):
            return failure(Code.TIMED_OUT, "call lost")
        present = self._values.get(key, VersionedValue(0, None)).version
        if present != version:
            return failure(Code.CAS_CONFLICT, f"at version {present}")
        self._values[key] = VersionedValue(version + 1, value)
        if fault is Fault.ANSWER_LOST:
            return failure(Code.TIMED_OUT, "answer lost")
        return Success(version + 1)


async def no_wait(_: float) -> None:
    """Waits no time."""
