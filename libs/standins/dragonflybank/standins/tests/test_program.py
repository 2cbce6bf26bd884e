"""Tests of the stand-ins as programs."""

import asyncio
import json
import sys

import testtools
from testtools.matchers import Equals

from dragonflybank.platform.http_client import HttpClient
from dragonflybank.standins.records import WorkerUp, decode_record


async def _with_program(steps):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "dragonflybank.standins.worker_server"),
        *("--names", "w1,w2"),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        line = json.loads(await process.stdout.readline())
        return await steps(line, process)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def _http_client(port):
    return HttpClient(f"http://127.0.0.1:{port}", timeout_s=30)


class TestProgram(testtools.TestCase):
    """Guards against a stand-in that can't be restored or stopped."""

    def test_control_port_works_while_a_worker_is_down(self):
        async def steps(line, process):
            control = _http_client(line["control_port"])
            worker = _http_client(line["ports"]["w2"])
            path = "/control/faults?server=w2"
            statuses = []
            for is_down in (True, False):
                change = {"down": is_down}
                await control.call("POST", path, json=change)
                reply = await worker.call("GET", "/v1/state")
                statuses.append(reply.map(lambda r: r.status).value_or(None))
            reply = await control.call("GET", "/control/records")
            rows = reply.unwrap().json_for_status(200).unwrap()["records"]
            records = [decode_record(row) for row in rows]
            up = [r.worker for r in records if isinstance(r, WorkerUp)]
            await control.close()
            await worker.close()
            process.terminate()
            return statuses, up, await process.wait()

        self.assertThat(
            asyncio.run(_with_program(steps)),
            Equals(([None, 200], ["w1", "w2"], 0)),
        )
