"""What a cell needs from its platform: a store, executors and advice.

An adapter implements these classes; tests use stand-ins in memory.
"""

__all__ = [
    "AdviceService",
    "AttemptEnd",
    "CommandReply",
    "EndKind",
    "ExecutorClient",
    "ExecutorInfo",
    "Item",
    "Platform",
    "PollReply",
    "RunningAttempt",
    "ScanResult",
    "StartCommand",
    "Store",
    "Txn",
    "TxnReply",
    "WatchResult",
]

import abc
import enum
from collections.abc import Mapping, Sequence

import attrs
from returns.result import Result

from dragonflybank.cell.jobs import CellConfig, TaskId
from dragonflybank.model.codes import Problem


@attrs.frozen
class Item:
    """A key of the store.

    Attributes:
        key: The key.
        value: Its value, or None if the key was removed.
        revision: Revision of its last change.
    """

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class ScanResult:
    """All items with a prefix.

    Attributes:
        items: The items in the order of their keys.
        revision: A revision from which changes can be watched without a gap.
    """

    items: tuple[Item, ...]
    revision: int


@attrs.frozen
class WatchResult:
    """Changes since a revision.

    Attributes:
        items: Changed items in the order of their changes.
        revision: Revision to continue from.
        is_history_lost: Whether the history since the revision is gone.
    """

    items: tuple[Item, ...]
    revision: int
    is_history_lost: bool = False


@attrs.frozen
class Txn:
    """A transaction that is carried out whole or not at all.

    Attributes:
        expected: Revision that each key must have; 0 for an absent key.
        puts: New values.
        lease: Lease that the new values belong to; 0 for none.
        leased_keys: Keys of ``puts`` that belong to the lease.
        removed_keys: Keys to remove.
    """

    expected: Mapping[str, int] = attrs.field(factory=dict)
    puts: Mapping[str, bytes] = attrs.field(factory=dict)
    lease: int = 0
    leased_keys: frozenset[str] = frozenset()
    removed_keys: tuple[str, ...] = ()


@attrs.frozen
class TxnReply:
    """The outcome of a transaction.

    Attributes:
        revision: Revision of the change, or None if a condition failed.
        current: After a failed condition, the expected keys that exist.
    """

    revision: int | None
    current: tuple[Item, ...] = ()


class Store(abc.ABC):
    """A linearizable key-value store with transactions, watches and leases.

    Every method fails with ``STORE_UNAVAILABLE`` if the call certainly had no
    effect and with ``TIMED_OUT`` if it may have, or may yet have, one.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> Result[Item | None, Problem]:
        """Returns an item, or None if the key does not exist."""

    @abc.abstractmethod
    async def probe(self, key: str) -> Result[None, Problem]:
        """Reads a key to find out whether the store answers.

        Connections that were open during an outage may stay silent for good,
        so a new one is used; if it works, so are new ones for what follows.
        """

    @abc.abstractmethod
    async def scan(self, prefix: str) -> Result[ScanResult, Problem]:
        """Returns all items with a prefix."""

    @abc.abstractmethod
    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> Result[WatchResult, Problem]:
        """Waits for changes of keys with a prefix after a revision."""

    @abc.abstractmethod
    async def commit(self, txn: Txn) -> Result[TxnReply, Problem]:
        """Carries out a transaction."""

    @abc.abstractmethod
    async def open_lease(self, ttl_s: float) -> Result[int, Problem]:
        """Returns a new lease."""

    @abc.abstractmethod
    async def renew_lease(self, lease: int) -> Result[bool, Problem]:
        """Renews a lease; False if it has ended."""

    @abc.abstractmethod
    async def end_lease(self, lease: int) -> Result[None, Problem]:
        """Ends a lease and removes its keys."""


@attrs.frozen
class ExecutorInfo:
    """What an executor says of itself.

    Attributes:
        id: Identity of this executor.
        service: Service that it belongs to.
        address: IP number and port.
        zone: Its failure domain.
        draining: Whether it is leaving.
        drain_remaining_s: Shortest time until it leaves while it drains, in
            seconds.
        millicores: Processors in thousandths of a core.
        memory_mb: Memory in MiB.
        accelerators: Accelerators.
        labels: Its kind and its rack.
        incarnation: Number of this start of it; another start has another.
    """

    id: str
    service: str
    address: str
    zone: str
    draining: bool = False
    drain_remaining_s: float = 0.0
    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    labels: tuple[str, ...] = ()
    incarnation: int = 0


class EndKind(enum.StrEnum):
    """How an attempt ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen
