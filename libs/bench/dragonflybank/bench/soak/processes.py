"""Host processes of the soak: settings, signals and restarts."""

__all__ = ["HostProcess", "get_status"]

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import sys

import aiohttp

from dragonflybank.bench.soak.host import CLOCK_SIGNAL, CLOCK_VARIABLE
from dragonflybank.bench.soak.proxy import TcpProxy

CALLERS_PORT = 8161
READY_PORT = 8167
METRICS_PORT = 9464
PEER_PORTS = (7720, 7735)
# Delay after which the platform restarts a process that has exited.
RESTART_DELAY_RANGE_S = (0.3, 1.0)
# Time in which the interpreter starts, before the daemon's code runs. SIGHUP
# would end a process that has not installed its handler yet.
INTERPRETER_START_S = 0.3


class HostProcess:
    """A host whose process is restarted whenever it exits.

    Attributes:
        name: Name of the host.
        caller_proxy: Proxy between callers and the host.
        store_proxy: Proxy between the host and the store.
        process_number: Number of its current process, from 1.
        disturbed_at: Time at which a fault last began or ended at this host.
        stopping_since: Time of the first SIGTERM to the current process.
        was_ready: Whether the current process has ever been ready.
        violations: Descriptions of exits that must not happen.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        *,
        folder: pathlib.Path,
        store_proxy: TcpProxy,
        advice_address: str,
        rng: random.Random,
    ):
        self.name = name
        self.caller_proxy = TcpProxy(lambda: f"{ip}:{CALLERS_PORT}")
        self.store_proxy = store_proxy
        self.process_number = 0
        self.disturbed_at = 0.0
        self.stopping_since: float | None = None
        self.was_ready = False
        self.violations: list[str] = []
        self._ip = ip
        self._rng = rng
        self._log_file = folder / f"{name}.log"
        self._clock_file = folder / f"{name}.clock"
        self._settings_file = folder / f"{name}.json"
        self._process: asyncio.subprocess.Process | None = None
        self._was_killed = False
        self._started_at = 0.0
        self._is_closed = False
        self._clock_file.write_text("0")
        self._write_settings(advice_address)

    @property
    def ready_url(self) -> str:
        """URL of the readiness check."""
        return f"http://{self._ip}:{READY_PORT}/"

    async def run(self, ip: str) -> None:
        """Keeps the host running until `close`."""
        await self.caller_proxy.start(ip)
        while not self._is_closed:
            self.process_number += 1
            self._was_killed, self.stopping_since = False, None
            self.was_ready = False
            self._started_at = asyncio.get_running_loop().time()
            with self._log_file.open("ab") as log:
                self._process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "dragonflybank.bench.soak.host",
                    stdout=log,
                    stderr=log,
                    env={
                        **os.environ,
                        "DRAGONFLYBANK_SETTINGS": str(self._settings_file),
                        CLOCK_VARIABLE: str(self._clock_file),
                    },
                )
            status = await self._process.wait()
            if not self._was_killed and not self._is_closed:
                self._check_exit(status)
            await asyncio.sleep(self._rng.uniform(*RESTART_DELAY_RANGE_S))

    def kill(self) -> None:
        """Kills the process."""
        self._record_disturbance()
        self._was_killed = True
        self._send_signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Asks the process to shut down gracefully, with SIGTERM."""
        self._record_disturbance()
        if self.stopping_since is None:
            self.stopping_since = asyncio.get_running_loop().time()
        self._send_signal(signal.SIGTERM)

    def pause(self) -> None:
        """Pauses the process."""
        self._record_disturbance()
        self._send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a paused process."""
        self._record_disturbance()
        self._send_signal(signal.SIGCONT)

    def reload(self) -> None:
        """Asks the process to reload its settings, with SIGHUP."""
        now = asyncio.get_running_loop().time()
        if now - self._started_at > INTERPRETER_START_S:
            self._send_signal(signal.SIGHUP)

    def set_clock_offset(self, offset_s: float) -> None:
        """Shifts the time of day by an offset in seconds."""
        self._record_disturbance()
        self._clock_file.write_text(str(offset_s))
        if self.was_ready:
            # Until then the process may have no handler; it reads the file at
            # its start.
            self._send_signal(CLOCK_SIGNAL)

    def mark_disturbed(self) -> None:
        """Records that a fault of its connections begins or ends."""
        self._record_disturbance()

    async def close(self) -> None:
        """Kills the process and closes the proxies."""
        self._is_closed = True
        self.kill()
        if self._process is not None:
            await self._process.wait()
        await self.caller_proxy.close()
        await self.store_proxy.close()

    def _record_disturbance(self) -> None:
        self.disturbed_at = asyncio.get_running_loop().time()

    def _send_signal(self, number: int) -> None:
        if self._process is None or self._process.returncode is not None:
            return
        # `send_signal` of asyncio would collect the exit status of an ended
        # process itself, so that `wait` returned 255 for it.
        with contextlib.suppress(ProcessLookupError):
            os.kill(self._process.pid, number)

    def _check_exit(self, status: int) -> None:
        if self.stopping_since is None:
            self.violations.append(
                f"{self.name} exited unexpectedly with status {status}"
            )
        elif status == -signal.SIGTERM and not self.was_ready:
            # The interpreter was still starting; no request was in progress.
            return
        elif status:
            self.violations.append(
                f"{self.name} exited with status {status} after SIGTERM"
            )

    def _write_settings(self, advice_address: str) -> None:
        fields = {
            "name": self.name,
            "zone": "zone-a",
            "region": "region-a",
            "ip": self._ip,
            "callers_address": f"{self._ip}:{CALLERS_PORT}",
            "ready_address": f"{self._ip}:{READY_PORT}",
            "metrics_address": f"{self._ip}:{METRICS_PORT}",
            "peer_ports": PEER_PORTS,
            "store": {
                "address": self.store_proxy.address,
                "writes_per_s": 400,
                "reads_per_s": 2000,
            },
            "advice_address": advice_address,
        }
        self._settings_file.write_text(json.dumps(fields))


async def get_status(
    session: aiohttp.ClientSession,
    url: str,
    hostname: str,
    *,
    timeout_s: float,
) -> int | None:
    """Returns the HTTP status of a URL, None without an answer.

    Args:
        session: Session that sends the request.
        url: The URL.
        hostname: The Host header.
        timeout_s: Timeout in seconds.
    """
    with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
        async with session.get(
            url,
            headers={"Host": hostname},
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as resp:
            return resp.status
    return None
