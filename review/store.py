"""The platform's metadata store over HTTP, as PROTOCOL.md describes it."""

__all__ = ["Store"]

import asyncio
import base64
import json

from aiohttp import web

ANSWER_S = 0.004
PAGE_ITEMS = 500
MAX_ROWS = 32
MIN_TTL_MS = 1000


class Store:
    """A linearizable store in memory.

    Attributes:
        address: IP address and port.
    """

    def __init__(self):
        self.address = ""
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._revision = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._last_lease = 0
        self._changed = asyncio.Event()
        self._runner: web.ServerRunner | None = None

    async def start(self, ip: str) -> None:
        """Starts to listen on a port that the kernel chooses."""
        server = web.Server(self._answer, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, ip, 0, backlog=256).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Closes the listening socket and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, key: str, value: bytes) -> None:
        """Writes a key as an operator, an executor or another writer does."""
        self._revision += 1
        self._set(key, base64.b64encode(value).decode(), 0)

    def remove(self, key: str) -> None:
        """Removes a key as an executor does when it leaves."""
        if key in self._items:
            self._revision += 1
            self._unset(key)

    def read(self, key: str) -> bytes | None:
        """Returns the value of a key, without a call."""
        self._expire()
        item = self._items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def keys(self, prefix: str) -> list[str]:
        """Returns the keys with a prefix, without a call."""
        self._expire()
        return sorted(k for k in self._items if k.startswith(prefix))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _set(self, key: str, value: str, lease: int) -> None:
        known = self._items.get(key)
        created = known["created_rev"] if known else self._revision
        item = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created_rev": created,
            "lease_id": lease,
        }
        self._items[key] = item
        self._events.append(item)
        self._changed.set()

    def _unset(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._events.append(
                {"key": key, "revision": self._revision, "compacted": True}
            )
            self._changed.set()

    def _expire(self) -> None:
        now = self._now()
        for lease, (until, _) in list(self._leases.items()):
            if until <= now:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [k for k, i in self._items.items() if i["lease_id"] == lease]
        for key in keys:
            self._revision += 1
            self._unset(key)

    async def _answer(self, req: web.BaseRequest) -> web.Response:
        kind, _, rest = req.path.removeprefix("/-/").partition("/")
        raw = await req.read()
        body = json.loads(raw) if raw else {}
        await asyncio.sleep(ANSWER_S)
        self._expire()
        match kind:
            case "kv-key":
                item = self._items.get(req.query["key"])
                if item is None:
                    return web.json_response({}, status=404)
                return web.json_response({**item, "at_rev": self._revision})
            case "kv-range":
                return self._answer_range(req)
            case "kv-watch":
                return await self._answer_watch(req)
            case "kv-txn":
                return self._answer_txn(body)
            case "kv-lease":
                return self._answer_lease(body)
            case "kv-keep":
                return self._answer_keep(int(rest))
            case "kv-lease-end":
                self._end_lease(int(rest))
                return web.json_response({})
        return web.json_response({}, status=404)

    def _answer_range(self, req: web.BaseRequest) -> web.Response:
        prefix, after = req.query["prefix"], req.query.get("after", "")
        keys = [
            k for k in sorted(self._items) if k.startswith(prefix) and k > after
        ]
        return web.json_response(
            {
                "items": [self._items[k] for k in keys[:PAGE_ITEMS]],
                "has_more": len(keys) > PAGE_ITEMS,
                "at_rev": self._revision,
            }
        )

    async def _answer_watch(self, req: web.BaseRequest) -> web.Response:
        prefix, after = req.query["prefix"], int(req.query["after"])
        until = self._now() + int(req.query["wait_ms"]) / 1000
        while True:
            self._expire()
            events = [
                e
                for e in self._events
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            if events or self._now() >= until:
                return web.json_response(
                    {"events": events, "at_rev": self._revision}
                )
            self._changed.clear()
            try:
                async with asyncio.timeout(min(0.1, until - self._now())):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _answer_txn(self, body: dict) -> web.Response:
        expect = body.get("expect") or []
        puts = body.get("puts") or []
        remove = body.get("remove") or []
        if len(expect) + len(puts) + len(remove) > MAX_ROWS:
            return web.json_response({}, status=400)
        current = {
            row["key"]: self._items.get(row["key"], {"revision": 0})
            for row in expect
        }
        if any(
            current[row["key"]]["revision"] != row["revision"] for row in expect
        ):
            found = [i for i in current.values() if "value" in i]
            return web.json_response({"items": found}, status=412)
        leases = {row.get("lease_id") or 0 for row in puts} - {0}
        if not leases <= set(self._leases):
            return web.json_response({}, status=404)
        if any(
            key.startswith(("op/", "servers/"))
            for key in [*(row["key"] for row in puts), *remove]
        ):
            return web.json_response({}, status=403)
        self._revision += 1
        for row in puts:
            self._set(row["key"], row["value"], row.get("lease_id") or 0)
        for key in remove:
            self._unset(key)
        return web.json_response({"revision": self._revision})

    def _answer_lease(self, body: dict) -> web.Response:
        ttl_ms = max(MIN_TTL_MS, body["ttl_ms"])
        self._last_lease += 1
        ttl_s = ttl_ms / 1000
        self._leases[self._last_lease] = (self._now() + ttl_s, ttl_s)
        return web.json_response(
            {"lease_id": self._last_lease, "ttl_ms": ttl_ms}
        )

    def _answer_keep(self, lease: int) -> web.Response:
        if lease not in self._leases:
            return web.json_response({}, status=404)
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (self._now() + ttl_s, ttl_s)
        return web.json_response({"ttl_ms": int(ttl_s * 1000)})
