"""The platform's configuration store.

A key-value service with compare-and-swap, leases and watches. The HTTP
protocol is described in docs/platform.md.
"""

__all__ = [
    "MAX_VALUE_BYTES",
    "ConfigStore",
    "HttpConfigStore",
    "VersionedValue",
]

import abc
from collections.abc import Mapping

import attrs
from returns.result import Result, Success

from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.platform.http_client import HttpClient

MAX_VALUE_BYTES = 1_000_000
# A store call takes milliseconds; a longer silence counts as an outage.
CALL_TIMEOUT_S = 2.0


@attrs.frozen
class VersionedValue:
    """A value of the store.

    Attributes:
        version: Version of the key; it grows with each write and delete.
        value: Bytes of the value; None if the key is absent.
    """

    version: int
    value: bytes | None


class ConfigStore(abc.ABC):
    """A key-value store with compare-and-swap and watches.

    Every method fails with ``STORE_UNAVAILABLE`` if the call certainly had
    no effect, and with ``TIMED_OUT`` if it may have had one.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> Result[VersionedValue, Problem]:
        """Returns the value of a key; version 0 if it never existed."""

    @abc.abstractmethod
    async def put(
        self, key: str, value: bytes, *, version: int
    ) -> Result[int, Problem]:
        """Writes a value if the key is at the given version.

        Args:
            key: Key.
            value: At most ``MAX_VALUE_BYTES`` bytes.
            version: Version that the key must have; 0 for an absent key.

        Returns:
            The new version, or ``CAS_CONFLICT`` if the version differs.
        """

    @abc.abstractmethod
    async def delete(self, key: str, *, version: int) -> Result[int, Problem]:
        """Deletes a key if it is at the given version."""

    @abc.abstractmethod
    async def list_versions(
        self, prefix: str
    ) -> Result[Mapping[str, int], Problem]:
        """Returns the versions of the keys with a prefix."""

    @abc.abstractmethod
    async def watch(
        self, key: str, *, after: int, wait_s: float
    ) -> Result[VersionedValue | None, Problem]:
        """Waits for a version above ``after``; None if none came in time."""


class HttpConfigStore(ConfigStore):
    """The store over HTTP."""

    def __init__(self, url: str, *, timeout_s: float = CALL_TIMEOUT_S):
        self._http = HttpClient(url, timeout_s=timeout_s)
        # A waiting watch has a connection of its own, so that its silence
        # does not close the connection of calls in progress.
        self._watch_http = HttpClient(url, timeout_s=timeout_s)

    async def close(self) -> None:
        """Closes the connections."""
        await self._http.close()
        await self._watch_http.close()

    async def get(self, key: str) -> Result[VersionedValue, Problem]:
        """See `ConfigStore.get`."""
        reply = await self._http.call("GET", f"/v1/kv/{key}")
        return reply.bind(_stored).lash(_unavailable)

    async def put(
        self, key: str, value: bytes, *, version: int
    ) -> Result[int, Problem]:
        """See `ConfigStore.put`."""
        if len(value) > MAX_VALUE_BYTES:
            return failure(
                Code.BAD_REQUEST,
                f"value of {len(value)} bytes",
                field=key,
                accepted=f"at most {MAX_VALUE_BYTES} bytes",
            )
        reply = await self._http.call(
            "PUT",
            f"/v1/kv/{key}",
            data=value,
            headers={"If-Version": str(version)},
        )
        return reply.bind(_written).lash(_unavailable)

    async def delete(self, key: str, *, version: int) -> Result[int, Problem]:
        """See `ConfigStore.delete`."""
        reply = await self._http.call(
            "DELETE", f"/v1/kv/{key}", headers={"If-Version": str(version)}
        )
        return reply.bind(_written).lash(_unavailable)

    async def list_versions(
        self, prefix: str
    ) -> Result[Mapping[str, int], Problem]:
        """See `ConfigStore.list_versions`."""
        reply = await self._http.call(
            "GET", "/v1/list", params={"prefix": prefix}
        )
        return reply.bind(lambda r: r.json_for_status(200)).map(
            lambda body: body["keys"]
        )

    async def watch(
        self, key: str, *, after: int, wait_s: float
    ) -> Result[VersionedValue | None, Problem]:
        """See `ConfigStore.watch`."""
        reply = await self._watch_http.call(
            "GET",
            f"/v1/watch/{key}",
            params={"after": str(after), "wait_s": str(wait_s)},
            server_wait_s=wait_s,
        )
        return reply.bind(
            lambda r: Success(None) if r.status == 304 else _stored(r)
        ).lash(_unavailable)


def _stored(reply) -> Result[VersionedValue, Problem]:
    if reply.status not in (200, 404):
        return failure(
            Code.STORE_UNAVAILABLE, f"status {reply.status}", retry_after_s=1.0
        )
    version = int(reply.headers.get("X-Version", "0"))
    return Success(
        VersionedValue(version, reply.body if reply.status == 200 else None)
    )


def _written(reply) -> Result[int, Problem]:
    if reply.status == 409:
        return failure(Code.CAS_CONFLICT, "the key has another version")
    if reply.status == 503:
        return failure(
            Code.STORE_UNAVAILABLE, "the store refused", retry_after_s=1.0
        )
    return reply.json_for_status(200).map(lambda body: body["version"])


def _unavailable(failed: Problem) -> Result:
    if failed.code is Code.UNREACHABLE:
        return failure(Code.STORE_UNAVAILABLE, failed.detail, retry_after_s=1.0)
    return failure(failed.code, failed.detail, retry_after_s=1.0)
