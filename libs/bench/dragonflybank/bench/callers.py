"""Sends callers' requests to a deployment and records the answers."""

__all__ = ["Callers"]

import asyncio
import itertools
import json
import random
import time
from collections.abc import Callable, Sequence

import aiohttp

from dragonflybank.model.work import Outcome
from dragonflybank.standins.answers import CallerAnswer

# A host that has not answered by then counts as failed; the caller retries.
REQUEST_TIMEOUT_S = 12.0
LONG_POLL_S = 5.0
RETRY_DELAY_S = 0.1


class Callers:
    """Sends requests, retries at other hosts, and records every answer.

    Attributes:
        answers: All answers, in the order of their arrival.

    Args:
        urls: Returns the base URLs of the hosts in the load balancer's
            rotation.
        seed: Seed for the choice of hosts.
    """

    def __init__(self, urls: Callable[[], Sequence[str]], *, seed: int = 0):
        self.answers: list[CallerAnswer] = []
        self._urls = urls
        self._rng = random.Random(seed)
        self._payload_numbers = itertools.count()
        self._http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
        )

    async def close(self) -> None:
        """Closes the connections."""
        await self._http.close()

    async def send_lookup(
        self,
        team: str,
        work_class: str,
        *,
        run_s: float,
        attempts: int = 3,
    ) -> CallerAnswer:
        """Sends a lookup; retries at a random host if no answer comes."""
        payload = self._new_payload(run_s)
        body = {"team": team, "work_class": work_class, "payload": payload}
        for _ in range(attempts):
            answer = await self._request(
                "POST", "/v1/lookups", body, (team, "", work_class, payload, 1)
            )
            if answer.outcome not in (None, Outcome.UNKNOWN):
                break
            await asyncio.sleep(RETRY_DELAY_S)
        return answer

    async def run_job(
        self,
        team: str,
        key: str,
        work_class: str,
        *,
        run_s: float,
        tasks: int = 1,
        timeout_s: float = 60.0,
    ) -> CallerAnswer:
        """Submits a job and queries it until its answer is final."""
        payload = self._new_payload(run_s)
        path = f"/v1/jobs/{team}/{key}"
        subject = (team, key, work_class, payload, tasks)
        body = {"work_class": work_class, "payload": payload, "tasks": tasks}
        deadline = time.time() + timeout_s
        is_known = False
        while True:
            if is_known:
                url = f"{path}?wait_s={LONG_POLL_S:g}"
                answer = await self._request("GET", url, None, subject)
            else:
                answer = await self._request("PUT", path, body, subject)
            is_known = is_known or answer.outcome is Outcome.PENDING
            if _is_final(answer) or time.time() > deadline:
                return answer
            await asyncio.sleep(RETRY_DELAY_S)

    async def cancel_job(self, team: str, key: str) -> dict:
        """Cancels a job and returns the JSON object of the answer."""
        url = self._rng.choice(self._urls()) + f"/v1/jobs/{team}/{key}"
        async with self._http.delete(url) as resp:
            return await resp.json()

    async def run_query(self, text: str, *, operator: str = "demo") -> dict:
        """Sends an operator command and returns the JSON object."""
        url = self._rng.choice(self._urls()) + "/v1/query"
        body = {"text": text, "operator": operator}
        async with self._http.post(url, json=body) as resp:
            return await resp.json()

    async def _request(self, method, path, body, subject) -> CallerAnswer:
        team, key, work_class, payload, tasks = subject
        url = self._rng.choice(self._urls())
        sent_at = time.time()
        was_interrupted = False
        fields = {}
        try:
            async with self._http.request(
                method, url + path, json=body
            ) as resp:
                fields = await resp.json()
        except aiohttp.ClientConnectorError:
            pass
        except (aiohttp.ClientError, TimeoutError, OSError):
            was_interrupted = True
        outcome = Outcome(fields["outcome"]) if fields else None
        answer = CallerAnswer(
            team,
            key,
            work_class,
            payload,
            sent_at,
            time.time(),
            outcome,
            fields.get("length", 0),
            fields.get("digest", ""),
            fields.get("result", ""),
            tasks,
            url,
            was_interrupted,
        )
        self.answers.append(answer)
        return answer

    def _new_payload(self, run_s: float) -> str:
        answer = f"answer-{next(self._payload_numbers)}"
        return json.dumps({"run_s": run_s, "answer": answer})


def _is_final(answer: CallerAnswer) -> bool:
    return answer.outcome in (Outcome.DONE, Outcome.FAILED, Outcome.NOT_RUN)
