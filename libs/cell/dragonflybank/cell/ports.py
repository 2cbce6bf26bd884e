"""Interfaces of a cell to its platform: store, executors and advice service.

An adapter implements these classes; tests use in-memory stand-ins.
"""

__all__ = [
    "AdviceService",
    "AttemptEnd",
    "CommandAnswer",
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
    """A key of the store with its value.

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
    """Result of `Store.scan`: all items with a prefix.

    Attributes:
        items: The items, sorted by key.
        revision: Revision from which a watch misses no change.
    """

    items: tuple[Item, ...]
    revision: int


@attrs.frozen
class WatchResult:
    """Result of `Store.watch`: changes since a revision.

    Attributes:
        items: Changed items in the order of their changes.
        revision: Revision to continue from.
        is_history_lost: Whether the store no longer has the history since
            the revision; the keys must be scanned again.
    """

    items: tuple[Item, ...]
    revision: int
    is_history_lost: bool = False


@attrs.frozen
class Txn:
    """An atomic transaction.

    Attributes:
        expected: Revision that each key must have; 0 if the key must not
            exist.
        puts: New values by key.
        lease: Lease to attach to ``leased_keys``; 0 for none.
        leased_keys: Keys of ``puts`` that are removed when the lease ends.
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
        current: After a failed condition, the items of those expected keys
            that exist.
    """

    revision: int | None
    current: tuple[Item, ...] = ()


class Store(abc.ABC):
    """A linearizable key-value store with transactions, watches and leases.

    Every method fails with ``STORE_UNAVAILABLE`` if the call had no effect for
    certain, and with ``TIMED_OUT`` if it may have had an effect or may still
    have one later.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> Result[Item | None, Problem]:
        """Returns an item, or None if the key does not exist."""

    @abc.abstractmethod
    async def probe(self, key: str) -> Result[None, Problem]:
        """Reads a key to find out whether the store answers.

        Connections that were open during an outage may never deliver another
        answer. The probe therefore uses a new connection, and if it succeeds,
        later calls use new connections too.
        """

    @abc.abstractmethod
    async def scan(self, prefix: str) -> Result[ScanResult, Problem]:
        """Returns all items with a prefix."""

    @abc.abstractmethod
    async def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> Result[WatchResult, Problem]:
        """Waits for changes after a revision to keys with a prefix."""

    @abc.abstractmethod
    async def commit(self, txn: Txn) -> Result[TxnReply, Problem]:
        """Executes a transaction."""

    @abc.abstractmethod
    async def open_lease(self, ttl_s: float) -> Result[int, Problem]:
        """Creates a lease and returns its identifier."""

    @abc.abstractmethod
    async def renew_lease(self, lease: int) -> Result[bool, Problem]:
        """Renews a lease; False if it has ended."""

    @abc.abstractmethod
    async def end_lease(self, lease: int) -> Result[None, Problem]:
        """Ends a lease and removes its keys."""


@attrs.frozen
class ExecutorInfo:
    """What an executor reports about itself.

    Attributes:
        id: Identifier of the executor.
        service: Service that it belongs to.
        address: IP address and port.
        zone: Its failure domain.
        draining: Whether it is leaving.
        drain_remaining_s: Minimum time in seconds that a draining executor
            still runs.
        millicores: CPU cores in thousandths of a core.
        memory_mb: Memory in MiB.
        accelerators: Number of accelerators.
        labels: Its kind, followed by its rack.
        incarnation: Number that rises with each start of the executor; 0 if
            not known.
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
    """How an attempt ended.

    Attributes:
        DONE: It succeeded.
        FAILED: It failed.
        STOPPED: The leader stopped it.
        LAPSED: The executor's lease expired.
        BROKEN: It ended abnormally; this does not count as a failure.
        ALONE: The other members of its gang did not start.
    """

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
        number: Sequence number in the executor's list of ends, from 1.
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
    """An attempt that an executor lists as running.

    Attributes:
        task: The task.
        attempt: Number of the attempt.
        checkpoint: Its last checkpoint, or an empty string.
        percent: How much of its work is done, 0 to 100.
        load: Tail latency in milliseconds for a serving task, CPU cores in
            use for any other task; -1 if not reported.
    """

    task: TaskId
    attempt: int
    checkpoint: str = ""
    percent: float = 0.0
    load: float = -1.0


class CommandReply(enum.Enum):
    """An executor's reply to a command of the leader.

    Attributes:
        OK: The command was carried out.
        FENCED: The executor has seen a newer epoch.
        OLD: The attempt, or a later one of the task, has ended already.
        LATE: The lease in the command had expired.
        NO_ROOM: The free resources are not enough.
        NO_TICKET: The ticket is missing or no longer valid.
        UNHEALTHY: The executor currently refuses new work.
        OTHER_INSTANCE: Another executor answers at the address.
        BAD: The command is invalid, or the reply is none of these.
    """

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
class CommandAnswer:
    """An executor's answer to a command of the leader.

    It doesn't name the incarnation that answered; the clock, which starts anew
    with each incarnation, tells it apart.

    Attributes:
        reply: What the executor replied.
        clock_s: The executor's monotonic clock in seconds, None if it was not
            in the answer.
    """

    reply: CommandReply
    clock_s: float | None = None


@attrs.frozen
class PollReply:
    """An executor's reply to a poll.

    Attributes:
        status: ``OK``, or why the poll was refused, in which case the lists
            are empty.
        clock_s: The executor's monotonic clock in seconds.
        incarnation: Number that rises with each start of the executor.
        running: Running attempts.
        ends: Ended attempts that are not acknowledged yet.
    """

    status: CommandReply
    clock_s: float = 0.0
    incarnation: int = 0
    running: tuple[RunningAttempt, ...] = ()
    ends: tuple[AttemptEnd, ...] = ()


@attrs.frozen
class StartCommand:
    """A command to start an attempt.

    Attributes:
        task: The task.
        attempt: Number of the attempt.
        epoch: Epoch of the leader that sends it.
        spec: The job's text, passed to the task.
        lease_until_s: Expiry of the lease on the executor's clock, in seconds.
        checkpoint: Checkpoint to resume from, or an empty string.
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
    """Client of one executor.

    Every method fails with ``UNREACHABLE`` if the call had no effect for
    certain, and with ``TIMED_OUT`` if it may have had an effect or may still
    have one later.
    """

    @abc.abstractmethod
    async def start(
        self, command: StartCommand
    ) -> Result[CommandAnswer, Problem]:
        """Starts an attempt unless the executor has it already."""

    @abc.abstractmethod
    async def stop(
        self, task: TaskId, attempt: int, *, epoch: int
    ) -> Result[CommandAnswer, Problem]:
        """Stops an attempt; a start that arrives afterwards is refused."""

    @abc.abstractmethod
    async def poll(
        self, *, epoch: int, acked_end: int, lease_until_s: float, wait_s: float
    ) -> Result[PollReply, Problem]:
        """Renews the lease of all attempts and lists running and ended ones.

        Args:
            epoch: Epoch of the leader.
            acked_end: Number of the last end to acknowledge; the executor then
                drops the ends up to it.
            lease_until_s: New expiry of the lease on the executor's clock, in
                seconds; 0 to leave the lease unchanged.
            wait_s: Maximum time to wait for an end, in seconds.
        """

    @abc.abstractmethod
    async def throttle(
        self, task: TaskId, attempt: int, *, percent: int, epoch: int
    ) -> Result[CommandAnswer, Problem]:
        """Limits an attempt to a percentage of its full speed."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes the connections."""


class AdviceService(abc.ABC):
    """Decides which executors may run a step, by the policy of its queue."""

    @abc.abstractmethod
    async def advise(
        self, step: str, executors: Sequence[str], *, timeout_s: float
    ) -> Result[Mapping[str, str], Problem]:
        """Returns a ticket for each executor that may run a step.

        Args:
            step: Name of the step: job, occurrence and number.
            executors: Identifiers of at most 100 executors.
            timeout_s: Timeout of the call in seconds.

        Returns:
            Tickets by executor; fails with ``FULL`` if too many calls are
            waiting.
        """


class Platform(abc.ABC):
    """Access of a host to its platform.

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
        """Decodes the operators' configuration."""

    def shareable_config(self, value: bytes) -> bytes:
        """Returns a configuration in the form that is kept and sent to hosts.

        `decode_config` decodes it to the same value, but it has no secrets.
        """
        return value

    @abc.abstractmethod
    def decode_executor(
        self, key: str, value: bytes
    ) -> Result[ExecutorInfo, Problem]:
        """Decodes an executor's entry in the store."""

    @abc.abstractmethod
    def executor_client(self, info: ExecutorInfo) -> ExecutorClient:
        """Returns a client of an executor."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
