"""A stand-in of the platform's VM list, which shows changes with a lag."""

__all__ = ["VmListServer", "main"]

import argparse
import json
import time

import attrs
from aiohttp import web

from dragonflybank.model.resources import Resources
from dragonflybank.model.topology import VmInfo, VmRole, VmState
from dragonflybank.standins.program import run_program
from dragonflybank.standins.records import LeavingAnnounced, RecordLog
from dragonflybank.standins.server import Route, StandinServer


def main() -> None:
    """Runs the stand-in as a program."""

    def make_servers(args, log):
        return {"vmlist": VmListServer(args.lag_s, log=log)}

    def add_arguments(parser: argparse.ArgumentParser):
        parser.add_argument("--lag-s", type=float, default=0.0)

    run_program(__doc__, make_servers, add_arguments)


class VmListServer(StandinServer):
    """The server of the VM list.

    A change becomes visible ``lag_s`` seconds after it was made.
    ``POST /control/vms`` with ``{put: [row], remove: [name], lag_s}`` changes
    the list.

    Args:
        lag_s: Delay until changes are visible, in seconds. A new value applies
            to later changes.
        name: Name of the stand-in in records.
        log: Records.
    """

    def __init__(
        self,
        lag_s: float = 0.0,
        name: str = "vmlist",
        log: RecordLog | None = None,
    ):
        super().__init__(name, log)
        self.lag_s = lag_s
        self._visible: dict[str, VmInfo] = {}
        self._pending: list[_Change] = []

    def routes(self) -> list[Route]:
        """See `StandinServer.routes`."""
        return [
            Route("GET", "/v1/vms", "vms", self._list_vms),
            Route("POST", "/control/vms", "control_vms", self._control_vms),
        ]

    def put(self, vm: VmInfo, *, lag_s: float | None = None) -> None:
        """Adds or changes a VM; visible after the lag."""
        now = time.time()
        visible_at = now + (self.lag_s if lag_s is None else lag_s)
        was_leaving = self._latest_state(vm.name) is VmState.LEAVING
        is_leaving = vm.state is VmState.LEAVING
        if was_leaving != is_leaving:
            record = LeavingAnnounced(visible_at, vm.name, "vmlist", is_leaving)
            self.log.add(record)
        self._pending.append(_Change(visible_at, vm.name, vm))

    def remove(self, name: str, *, lag_s: float | None = None) -> None:
        """Removes a VM; visible after the lag."""
        lag_s = self.lag_s if lag_s is None else lag_s
        self._pending.append(_Change(time.time() + lag_s, name, None))

    def set_state(self, name: str, state: VmState) -> None:
        """Changes the state of a VM; visible after the lag."""
        self.put(attrs.evolve(self._latest(name), state=state))

    def visible_vms(self, now: float) -> tuple[VmInfo, ...]:
        """Returns the VMs as the list shows them at ``now``."""
        due = [change for change in self._pending if change.at <= now]
        self._pending = [c for c in self._pending if c.at > now]
        for change in sorted(due, key=lambda change: change.at):
            if change.vm is None:
                self._visible.pop(change.name, None)
            else:
                self._visible[change.name] = change.vm
        return tuple(self._visible.values())

    def _latest(self, name: str) -> VmInfo | None:
        pending = [c.vm for c in self._pending if c.name == name]
        return pending[-1] if pending else self._visible.get(name)

    def _latest_state(self, name: str) -> VmState | None:
        vm = self._latest(name)
        return None if vm is None else vm.state

    async def _list_vms(self, request: web.Request) -> web.Response:
        rows = [attrs.asdict(vm) for vm in self.visible_vms(time.time())]
        return web.json_response({"vms": rows})

    async def _control_vms(self, request: web.Request) -> web.Response:
        changes = json.loads(await request.read())
        self.lag_s = float(changes.get("lag_s", self.lag_s))
        for row in changes.get("put", ()):
            self.put(_decode_vm(row))
        for name in changes.get("remove", ()):
            self.remove(name)
        return web.json_response({})


@attrs.frozen
class _Change:
    at: float
    name: str
    vm: VmInfo | None


def _decode_vm(row: dict) -> VmInfo:
    return VmInfo(
        **{
            **row,
            "role": VmRole(row.get("role", VmRole.WORKER)),
            "state": VmState(row.get("state", VmState.LIVE)),
            "size": Resources(**row.get("size", {})),
        }
    )


if __name__ == "__main__":
    main()
