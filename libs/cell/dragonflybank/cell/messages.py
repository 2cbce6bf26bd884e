"""Messages between the hosts of a cell."""

__all__ = ["ADVISE", "SYNC", "Advise", "Advised", "Sync", "SyncReply"]

import attrs

SYNC = "cell_sync"
ADVISE = "cell_advise"


@attrs.frozen
class Sync:
    """A host asks the leader for news.

    Attributes:
        address: Address of the asking host's peer socket.
        epoch: Epoch of the leader whose news it has.
        number: Number of the last change that it has.
        version: Version of its configuration.
    """

    address: str
    epoch: int
    number: int
    version: int


@attrs.frozen
class SyncReply:
    """News of the leader.

    Attributes:
        epoch: Epoch of the leader; 0 if the host does not lead.
        number: Number of the last change.
        is_whole: Whether ``states`` has all jobs and not only changes.
        states: Jobs and their states.
        pending: Number of jobs without a started task, by queue.
        config: The operators' configuration if the asking host's is older.
    """

    epoch: int
    number: int = 0
    is_whole: bool = False
    states: tuple[tuple[str, str], ...] = ()
    pending: dict[str, int] = attrs.field(factory=dict)
    config: bytes = b""


@attrs.frozen
class Advise:
    """The leader lets a host call the advice service.

    Attributes:
        step: Name of the step.
        executors: Identities of the executors.
        timeout_s: Time for the call in seconds.
    """

    step: str
    executors: tuple[str, ...]
    timeout_s: float


@attrs.frozen
class Advised:
    """Answer to `Advise`.

    Attributes:
        tickets: Tickets by executor.
    """

    tickets: dict[str, str]
