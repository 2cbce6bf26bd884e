"""Workers, scheduler hosts, racks, failure domains and regions."""

__all__ = ["CapacitySummary", "VmInfo", "VmRole", "VmState"]

import enum

import attrs

from dragonflybank.model.resources import Resources


class VmState(enum.StrEnum):
    """State of a VM in the VM list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRole(enum.StrEnum):
    """Role of a VM: a worker or a scheduler host."""

    WORKER = "worker"
    HOST = "host"


@attrs.frozen
class VmInfo:
    """One row of the VM list.

    Attributes:
        name: Unique name of the VM.
        address: IP address.
        port: TCP port of a worker's API or of a host's peer socket.
        region: Region.
        failure_domain: Failure domain.
        rack: Rack.
        role: Worker or scheduler host.
        state: Live or leaving.
        size: Total resources of a worker.
    """

    name: str
    address: str
    port: int
    region: str
    failure_domain: str = ""
    rack: str = ""
    role: VmRole = VmRole.WORKER
    state: VmState = VmState.LIVE
    size: Resources = Resources()

    @property
    def url(self) -> str:
        """Base URL of the VM's HTTP API."""
        return f"http://{self.address}:{self.port}"


@attrs.frozen
class CapacitySummary:
    """Free capacity of a scheduler host's workers, sent by gossip.

    Attributes:
        host: Name of the scheduler host.
        region: Region of the scheduler host.
        at: Time at which the summary was made, or received from a peer,
            seconds since 1970.
        free_lookup_slots: Free slots that lookups may use.
        free: Free capacity for batch work, summed over the workers.
        largest: Largest free amount of each resource on a single worker.
        queue_s: Expected queueing time of a new lookup in seconds.
        quarantined: Number of workers in quarantine.
    """

    host: str
    region: str
    at: float = 0.0
    free_lookup_slots: int = 0
    free: Resources = Resources()
    largest: Resources = Resources()
    queue_s: float = 0.0
    quarantined: int = 0