class AttemptEnd:
    """An ended attempt.

    Attributes:
        number: Number of the end in the executor's list, from 1.
        task: The task.
        attempt: Number of the attempt.
        kind: How it ended.
        checkpoint: Its last checkpoint, or an empty string.
    """

    number: int
    task: TaskId
    attempt: int
    kind: EndKind
    checkpoint: str = ""


@attrs.frozen
class RunningAttempt:
    """A running attempt in an executor's list.

    Attributes:
        task: The task.
        attempt: Number of the attempt.
        checkpoint: Its last checkpoint, or an empty string.
        percent: How much of its work is done, 0 to 100.
        load: Tail of its response times in milliseconds for a task that
            serves, processors in use for any other; -1 if not reported.
    """

    task: TaskId
    attempt: int
    checkpoint: str = ""
    percent: float = 0.0
    load: float = -1.0


class CommandReply(enum.Enum):
    """What an executor made of an order."""

    OK = "ok"
    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    OTHER_INSTANCE = "other_instance"
    BAD = "bad"


@attrs.frozen
class PollReply:
    """An executor's answer to a renewal of its lease.

    Attributes:
        reply: ``OK``, or why it was refused; the lists are empty then.
        clock_s: The executor's own steady clock in seconds.
        incarnation: Number of this start of the executor.
        running: Attempts that run.
        ends: Ended attempts that were not acknowledged yet.
    """

    reply: CommandReply
    clock_s: float = 0.0
    incarnation: int = 0
    running: tuple[RunningAttempt, ...] = ()
    ends: tuple[AttemptEnd, ...] = ()


@attrs.frozen
class StartCommand:
    """An order to start an attempt.

    Attributes:
        task: The task.
        attempt: Number of the attempt.
        epoch: Epoch of the leader that orders it.
        spec: Text of the job.
        lease_until_s: End of the lease on the executor's clock, in seconds.
        checkpoint: Checkpoint to continue from, or an empty string.
        ticket: Ticket of the advice service, or an empty string.
    """

    task: TaskId
    attempt: int
    epoch: int
    spec: str
    lease_until_s: float
    checkpoint: str = ""
    ticket: str = ""


class ExecutorClient(abc.ABC):
    """One executor.

    Every method fails with ``UNREACHABLE`` if the call certainly had no
    effect and with ``TIMED_OUT`` if it may have, or may yet have, one.
    """

    @abc.abstractmethod
    async def start(self, order: StartCommand) -> Result[CommandReply, Problem]:
        """Starts an attempt; one that is there already is not started again."""

    @abc.abstractmethod
    async def stop(
        self, task: TaskId, attempt: int, *, epoch: int
    ) -> Result[CommandReply, Problem]:
        """Stops an attempt; one that is not there can never start after."""

    @abc.abstractmethod
    async def poll(
        self, *, epoch: int, acked_end: int, lease_until_s: float, wait_s: float
    ) -> Result[PollReply, Problem]:
        """Extends the lease of all attempts and returns the lists.

        Args:
            epoch: Epoch of the leader.
            acked_end: Number of the last end that need not be listed again.
            lease_until_s: End of the lease on the executor's clock; 0 to
                leave it as it is.
            wait_s: Longest time to wait for an end, in seconds.
        """

    @abc.abstractmethod
    async def throttle(
        self, task: TaskId, attempt: int, *, percent: int, epoch: int
    ) -> Result[CommandReply, Problem]:
        """Lets an attempt work at a share of its speed."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes the connections."""


class AdviceService(abc.ABC):
    """Knows which executors a queue's policy lets run a step."""

    @abc.abstractmethod
    async def advise(
        self, step: str, executors: Sequence[str], *, timeout_s: float
    ) -> Result[Mapping[str, str], Problem]:
        """Returns the ticket of each executor that may run a step.

        Args:
            step: Job, occurrence and number of the step.
            executors: Identities of at most 100 executors.
            timeout_s: Time for the call in seconds.

        Returns:
            Tickets by executor; ``FULL`` if too many calls are waiting.
        """


class Platform(abc.ABC):
    """All that a host reaches on its platform.

    Attributes:
        store: The store.
        advice: The advice service, or None where there is none.
        config_key: Key of the operators' configuration.
        executors_prefix: Prefix of the keys that executors write.
    """

    store: Store
    advice: AdviceService | None
    config_key: str
    executors_prefix: str

    @abc.abstractmethod
    def decode_config(self, value: bytes) -> Result[CellConfig, Problem]:
        """Returns the operators' configuration from its stored form."""

    @abc.abstractmethod
    def decode_executor(
        self, key: str, value: bytes
    ) -> Result[ExecutorInfo, Problem]:
        """Returns what an executor wrote of itself."""

    @abc.abstractmethod
    def executor_client(self, info: ExecutorInfo) -> ExecutorClient:
        """Returns a client of an executor."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
