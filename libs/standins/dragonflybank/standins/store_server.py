"""A stand-in of the platform's configuration store.

It is a key-value service with compare-and-swap, leases and watches, and counts
each call by kind. Versions of a key go on after its deletion. A write to an
absent key may expect version 0 or the version that the deletion left.
"""

__all__ = ["StoreServer", "main"]

import asyncio
import json
import time

import attrs
from aiohttp import web

from dragonflybank.standins.fault_injection import REPLY_RECORD
from dragonflybank.standins.program import run_program
from dragonflybank.standins.records import (
    GenerationRead,
    RecordLog,
    Refused,
    StoreAnswered,
    StoreWritten,
)
from dragonflybank.standins.server import Route, StandinServer

MAX_VALUE_BYTES = 1_000_000
ACTIVE_CONFIG_KEY = "config/active"


def main() -> None:
    """Runs the stand-in as a program."""
    run_program(__doc__, lambda args, log: {"store": StoreServer(log=log)})


class StoreServer(StandinServer):
    """The server of the store.

    Attributes:
        waiting_watches: Number of watches that wait now. Each has been
            counted as one call.
    """

    def __init__(self, name: str = "store", log: RecordLog | None = None):
        super().__init__(name, log)
        self.waiting_watches = 0
        self._entries: dict[str, _Entry] = {}
        self._changed: dict[str, asyncio.Event] = {}
        self._leases: dict[str, _Lease] = {}
        self._leases_granted = 0

    def routes(self) -> list[Route]:
        """See `StandinServer.routes`."""
        return [
            Route("GET", "/v1/kv/{key:.+}", "get", self._get),
            Route("PUT", "/v1/kv/{key:.+}", "put", self._put),
            Route("DELETE", "/v1/kv/{key:.+}", "delete", self._delete),
            Route("GET", "/v1/list", "list", self._list),
            Route("GET", "/v1/watch/{key:.+}", "watch", self._watch),
            Route("POST", "/v1/leases", "lease", self._grant_lease),
            Route("PUT", "/v1/leases/{id}", "keep_alive", self._keep_alive),
        ]

    def value(self, key: str) -> bytes | None:
        """Returns the value of a key without counting a call."""
        return self._entries.get(key, _Entry()).value

    def version(self, key: str) -> int:
        """Returns the version of a key without counting a call."""
        return self._entries.get(key, _Entry()).version

    def write(self, key: str, value: bytes | None, lease: str = "") -> int:
        """Writes or deletes a key unconditionally and returns its version."""
        entry = self._entries.setdefault(key, _Entry())
        entry.version += 1
        entry.value = value
        entry.lease = lease
        self.log.add(
            StoreWritten(
                time.time(),
                key,
                entry.version,
                len(value or b""),
                _parse_generation(value),
                value is None,
            )
        )
        event = self._changed.pop(key, None)
        if event is not None:
            event.set()
        return entry.version

    async def close(self) -> None:
        """See `StandinServer.close`."""
        for lease in self._leases.values():
            lease.timer.cancel()
        await super().close()

    async def _get(self, request: web.Request) -> web.Response:
        return self._value_response(request.match_info["key"])

    async def _put(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        body = await request.read()
        lease = request.headers.get("X-Lease", "")
        if len(body) > MAX_VALUE_BYTES:
            return web.json_response({"limit": MAX_VALUE_BYTES}, status=413)
        if lease and lease not in self._leases:
            return web.json_response({"error": "unknown lease"}, status=404)
        return self._compare_and_write(request, key, body, lease)

    async def _delete(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        return self._compare_and_write(request, key, None, "")

    def _compare_and_write(self, request, key, value, lease) -> web.Response:
        try:
            expected = int(request.headers["If-Version"])
        except (KeyError, ValueError):
            return web.json_response({"error": "If-Version"}, status=400)
        entry = self._entries.get(key, _Entry())
        is_absent = entry.value is None
        if expected != entry.version and not (is_absent and expected == 0):
            kind = "delete" if value is None else "put"
            reason = f"expected version {expected}, found {entry.version}"
            self.log.add(Refused(time.time(), self.name, kind, key, reason))
            return web.json_response({"version": entry.version}, status=409)
        if is_absent and value is None:
            return web.json_response({"version": entry.version})
        version = self.write(key, value, lease)
        request[REPLY_RECORD] = lambda at: StoreAnswered(at, key, version)
        return web.json_response({"version": version})

    async def _list(self, request: web.Request) -> web.Response:
        prefix = request.query.get("prefix", "")
        keys = {
            key: entry.version
            for key, entry in self._entries.items()
            if entry.value is not None and key.startswith(prefix)
        }
        return web.json_response({"keys": keys})

    async def _watch(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        after = int(request.query.get("after", "0"))
        self.waiting_watches += 1
        try:
            async with asyncio.timeout(float(request.query.get("wait_s", "0"))):
                while self.version(key) <= after:
                    event = self._changed.setdefault(key, asyncio.Event())
                    await event.wait()
        except TimeoutError:
            return web.Response(status=304)
        finally:
            self.waiting_watches -= 1
        return self._value_response(key)

    def _value_response(self, key: str) -> web.Response:
        entry = self._entries.get(key, _Entry())
        headers = {"X-Version": str(entry.version)}
        if entry.value is None:
            return web.Response(status=404, headers=headers)
        if key == ACTIVE_CONFIG_KEY:
            generation = _parse_generation(entry.value)
            self.log.add(
                GenerationRead(time.time(), key, entry.version, generation)
            )
        return web.Response(body=entry.value, headers=headers)

    async def _grant_lease(self, request: web.Request) -> web.Response:
        ttl_s = float((await request.json())["ttl_s"])
        self._leases_granted += 1
        lease_id = str(self._leases_granted)
        self._leases[lease_id] = _Lease(
            ttl_s, self._start_timer(lease_id, ttl_s)
        )
        return web.json_response({"lease": lease_id})

    async def _keep_alive(self, request: web.Request) -> web.Response:
        lease_id = request.match_info["id"]
        lease = self._leases.get(lease_id)
        if lease is None:
            return web.json_response({"error": "unknown lease"}, status=404)
        lease.timer.cancel()
        lease.timer = self._start_timer(lease_id, lease.ttl_s)
        return web.json_response({"lease": lease_id})

    def _start_timer(self, lease_id: str, ttl_s: float) -> asyncio.TimerHandle:
        loop = asyncio.get_running_loop()
        return loop.call_later(ttl_s, self._expire, lease_id)

    def _expire(self, lease_id: str) -> None:
        del self._leases[lease_id]
        for key, entry in tuple(self._entries.items()):
            if entry.lease == lease_id:
                self.write(key, None)

    async def control_calls(self, request: web.Request) -> web.Response:
        """See `StandinServer.control_calls`."""
        return web.json_response(
            {
                "calls": dict(self.calls),
                "bytes": dict(self.bytes),
                "waiting_watches": self.waiting_watches,
            }
        )


@attrs.define
class _Entry:
    version: int = 0
    value: bytes | None = None
    lease: str = ""


@attrs.define
class _Lease:
    ttl_s: float
    timer: asyncio.TimerHandle


def _parse_generation(value: bytes | None) -> int:
    if value is None:
        return 0
    try:
        return int(json.loads(value)["generation"])
    except (ValueError, KeyError, TypeError):
        return 0


if __name__ == "__main__":
    main()
