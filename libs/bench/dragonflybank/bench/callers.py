"""Callers of a deployment: requests, retries at other hosts, all answers."""

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

# A caller asks another host when one does not answer within this time.
ASK_LIMIT_S = 12.0
WAIT_S = 5.0
RETRY_PAUSE_S = 0.1


class Callers:
    """Sends requests and records every answer.

    Attributes:
        answers: All answers, in the order in which they came.

    Args:
        urls: Returns the base URLs of the hosts that the balancer serves.
        seed: Seed of the choice of hosts.
    """

    def __init__(self, urls: Callable[[], Sequence[str]], *, seed: int = 0):
        self.answers: list[CallerAnswer] = []
        self._urls = urls
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=ASK_LIMIT_S),
        )

    async def close(self) -> None:
        """Closes the connections."""
        await self._http.close()

    async def lookup(
        self,
        team: str,
        work_class: str,
        *,
        run_s: float,
        attempts: int = 3,
    ) -> CallerAnswer:
        """Sends a lookup, again to another host if no answer came."""
        payload = self._payload(run_s)
        body = {"team": team, "work_class": work_class, "payload": payload}
        for _ in range(attempts):
            answer = await self._ask(
                "POST", "/v1/lookups", body, (team, "", work_class, payload, 1)
            )
            if answer.outcome not in (None, Outcome.UNKNOWN):
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        return answer

    async def job(
        self,
        team: str,
        key: str,
        work_class: str,
        *,
        run_s: float,
        tasks: int = 1,
        limit_s: float = 60.0,
    ) -> CallerAnswer:
        """Submits a job and asks until it has a final answer."""
        payload = self._payload(run_s)
        path = f"/v1/jobs/{team}/{key}"
        subject = (team, key, work_class, payload, tasks)
        body = {"work_class": work_class, "payload": payload, "tasks": tasks}
        deadline = time.time() + limit_s
        is_known = False
        while True:
            if is_known:
                url = f"{path}?wait_s={WAIT_S:g}"
                answer = await self._ask("GET", url, None, subject)
            else:
                answer = await self._ask("PUT", path, body, subject)
            is_known = is_known or answer.outcome is Outcome.PENDING
            if _is_over(answer) or time.time() > deadline:
                return answer
            await asyncio.sleep(RETRY_PAUSE_S)

    async def cancel(self, team: str, key: str) -> dict:
        """Cancels a job and returns the answer's JSON object."""
        url = self._rng.choice(self._urls()) + f"/v1/jobs/{team}/{key}"
        async with self._http.delete(url) as resp:
            return await resp.json()

    async def query(self, text: str, *, operator: str = "demo") -> dict:
        """Sends an operator's command to a host."""
        url = self._rng.choice(self._urls()) + "/v1/query"
        body = {"text": text, "operator": operator}
        async with self._http.post(url, json=body) as resp:
            return await resp.json()

    async def _ask(self, method, path, body, subject) -> CallerAnswer:
        team, key, work_class, payload, tasks = subject
        url = self._rng.choice(self._urls())
        asked_at = time.time()
        was_cut = False
        fields = {}
        try:
            async with self._http.request(
                method, url + path, json=body
            ) as resp:
                fields = await resp.json()
        except aiohttp.ClientConnectorError:
            pass
        except (aiohttp.ClientError, TimeoutError, OSError):
            was_cut = True
        outcome = Outcome(fields["outcome"]) if fields else None
        answer = CallerAnswer(
            team,
            key,
            work_class,
            payload,
            asked_at,
            time.time(),
            outcome,
            fields.get("length", 0),
            fields.get("digest", ""),
            fields.get("result", ""),
            tasks,
            url,
            was_cut,
        )
        self.answers.append(answer)
        return answer

    def _payload(self, run_s: float) -> str:
        answer = f"answer-{next(self._numbers)}"
        return json.dumps({"run_s": run_s, "answer": answer})


def _is_over(answer: CallerAnswer) -> bool:
    return answer.outcome in (Outcome.DONE, Outcome.FAILED, Outcome.NOT_RUN)
