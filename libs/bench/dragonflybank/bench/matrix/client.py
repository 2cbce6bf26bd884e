"""Callers and operators of a cell; every answer is recorded."""

__all__ = ["Calls", "Job"]

import asyncio
import itertools
import json
import random
import time

import aiohttp
import attrs

from dragonflybank.bench.matrix.layout import (
    LOOKUP,
    TEAM,
)
from dragonflybank.bench.matrix.matrix_deployment import (
    World,
)
from dragonflybank.model.codes import Code
from dragonflybank.model.work import JobState, Outcome, is_final_state
from dragonflybank.standins.answers import CallerAnswer, Violation
from dragonflybank.standins.records import ChangeAnswered

ASK_LIMIT_S = 5.0
# An operator's change may last as long as an outage of the store.
QUERY_LIMIT_S = 60.0
WAIT_S = 2.0
PAUSE_S = 0.1
LOOKUP_RUN_S = 0.02
_UNDECIDED = (Code.STORE_UNAVAILABLE, Code.ANSWER_LOST, Code.WRITE_UNSETTLED)


@attrs.frozen
class Job:
    """A job of the cell.

    Attributes:
        key: The caller's key.
        work_class: Name of the work class.
        expect: Outcomes that the caller may be told in the end.
        run_s: Run time in seconds.
        tasks: Number of tasks.
        team: Team.
        resources: Declared resources, None for those of the class.
        load: Further fields of the stand-in's `Load`.
    """

    key: str
    work_class: str
    expect: frozenset[Outcome] = frozenset({Outcome.DONE})
    run_s: float = 1.0
    tasks: int = 1
    team: str = TEAM
    resources: dict | None = None
    load: dict = attrs.field(factory=dict)

    @property
    def path(self) -> str:
        """Path of the job."""
        return f"/v1/jobs/{self.team}/{self.key}"

    @property
    def payload(self) -> str:
        """Payload, different for each job."""
        fields = {"run_s": self.run_s, "answer": self.key, **self.load}
        return json.dumps(fields)

    @property
    def body(self) -> dict:
        """Body of the submission."""
        fields = {
            "work_class": self.work_class,
            "payload": self.payload,
            "tasks": self.tasks,
        }
        if self.resources is not None:
            fields["resources"] = self.resources
        return fields


