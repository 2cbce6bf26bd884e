"""Tests of the store stand-in through the platform's client."""

import asyncio

import testtools
from testtools.matchers import Equals

from dragonflybank.model.codes import Code
from dragonflybank.platform.store import HttpConfigStore
from dragonflybank.standins.faults import Hook
from dragonflybank.standins.store_server import StoreServer


async def _with_store(steps):
    server = StoreServer()
    await server.start()
    client = HttpConfigStore(server.url, timeout_s=0.2)
    try:
        return await steps(server, client)
    finally:
        await client.close()
        await server.close()


class TestStore(testtools.TestCase):
    """Guards against a stand-in that is less strict than the platform."""

    def run_steps(self, steps):
        return asyncio.run(_with_store(steps))

    def test_versions_go_on_after_a_delete(self):
        # If versions restarted, a compare-and-swap of a paused writer could
        # succeed.
        async def steps(server, client):
            await client.put("a/b", b"1", version=0)
            await client.delete("a/b", version=1)
            return await client.put("a/b", b"2", version=0)

        self.assertThat(self.run_steps(steps).unwrap(), Equals(3))

    def test_only_one_of_two_writes_at_a_version_succeeds(self):
        async def steps(server, client):
            puts = [client.put("k", b"%d" % i, version=0) for i in range(5)]
            replies = await asyncio.gather(*puts)
            codes = {r.failure().code for r in replies if _failed(r)}
            return len([r for r in replies if not _failed(r)]), codes

        self.assertThat(self.run_steps(steps), Equals((1, {Code.CAS_CONFLICT})))

    def test_waiting_watch_counts_as_one_call_and_reports_a_delete(self):
        async def steps(server, client):
            version = server.write("k", b"1")
            hook = server.arm(Hook("watch"))
            watch = client.watch("k", after=version, wait_s=30)
            task = asyncio.create_task(watch)
            await hook.fired.wait()
            waiting = server.waiting_watches
            server.write("k", None)
            value = (await task).unwrap().value
            return value, waiting, server.calls["watch"]

        self.assertThat(self.run_steps(steps), Equals((None, 1, 1)))

    def test_expired_lease_deletes_its_keys(self):
        async def steps(server, client):
            conn = client._http
            grant = await conn.call("POST", "/v1/leases", json={"ttl_s": 0.01})
            lease = grant.unwrap().json_for_status(200).unwrap()["lease"]
            headers = {"If-Version": "0", "X-Lease": lease}
            await conn.call("PUT", "/v1/kv/m", data=b"x", headers=headers)
            stored = await client.watch("m", after=1, wait_s=30)
            late = await conn.call("PUT", f"/v1/leases/{lease}")
            again = await conn.call("PUT", "/v1/kv/m", headers=headers)
            statuses = [reply.unwrap().status for reply in (late, again)]
            return stored.unwrap().version, statuses

        self.assertThat(self.run_steps(steps), Equals((2, [404, 404])))

    def test_value_over_the_limit_is_refused(self):
        async def steps(server, client):
            reply = await client._http.call(
                "PUT",
                "/v1/kv/k",
                data=b"x" * 1_000_001,
                headers={"If-Version": "0"},
            )
            return reply.unwrap().status, server.version("k")

        self.assertThat(self.run_steps(steps), Equals((413, 0)))


def _failed(result):
    return result.value_or(None) is None
