"""The value of a shard in the store and its encoding."""

__all__ = [
    "EncodedItem",
    "Item",
    "ShardValue",
    "decode_home",
    "decode_mark",
    "decode_shard",
    "shard_key",
]

import attrs
import msgspec

from dragonflybank.jobs.entries import Entry, JobKey, Tombstone
from dragonflybank.jobs.value_size import max_growth_bytes

Item = Entry | Tombstone


@attrs.frozen
class ShardValue:
    """The value of a shard in the store.

    Attributes:
        shard: Name of the shard, ``<region>/<number>``.
        home: Name of the home, empty if the shard was released.
        mark: Random mark of the write. If the answer to a write is lost, the
            mark in the store tells whether that write took effect.
        written_at: Time of the write, seconds since 1970.
        records: Encoded `Entry` of each job.
        tombstones: Encoded `Tombstone` of each job whose record was removed.
    """

    shard: str
    home: str
    mark: str
    written_at: float
    records: tuple[msgspec.Raw, ...] = ()
    tombstones: tuple[msgspec.Raw, ...] = ()


@attrs.frozen
class EncodedItem:
    """An item and its encoding, cached so that a commit encodes only changes.

    Attributes:
        item: The entry or tombstone.
        encoded: The item in msgpack.
        growth: Maximum growth of the item in bytes.
    """

    item: Item
    encoded: bytes
    growth: int

    @classmethod
    def from_item(cls, item: Item) -> "EncodedItem":
        """Encodes an item."""
        encoded = msgspec.msgpack.encode(_without_defaults(item))
        return cls(item, encoded, max_growth_bytes(item))

    @property
    def key(self) -> JobKey:
        """Team and key of the job."""
        return self.item.key


def decode_shard(raw: bytes) -> tuple[ShardValue, list[Item]]:
    """Decodes a shard value and its items.

    Raises:
        msgspec.DecodeError: The bytes are not a valid shard value.
    """
    value = msgspec.msgpack.decode(raw, type=ShardValue)
    entries = [msgspec.msgpack.decode(r, type=Entry) for r in value.records]
    tombstones = [
        msgspec.msgpack.decode(r, type=Tombstone) for r in value.tombstones
    ]
    return value, [*entries, *tombstones]


def decode_home(raw: bytes) -> str:
    """Decodes only the home of a shard value."""
    return msgspec.msgpack.decode(raw, type=_ShardHeader).home


def decode_mark(raw: bytes) -> str:
    """Decodes only the mark of a shard value."""
    return msgspec.msgpack.decode(raw, type=_ShardHeader).mark


def shard_key(shard: str) -> str:
    """Returns the store key of a shard.

    Example:
        >>> shard_key("oulu/0")
        'shards/oulu/0'
    """
    return f"shards/{shard}"


def _without_defaults(item: Item) -> dict:
    # Fields with their default value are left out, and the decoder fills them
    # in. With all fields a queued job would take three times as many bytes. A
    # default must therefore not change while shards hold items.
    return attrs.asdict(item, filter=_differs_from_default)


def _differs_from_default(field: attrs.Attribute, value) -> bool:
    if isinstance(field.default, attrs.Factory):
        return bool(value)
    return value != field.default


@attrs.frozen
class _ShardHeader:
    home: str = ""
    mark: str = ""