class Calls:
    """Sends the requests of a cell.

    Attributes:
        answers: All answers of callers, in the order in which they came.
        jobs: The jobs that were submitted, by path.
        final: The last answer of each job, by path.
        accepted: Paths of the jobs that some answer said were accepted.
        wrong: What callers were told that cannot be true.
        refusals: The refusals of calls about jobs, to explain a violation.
    """

    def __init__(self, world: World, *, seed: int = 0):
        self.answers: list[CallerAnswer] = []
        self.jobs: dict[str, Job] = {}
        self.final: dict[str, dict] = {}
        self.accepted: set[str] = set()
        self.wrong: list[Violation] = []
        self.refusals: list[str] = []
        self._world = world
        self._rng = random.Random(seed)
        self._numbers = itertools.count()

    async def job(self, job: Job) -> dict:
        """Submits a job and asks until its answer is final."""
        self.jobs[job.path] = job
        await self.submit(job)
        return await self.wait(job)

    async def submit(self, job: Job) -> dict:
        """Submits a job until it is accepted or refused for good."""
        self.jobs[job.path] = job
        url = self._world.hosts[self._world.entry(job.team)].url
        while True:
            fields = await self._ask("PUT", url, job.path, job.body, job)
            outcome = fields.get("outcome")
            if outcome == Outcome.PENDING:
                self.accepted.add(job.path)
            if outcome in (Outcome.DONE, Outcome.PENDING) or _is_over(fields):
                self.final[job.path] = fields
                return fields
            url = self._any_url()
            await asyncio.sleep(PAUSE_S)

    async def wait(self, job: Job) -> dict:
        """Asks for a job until its answer is final."""
        fields = self.final[job.path]
        path = f"{job.path}?wait_s={WAIT_S:g}"
        while not _is_over(fields):
            fields = await self._ask("GET", self._any_url(), path, None, job)
            if fields.get("code") == Code.UNKNOWN_JOB:
                self._lost(job)
                break
            await asyncio.sleep(PAUSE_S)
        self.final[job.path] = fields
        return fields

    async def cancel(self, job: Job) -> dict:
        """Cancels a job through a host that is not its home, until told."""
        url = self._world.hosts[self._world.entry(job.team)].url
        while True:
            fields = await self._ask("DELETE", url, job.path, None, job)
            if fields.get("code") == Code.UNKNOWN_JOB:
                self._lost(job)
                return fields
            if fields.get("outcome") == Outcome.PENDING or _is_over(fields):
                return fields
            url = self._any_url()
            await asyncio.sleep(PAUSE_S)

    async def lookup(self, *, url: str = "") -> dict:
        """Sends a lookup, again to another host if no answer came."""
        number = next(self._numbers)
        load = {"run_s": LOOKUP_RUN_S, "answer": f"lookup-{number}"}
        payload = json.dumps(load)
        body = {"team": TEAM, "work_class": LOOKUP, "payload": payload}
        while True:
            fields = await self._ask(
                "POST",
                url or self._any_url(),
                "/v1/lookups",
                body,
                Job("", LOOKUP),
                payload=payload,
            )
            if fields:
                return fields
            await asyncio.sleep(PAUSE_S)

    async def query(self, text: str, operator: str, *, host: str) -> dict:
        """Sends an operator's command until it is decided.

        It is sent again if no answer came or the store was not available, as
        the operations page asks.
        """
        url = f"{self._world.hosts[host].url}/v1/query"
        body = {"text": text, "operator": operator}
        limit = aiohttp.ClientTimeout(total=QUERY_LIMIT_S)
        while True:
            try:
                async with self._world.http.post(
                    url, json=body, timeout=limit
                ) as resp:
                    reply = await resp.json()
                if reply["code"] not in _UNDECIDED:
                    self._note_change(text, reply)
                    return reply
                await asyncio.sleep(PAUSE_S)
            except (aiohttp.ClientError, TimeoutError, OSError):
                await asyncio.sleep(PAUSE_S)
                url = f"{self._any_url()}/v1/query"

    def _note_change(self, text: str, reply: dict) -> None:
        if text.startswith("apply") and reply["code"] == Code.OK:
            self._world.log.add(ChangeAnswered(time.time()))

    def unexpected(self) -> list[str]:
        """Returns the jobs whose final answer is not one of the expected."""
        return [
            f"{path}: {self.final.get(path)}"
            for path, job in self.jobs.items()
            if self.final.get(path, {}).get("outcome") not in job.expect
        ]

    def _lost(self, job: Job) -> None:
        found = Violation("I4", time.time(), job.path, "accepted work is lost")
        self.wrong.append(found)

    def _note(self, method: str, url: str, job: Job, fields: dict) -> None:
        if job.key and fields["outcome"] == Outcome.REFUSED:
            self.refusals.append(f"{method} {job.path} at {url}: {fields}")

    def _any_url(self) -> str:
        return self._rng.choice(self._world.urls())

    async def _ask(
        self, method, url, path, body, job: Job, *, payload: str = ""
    ) -> dict:
        asked_at = time.time()
        was_cut = False
        fields = {}
        limit = aiohttp.ClientTimeout(total=ASK_LIMIT_S)
        try:
            async with self._world.http.request(
                method, url + path, json=body, timeout=limit
            ) as resp:
                fields = await resp.json()
            self._note(method, url, job, fields)
        except aiohttp.ClientConnectorError:
            pass
        except TimeoutError:
            # The caller gave up; a paused process has cut nothing off.
            was_cut = url not in self._world.paused_urls
        except (aiohttp.ClientError, OSError):
            was_cut = True
        self.answers.append(
            CallerAnswer(
                job.team,
                job.key,
                job.work_class,
                payload or job.payload,
                asked_at,
                time.time(),
                Outcome(fields["outcome"]) if fields else None,
                fields.get("length", 0),
                fields.get("digest", ""),
                fields.get("result", ""),
                job.tasks,
                url,
                was_cut,
            )
        )
        return fields


def _is_over(fields: dict) -> bool:
    """Returns whether the answer to a request for a job is final."""
    outcome = fields.get("outcome")
    if outcome in (Outcome.DONE, Outcome.FAILED, Outcome.NOT_RUN):
        return True
    if outcome == Outcome.REFUSED:
        return not fields["retry_after_s"]
    state = fields.get("state", "")
    return (
        outcome == Outcome.UNKNOWN and state and is_final_state(JobState(state))
    )
