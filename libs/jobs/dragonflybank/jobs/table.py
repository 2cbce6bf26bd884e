"""In-memory table of a shard's items: settled and latest state."""

__all__ = ["Changes", "ShardTable"]

from collections.abc import Iterable, Iterator, Mapping

import msgspec

from dragonflybank.jobs.entries import Entry, JobKey
from dragonflybank.jobs.value import EncodedItem, Item, ShardValue

# None stands for a removed item.
Changes = Mapping[JobKey, EncodedItem | None]


class ShardTable:
    """Items by key, in the settled and in the latest state.

    The settled state is what the store certainly holds. The latest state also
    has the changes whose write is not settled yet.
    """

    def __init__(self):
        self._settled: dict[JobKey, EncodedItem] = {}
        self._latest: dict[JobKey, EncodedItem] = {}
        self._unfinished: dict[JobKey, Entry] = {}
        self._size_bytes = 0
        self._growth_bytes = 0

    @property
    def size_bytes(self) -> int:
        """Approximate size of the value in bytes."""
        return self._size_bytes

    @property
    def projected_bytes(self) -> int:
        """Projected size of the value, with the growth of accepted jobs."""
        return self._size_bytes + self._growth_bytes

    def latest(self, key: JobKey) -> Item | None:
        """Returns an item in its latest state; None if there is none."""
        cached = self._latest.get(key)
        return cached.item if cached is not None else None

    def settled(self, key: JobKey) -> Item | None:
        """Returns an item in its settled state; None if there is none."""
        cached = self._settled.get(key)
        return cached.item if cached is not None else None

    def items(self) -> Iterator[Item]:
        """Yields all items of the latest state."""
        return (cached.item for cached in tuple(self._latest.values()))

    def unfinished(self) -> list[Entry]:
        """Returns the latest entries of the jobs that have not ended."""
        return list(self._unfinished.values())

    def load(self, items: Iterable[Item]) -> None:
        """Replaces all items with those read from the store."""
        self.clear()
        self.apply({item.key: EncodedItem.from_item(item) for item in items})

    def apply(self, changes: Changes) -> None:
        """Applies changes to the latest state."""
        for key, cached in changes.items():
            self._set_latest(key, cached)

    def mark_settled(self, changes: Changes) -> None:
        """Marks changes as settled."""
        for key, cached in changes.items():
            if cached is None:
                self._settled.pop(key, None)
            else:
                self._settled[key] = cached

    def mark_all_settled(self) -> None:
        """Marks the latest state as settled."""
        self._settled = dict(self._latest)

    def revert(self, keys: Iterable[JobKey], base: Changes) -> None:
        """Reverts keys to ``base``, or to the settled state if not in it."""
        for key in keys:
            self._set_latest(key, base.get(key, self._settled.get(key)))

    def clear(self) -> set[JobKey]:
        """Removes all items and returns their keys."""
        keys = self._settled.keys() | self._latest.keys()
        self._settled.clear()
        self.apply(dict.fromkeys(tuple(self._latest)))
        return keys

    def encode(self, shard: str, home: str, mark: str, now: float) -> bytes:
        """Returns the latest state encoded as a `ShardValue`."""
        entries, tombstones = [], []
        for cached in self._latest.values():
            kind = entries if isinstance(cached.item, Entry) else tombstones
            kind.append(msgspec.Raw(cached.encoded))
        return msgspec.msgpack.encode(
            ShardValue(
                shard, home, mark, now, tuple(entries), tuple(tombstones)
            )
        )

    def _set_latest(self, key: JobKey, cached: EncodedItem | None) -> None:
        before = self._latest.pop(key, None)
        self._unfinished.pop(key, None)
        if before is not None:
            self._size_bytes -= len(before.encoded)
            self._growth_bytes -= before.growth
        if cached is None:
            return
        self._latest[key] = cached
        self._size_bytes += len(cached.encoded)
        self._growth_bytes += cached.growth
        if isinstance(cached.item, Entry) and not cached.item.is_final:
            self._unfinished[key] = cached.item
