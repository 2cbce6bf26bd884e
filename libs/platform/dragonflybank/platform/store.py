"""The platform's configuration store.

It is a key-value store with compare-and-swap, leases and watches.
docs/platform.md describes its HTTP protocol.
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
# A store call takes milliseconds, so a missing answer means an outage.
CALL_TIMEOUT_S = 2.0


@attrs.frozen
class VersionedValue:
    """The value and version of a key.

    Attributes:
        version: Version of the key; each write and delete increases it.
        value: Bytes of the value; None if the key does not exist.
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
        """Returns the value of a key; version 0 if it has never existed."""

    @abc.abstractmethod
    async def put(
        self, key: str, value: bytes, *, version: int
    ) -> Result[int, Problem]:
        """Writes a value if the key has the given version.

        Args:
            key: Key.
            value: At most ``MAX_VALUE_BYTES`` bytes.
            version: Version that the key must have; 0 if it must not exist.

        Returns:
            The new version, or ``CAS_CONFLICT`` if the version differs.
        """

    @abc.abstractmethod
    async def delete(self, key: str, *, version: int) -> Result[int, Problem]:
        """Deletes a key if it has the given version.

        Args:
            key: Key.
            version: Version that the key must have.

        Returns:
            The new version, or ``CAS_CONFLICT`` if the version differs.
        """

    @abc.abstractmethod
    async def list_versions(
        self, prefix: str
    ) -> Result[Mapping[str, int], Problem]:
        """Returns the version of each key that starts with a prefix."""

    @abc.abstractmethod
    async def watch(
        self, key: str, *, after: int, wait_s: float
    ) -> Result[VersionedValue | None, Problem]:
        """Waits until a key has a version above ``after``.

        Args:
            key: Key.
            after: Version that the caller has already seen.
            wait_s: Longest time that the store waits, in seconds.

        Returns:
            The value, or None if the key did not change in time.
        """


class HttpConfigStore(ConfigStore):
    """A client of the store over HTTP.

    Args:
        url: Base URL of the store.
        timeout_s: Timeout of a call in seconds.
    """

    def __init__(self, url: str, *, timeout_s: float = CALL_TIMEOUT_S):
        self._http = HttpClient(url, timeout_s=timeout_s)
        # Watches have a client of their own, so that a watch that times out
        # doesn't replace the connections of other calls.
        self._watch_http = HttpClient(url, timeout_s=timeout_s)

    async def close(self) -> None:
        """Closes the connections."""
        await self._http.close()
        await self._watch_http.close()

    async def get(self, key: str) -> Result[VersionedValue, Problem]:
        """See `ConfigStore.get`."""
        reply = await self._http.call("GET", f"/v1/kv/{key}")
        return reply.bind(_decode_value).lash(_to_store_failure)

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
        return reply.bind(_decode_new_version).lash(_to_store_failure)

    async def delete(self, key: str, *, version: int) -> Result[int, Problem]:
        """See `ConfigStore.delete`."""
        reply = await self._http.call(
            "DELETE", f"/v1/kv/{key}", headers={"If-Version": str(version)}
        )
        return reply.bind(_decode_new_version).lash(_to_store_failure)

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
            lambda r: Success(None) if r.status == 304 else _decode_value(r)
        ).lash(_to_store_failure)


def _decode_value(reply) -> Result[VersionedValue, Problem]:
    if reply.status not in (200, 404):
        return failure(
            Code.STORE_UNAVAILABLE, f"status {reply.status}", retry_after_s=1.0
        )
    version = int(reply.headers.get("X-Version", "0"))
    return Success(
        VersionedValue(version, reply.body if reply.status == 200 else None)
    )


def _decode_new_version(reply) -> Result[int, Problem]:
    if reply.status == 409:
        return failure(Code.CAS_CONFLICT, "the key has another version")
    if reply.status == 503:
        return failure(
            Code.STORE_UNAVAILABLE,
            "the store refused the call",
            retry_after_s=1.0,
        )
    return reply.json_for_status(200).map(lambda body: body["version"])


def _to_store_failure(failed: Problem) -> Result:
    if failed.code is Code.UNREACHABLE:
        return failure(Code.STORE_UNAVAILABLE, failed.detail, retry_after_s=1.0)
    return failure(failed.code, failed.detail, retry_after_s=1.0)
