"""Host processes of a soak: their settings, signals and restarts."""

__all__ = ["HostProcess"]

import asyncio
import json
import os
import pathlib
import random
import signal
import sys

from dragonflybank.bench.soak.host import CLOCK_SIGNAL, CLOCK_VARIABLE
from dragonflybank.bench.soak.proxy import TcpProxy

CALLERS_PORT = 8161
READY_PORT = 8167
METRICS_PORT = 9464
PEER_PORTS = (7720, 7735)
# The platform starts a process that ended again after a short delay.
RESTART_S = (0.3, 1.0)
# Until the interpreter runs the daemon's first line.
INTERPRETER_S = 0.3


class HostProcess:
    """A host that is started again whenever it ends.

    Attributes:
        name: Name of the host.
        front: Proxy between callers and the host.
        store: Proxy between the host and the store.
        life: Number of its present process, from 1.
        touched_at: Time at which it was last disturbed.
        stopping_since: Time of a SIGTERM that it has not ended after yet.
        was_ready: Whether its present process has answered the balancer.
        wrong: What its processes did that they must not.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        *,
        folder: pathlib.Path,
        store: TcpProxy,
        advice_address: str,
        rng: random.Random,
    ):
        self.name = name
        self.front = TcpProxy(lambda: f"{ip}:{CALLERS_PORT}")
        self.store = store
        self.life = 0
        self.touched_at = 0.0
        self.stopping_since: float | None = None
        self.was_ready = False
        self.wrong: list[str] = []
        self._ip = ip
        self._rng = rng
        self._log = folder / f"{name}.log"
        self._clock = folder / f"{name}.clock"
        self._settings = folder / f"{name}.json"
        self._process: asyncio.subprocess.Process | None = None
        self._was_killed = False
        self._started_at = 0.0
        self._is_over = False
        self._clock.write_text("0")
        self._write_settings(advice_address)

    @property
    def ready_url(self) -> str:
        """Where the balancer asks."""
        return f"http://{self._ip}:{READY_PORT}/"

    async def run(self, ip: str) -> None:
        """Keeps the host running until `close`."""
        await self.front.start(ip)
        while not self._is_over:
            self.life += 1
            self._was_killed, self.stopping_since = False, None
            self.was_ready = False
            self._started_at = asyncio.get_running_loop().time()
            with self._log.open("ab") as log:
                self._process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "dragonflybank.bench.soak.host",
                    stdout=log,
                    stderr=log,
                    env={
                        **os.environ,
                        "DRAGONFLYBANK_SETTINGS": str(self._settings),
                        CLOCK_VARIABLE: str(self._clock),
                    },
                )
            status = await self._process.wait()
            if not self._was_killed and not self._is_over:
                self._check_end(status)
            await asyncio.sleep(self._rng.uniform(*RESTART_S))

    def kill(self) -> None:
        """Kills the process."""
        self._touch()
        self._was_killed = True
        self._send(signal.SIGKILL)

    def terminate(self) -> None:
        """Asks the process to shut down gracefully."""
        self._touch()
        if self.stopping_since is None:
            self.stopping_since = asyncio.get_running_loop().time()
        self._send(signal.SIGTERM)

    def pause(self) -> None:
        """Pauses the process."""
        self._touch()
        self._send(signal.SIGSTOP)

    def wake(self) -> None:
        """Lets a paused process continue."""
        self._touch()
        self._send(signal.SIGCONT)

    def reload(self) -> None:
        """Says that the settings changed."""
        now = asyncio.get_running_loop().time()
        if now - self._started_at > INTERPRETER_S:
            self._send(signal.SIGHUP)

    def set_clock(self, offset_s: float) -> None:
        """Sets the time of day off by some seconds."""
        self._touch()
        self._clock.write_text(str(offset_s))
        if self.was_ready:
            # A process that starts reads the file by itself.
            self._send(CLOCK_SIGNAL)

    def disturb(self) -> None:
        """Notes that its links are disturbed."""
        self._touch()

    async def close(self) -> None:
        """Ends the process for good."""
        self._is_over = True
        self.kill()
        if self._process is not None:
            await self._process.wait()
        await self.front.close()
        await self.store.close()

    def _touch(self) -> None:
        self.touched_at = asyncio.get_running_loop().time()

    def _send(self, number: int) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def _check_end(self, status: int) -> None:
        if self.stopping_since is None:
            self.wrong.append(f"{self.name} ended by itself with {status}")
        elif status == -signal.SIGTERM and not self.was_ready:
            # The interpreter was still starting, so nothing was in progress.
            return
        elif status:
            self.wrong.append(f"{self.name} ended with {status} after SIGTERM")

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
                "address": self.store.address,
                "writes_per_s": 400,
                "reads_per_s": 2000,
            },
            "advice_address": advice_address,
        }
        self._settings.write_text(json.dumps(fields))
