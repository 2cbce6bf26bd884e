"""The items of a shard: as they are settled and as they will be."""

__all__ = ["Changes", "ShardTable"]

from collections.abc import Iterable, Iterator, Mapping

import msgspec

from dragonflybank.jobs.entries import Entry, Key
from dragonflybank.jobs.value import EncodedItem, Item, ShardValue

# None stands for a removed item.
Changes = Mapping[Key, EncodedItem | None]


class ShardTable:
    """Items by key, in the settled and in the latest state.

    The latest state holds the changes whose write is not settled.
    """

    def __init__(self):
        self._settled: dict[Key, EncodedItem] = {}
        self._latest: dict[Key, EncodedItem] = {}
        self._unfinished: dict[Key, Entry] = {}
        self._size_bytes = 0
        self._growth_bytes = 0

    @property
    def size_bytes(self) -> int:
        """Approximate number of bytes of the value."""
        return self._size_bytes

    @property
    def projected_bytes(self) -> int:
        """Number of bytes once all accepted work has been started."""
        return self._size_bytes + self._growth_bytes

    def latest(self, key: Key) -> Item | None:
        """Returns an item with the changes that are not yet settled."""
        kept = self._latest.get(key)
        return kept.item if kept is not None else None

    def settled(self, key: Key) -> Item | None:
        """Returns an item as the store certainly holds it."""
        kept = self._settled.get(key)
        return kept.item if kept is not None else None

    def items(self) -> Iterator[Item]:
        """Yields all items of the latest state."""
        return (kept.item for kept in tuple(self._latest.values()))

    def unfinished(self) -> list[Entry]:
        """Returns the latest entries of the jobs that have not ended."""
        return list(self._unfinished.values())

    def load(self, items: Iterable[Item]) -> None:
        """Replaces all items by those read from the store."""
        self.clear()
        self.apply({item.key: EncodedItem.from_item(item) for item in items})

    def apply(self, changes: Changes) -> None:
        """Changes the latest state."""
        for key, kept in changes.items():
            self._set_latest(key, kept)

    def settle(self, changes: Changes) -> None:
        """Notes changes as settled."""
        for key, kept in changes.items():
            if kept is None:
                self._settled.pop(key, None)
            else:
                self._settled[key] = kept

    def settle_all(self) -> None:
        """Notes the latest state as settled."""
        self._settled = dict(self._latest)

    def revert(self, keys: Iterable[Key], kept: Changes) -> None:
        """Takes changes back to ``kept``, and else to the settled state."""
        for key in keys:
            self._set_latest(key, kept.get(key, self._settled.get(key)))

    def clear(self) -> set[Key]:
        """Removes all items and returns their keys."""
        keys = self._settled.keys() | self._latest.keys()
        self._settled.clear()
        self.apply(dict.fromkeys(tuple(self._latest)))
        return keys

    def encode(self, shard: str, home: str, mark: str, now: float) -> bytes:
        """Returns the latest state as a value for the store."""
        entries, stones = [], []
        for kept in self._latest.values():
            kind = entries if isinstance(kept.item, Entry) else stones
            kind.append(msgspec.Raw(kept.encoded))
        return msgspec.msgpack.encode(
            ShardValue(shard, home, mark, now, tuple(entries), tuple(stones))
        )

    def _set_latest(self, key: Key, kept: EncodedItem | None) -> None:
        before = self._latest.pop(key, None)
        self._unfinished.pop(key, None)
        if before is not None:
            self._size_bytes -= len(before.encoded)
            self._growth_bytes -= before.growth
        if kept is None:
            return
        self._latest[key] = kept
        self._size_bytes += len(kept.encoded)
        self._growth_bytes += kept.growth
        if isinstance(kept.item, Entry) and not kept.item.final:
            self._unfinished[key] = kept.item
