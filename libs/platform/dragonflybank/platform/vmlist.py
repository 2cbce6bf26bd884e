"""The platform's list of live and leaving VMs."""

__all__ = ["HttpVmList", "VmList", "decode_vm", "encode_vm"]

import abc

import attrs
from returns.result import Result

from dragonflybank.model.codes import Problem
from dragonflybank.model.resources import Resources
from dragonflybank.model.topology import VmInfo, VmRole, VmState
from dragonflybank.platform.http_client import HttpClient

CALL_TIMEOUT_S = 2.0


class VmList(abc.ABC):
    """The list of VMs; it lags behind the VMs by some seconds."""

    @abc.abstractmethod
    async def list_vms(self) -> Result[tuple[VmInfo, ...], Problem]:
        """Returns all VMs of the deployment."""


class HttpVmList(VmList):
    """A client of the VM list over HTTP.

    Args:
        url: Base URL of the VM list.
        timeout_s: Timeout of a call in seconds.
    """

    def __init__(self, url: str, *, timeout_s: float = CALL_TIMEOUT_S):
        self._http = HttpClient(url, timeout_s=timeout_s)

    async def close(self) -> None:
        """Closes the connections."""
        await self._http.close()

    async def list_vms(self) -> Result[tuple[VmInfo, ...], Problem]:
        """See `VmList.list_vms`."""
        reply = await self._http.call("GET", "/v1/vms")
        return reply.bind(lambda r: r.json_for_status(200)).map(
            lambda body: tuple(decode_vm(row) for row in body["vms"])
        )


def decode_vm(row: dict) -> VmInfo:
    """Returns a VM from its JSON object."""
    return VmInfo(
        **{
            **row,
            "role": VmRole(row["role"]),
            "state": VmState(row["state"]),
            "size": Resources(**row["size"]),
        }
    )


def encode_vm(vm: VmInfo) -> dict:
    """Returns the JSON object of a VM."""
    return attrs.asdict(vm)
