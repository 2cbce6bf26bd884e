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
    """What a VM is used for."""

    WORKER = "worker"
    HOST = "host"


@attrs.frozen
class VmInfo:
    """One row of the VM list.

    Attributes:
        name: Unique name of the VM.
        address: IP number.
        port: TCP port of the worker's API, or of a host's peer socket.
        region: Region.
        failure_domain: Failure domain.
        rack: Rack.
        role: Worker or scheduler host.
        state: Live or leaving.
        size: What a worker can hold.
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
    """Free room of a scheduler host's workers, carried in gossip.

    Attributes:
        host: Name of the scheduler host.
        region: Its region.
        at: Time of the summary, or of its receipt, seconds since 1970.
        free_lookup_slots: Free slots that lookups may take.
        free: Free room for patient work, summed over its workers.
        largest: Largest free room on one worker, for each resource.
        queue_s: Expected wait of a new lookup in seconds.
        quarantined: Number of its workers in quarantine.
    """

    host: str
    region: str
    at: float = 0.0
    free_lookup_slots: int = 0
    free: Resources = Resources()
    largest: Resources = Resources()
    queue_s: float = 0.0
    quarantined: int = 0
