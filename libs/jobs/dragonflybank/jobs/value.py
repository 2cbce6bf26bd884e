"""The value of a shard in the store and its encoding."""

__all__ = [
    "EncodedItem",
    "Item",
    "ShardValue",
    "decode_shard",
    "home_of",
    "mark_of",
    "shard_key",
]

import attrs
import msgspec

from dragonflybank.jobs.entries import Entry, Key, Tombstone
from dragonflybank.jobs.value_size import growth_bytes

Item = Entry | Tombstone


@attrs.frozen
class ShardValue:
    """The value of a shard in the store.

    Attributes:
        shard: Name of the shard, ``<region>/<number>``.
        home: Name of the home, empty if it was released.
        mark: Mark of the write.
        written_at: Time of the write, seconds since 1970.
        records: Encoded `Entry` of each job.
        tombstones: Encoded `Tombstone` of each job finished long ago.
    """

    shard: str
    home: str
    mark: str
    written_at: float
    records: tuple[msgspec.Raw, ...] = ()
    tombstones: tuple[msgspec.Raw, ...] = ()


@attrs.frozen
class EncodedItem:
    """An item with its encoding, so that a commit encodes only changes.

    Attributes:
        item: The entry or tombstone.
        encoded: Its bytes.
        growth: Bytes by which it may still grow.
    """

    item: Item
    encoded: bytes
    growth: int

    @classmethod
    def from_item(cls, item: Item) -> "EncodedItem":
        """Returns the item with its encoding."""
        encoded = msgspec.msgpack.encode(_without_defaults(item))
        return cls(item, encoded, growth_bytes(item))

    @property
    def key(self) -> Key:
        """Team and key of the job."""
        return self.item.key


def decode_shard(raw: bytes) -> tuple[ShardValue, list[Item]]:
    """Returns a shard value and its items.

    Raises:
        msgspec.DecodeError: The bytes are no shard value.
    """
    value = msgspec.msgpack.decode(raw, type=ShardValue)
    entries = [msgspec.msgpack.decode(r, type=Entry) for r in value.records]
    stones = [
        msgspec.msgpack.decode(r, type=Tombstone) for r in value.tombstones
    ]
    return value, [*entries, *stones]


def home_of(raw: bytes) -> str:
    """Returns the home of an encoded shard value."""
    return msgspec.msgpack.decode(raw, type=_Head).home


def mark_of(raw: bytes) -> str:
    """Returns the writer's mark of an encoded shard value."""
    return msgspec.msgpack.decode(raw, type=_Head).mark


def shard_key(shard: str) -> str:
    """Returns the store key of a shard.

    Example:
        >>> shard_key("oulu/0")
        'shards/oulu/0'
    """
    return f"shards/{shard}"


def _without_defaults(item: Item) -> dict:
    # Fields at their default are left out and filled in by the decoder; with
    # all field names a queued job takes three times as many bytes. A default
    # must therefore not change while shards hold items.
    return attrs.asdict(item, filter=_is_set)


def _is_set(field: attrs.Attribute, value) -> bool:
    if isinstance(field.default, attrs.Factory):
        return bool(value)
    return value != field.default


@attrs.frozen
class _Head:
    home: str = ""
    mark: str = ""
