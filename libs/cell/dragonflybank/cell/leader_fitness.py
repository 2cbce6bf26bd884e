"""How well a host can hold the leadership of a cell of a given size.

The leader alone talks to all executors, so its link, descriptors, memory and
processor bound the size of the cell. Hosts that fall short of the need delay
their candidacy, and a leader that finds soon after its election that another
host falls short by much less hands over to it. In small cells no host falls
short, and nothing is delayed.
"""

__all__ = [
    "HostCapacity",
    "LeaderFitness",
    "leader_need",
    "shortfall",
]

from collections.abc import Iterable

import attrs

# What the leader needs for each executor at load peaks, see docs/CAPACITY.md.
LINK_MBPS_PER_EXECUTOR = 0.07
DESCRIPTORS_PER_EXECUTOR = 8
MEMORY_MB_PER_EXECUTOR = 0.1
CORES_PER_EXECUTOR = 0.0026
# Descriptors of files, the store's connections and other hosts.
RESERVED_DESCRIPTORS = 200
BASE_MEMORY_MB = 40.0
# Delay of the candidacy of a host that lacks all that is needed. Longer than
# the other delays of candidates, which are at most 0.3 s each.
MAX_DELAY_S = 0.6
# A handover leaves the cell without a leader for about 0.2 s, and advice has to
# be asked for again. It is made only for a large gain, which also exceeds what
# the other delays can make up for, and only early in a leadership.
MIN_HANDOVER_GAIN = 0.5
HANDOVER_WINDOW_S = (1.5, 6.0)
# Shortfall of a host that should not be elected, and of hosts that send none.
UNFIT = 1.0


@attrs.frozen
class HostCapacity:
    """What a host may use; an infinite amount is not limited or not known.

    Attributes:
        cores: CPU cores.
        memory_mb: Memory in MiB.
        link_mbps: Rate of its network link in Mbit/s.
        max_fds: Number of open descriptors.
    """

    cores: float = float("inf")
    memory_mb: float = float("inf")
    link_mbps: float = float("inf")
    max_fds: float = float("inf")


def leader_need(executors: int) -> HostCapacity:
    """Returns what the leader of a cell needs.

    Example:
        >>> leader_need(1000).link_mbps
        70.0
    """
    return HostCapacity(
        cores=CORES_PER_EXECUTOR * executors,
        memory_mb=BASE_MEMORY_MB + MEMORY_MB_PER_EXECUTOR * executors,
        link_mbps=round(LINK_MBPS_PER_EXECUTOR * executors, 3),
        max_fds=RESERVED_DESCRIPTORS + DESCRIPTORS_PER_EXECUTOR * executors,
    )


def shortfall(capacity: HostCapacity, executors: int) -> float:
    """Returns the share of its scarcest resource that a host lacks.

    Args:
        capacity: Capacity of the host.
        executors: Number of executors of the cell.

    Returns:
        A share from 0, if the host can lead the cell, to 1.
    """
    need = attrs.astuple(leader_need(executors))
    have = attrs.astuple(capacity)
    return max(
        max(0.0, 1.0 - got / needed)
        for got, needed in zip(have, need, strict=True)
        if needed
    )


class LeaderFitness:
    """What a host knows about its own and its peers' fitness to lead.

    Attributes:
        executors: Number of executors of the cell, 0 if it is not known.

    Args:
        capacity: Capacity of the host.
    """

    def __init__(self, capacity: HostCapacity):
        self.executors = 0
        self._capacity = capacity
        self._shortfalls: dict[str, float] = {}
        self._has_handed_over = False

    @property
    def own_shortfall(self) -> float:
        """Shortfall of the host; 0 while the size of the cell is not known."""
        return shortfall(self._capacity, self.executors)

    @property
    def candidacy_delay_s(self) -> float:
        """Time by which the host delays its candidacy, in seconds."""
        return MAX_DELAY_S * self.own_shortfall

    @property
    def announced_shortfall(self) -> float:
        """Shortfall for the leader; `UNFIT` while the size is not known."""
        return round(self.own_shortfall, 2) if self.executors else UNFIT

    @property
    def log_fields(self) -> dict[str, float]:
        """Fields of log lines about the fitness of the host."""
        return {
            "executors": self.executors,
            "shortfall": round(self.own_shortfall, 2),
        }

    def record_peer(self, address: str, peer_shortfall: float) -> None:
        """Records the shortfall that another host has announced."""
        self._shortfalls[address] = peer_shortfall

    def keep_peers(self, addresses: Iterable[str]) -> None:
        """Forgets all other hosts than these."""
        self._shortfalls = {
            address: self._shortfalls[address]
            for address in addresses
            if address in self._shortfalls
        }

    def should_hand_over(self, led_s: float) -> bool:
        """Returns whether the leader should resign for a fitter host.

        Each process does so once at most, so that hosts that are delayed for
        other reasons cannot make the leadership move to and fro.

        Args:
            led_s: Time for which this host has led, in seconds.
        """
        first_s, last_s = HANDOVER_WINDOW_S
        if self._has_handed_over or not first_s <= led_s <= last_s:
            return False
        best = min(self._shortfalls.values(), default=UNFIT)
        return self.own_shortfall - best >= MIN_HANDOVER_GAIN

    def record_handover(self) -> None:
        """Records that this host has resigned for a fitter one."""
        self._has_handed_over = True
