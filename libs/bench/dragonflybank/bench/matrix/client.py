"""A client for callers and operators that records every answer."""

__all__ = ["Job", "RecordingClient"]

import asyncio
import itertools
import json
import random
import time

import aiohttp
import attrs

from dragonflybank.bench.matrix.layout import (
    HOME_TEAM,
    LOOKUP_CLASS,
)
from dragonflybank.bench.matrix.matrix_deployment import (
    MatrixDeployment,
)
from dragonflybank.model.codes import Code
from dragonflybank.model.work import JobState, Outcome, is_final_state
from dragonflybank.standins.answers import CallerAnswer, Violation
from dragonflybank.standins.records import ChangeAnswered

REQUEST_TIMEOUT_S = 5.0
# An operator's command may take as long as an outage of the store.
COMMAND_TIMEOUT_S = 60.0
LONG_POLL_S = 2.0
RETRY_DELAY_S = 0.1
LOOKUP_RUN_TIME_S = 0.02
_RETRIED_CODES = (
    Code.STORE_UNAVAILABLE,
    Code.ANSWER_LOST,
    Code.WRITE_UNSETTLED,
)


@attrs.frozen
class Job:
    """A job that the client submits.

    Attributes:
        key: The caller's key.
        work_class: Name of the work class.
        expected_outcomes: Outcomes that the final answer may have.
        run_s: Run time in seconds.
        tasks: Number of tasks.
        team: Team.
        resources: Declared resources, None for those of the class.
        extra_load: Further fields of the payload, which the simulated worker
            reads.
    """

    key: str
    work_class: str
    expected_outcomes: frozenset[Outcome] = frozenset({Outcome.DONE})
    run_s: float = 1.0
    tasks: int = 1
    team: str = HOME_TEAM
    resources: dict | None = None
    extra_load: dict = attrs.field(factory=dict)

    @property
    def path(self) -> str:
        """Path of the job."""
        return f"/v1/jobs/{self.team}/{self.key}"

    @property
    def payload(self) -> str:
        """Payload; unique, since it contains the key."""
        fields = {"run_s": self.run_s, "answer": self.key, **self.extra_load}
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


class RecordingClient:
    """Sends the requests of callers and operators to a deployment.

    Attributes:
        answers: All answers to callers, in the order of their arrival.
        jobs: Submitted jobs by path.
        last_replies: The last reply about each job, by path.
        accepted: Paths of the jobs that a reply has reported as accepted.
        violations: Replies that cannot be true.
        refusals: Refused calls about jobs, which help to explain a violation.
    """

    def __init__(self, deployment: MatrixDeployment, *, seed: int = 0):
        self.answers: list[CallerAnswer] = []
        self.jobs: dict[str, Job] = {}
        self.last_replies: dict[str, dict] = {}
        self.accepted: set[str] = set()
        self.violations: list[Violation] = []
        self.refusals: list[str] = []
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._lookup_numbers = itertools.count()

    async def submit_and_wait(self, job: Job) -> dict:
        """Submits a job and polls it until its answer is final."""
        self.jobs[job.path] = job
        await self.submit(job)
        return await self.wait_until_final(job)

    async def submit(self, job: Job) -> dict:
        """Submits a job, with retries, until its acceptance is decided."""
        self.jobs[job.path] = job
        url = self._deployment.hosts[
            self._deployment.non_home_host(job.team)
        ].url
        while True:
            fields = await self._send_request(
                "PUT", url, job.path, job.body, job
            )
            outcome = fields.get("outcome")
            if outcome == Outcome.PENDING:
                self.accepted.add(job.path)
            if outcome in (Outcome.DONE, Outcome.PENDING) or _is_final(fields):
                self.last_replies[job.path] = fields
                return fields
            url = self._draw_url()
            await asyncio.sleep(RETRY_DELAY_S)

    async def wait_until_final(self, job: Job) -> dict:
        """Polls a job until its answer is final."""
        fields = self.last_replies[job.path]
        path = f"{job.path}?wait_s={LONG_POLL_S:g}"
        while not _is_final(fields):
            fields = await self._send_request(
                "GET", self._draw_url(), path, None, job
            )
            if fields.get("code") == Code.UNKNOWN_JOB:
                self._record_lost_job(job)
                break
            await asyncio.sleep(RETRY_DELAY_S)
        self.last_replies[job.path] = fields
        return fields

    async def cancel(self, job: Job) -> dict:
        """Cancels a job through a host that is not its home, with retries."""
        url = self._deployment.hosts[
            self._deployment.non_home_host(job.team)
        ].url
        while True:
            fields = await self._send_request(
                "DELETE", url, job.path, None, job
            )
            if fields.get("code") == Code.UNKNOWN_JOB:
                self._record_lost_job(job)
                return fields
            if fields.get("outcome") == Outcome.PENDING or _is_final(fields):
                return fields
            url = self._draw_url()
            await asyncio.sleep(RETRY_DELAY_S)

    async def send_lookup(self, *, url: str = "") -> dict:
        """Sends a lookup; without an answer, sends it again to a random host.

        Args:
            url: Base URL of the host to use for all attempts, empty for a
                random host at each attempt.
        """
        number = next(self._lookup_numbers)
        load = {"run_s": LOOKUP_RUN_TIME_S, "answer": f"lookup-{number}"}
        payload = json.dumps(load)
        body = {
            "team": HOME_TEAM,
            "work_class": LOOKUP_CLASS,
            "payload": payload,
        }
        while True:
            fields = await self._send_request(
                "POST",
                url or self._draw_url(),
                "/v1/lookups",
                body,
                Job("", LOOKUP_CLASS),
                payload=payload,
            )
            if fields:
                return fields
            await asyncio.sleep(RETRY_DELAY_S)

    async def run_command(self, text: str, operator: str, *, host: str) -> dict:
        """Sends an operator's command until its outcome is known.

        It is sent again if no answer came or the answer leaves the outcome
        open, as operators are asked to do.
        """
        url = f"{self._deployment.hosts[host].url}/v1/query"
        body = {"text": text, "operator": operator}
        timeout = aiohttp.ClientTimeout(total=COMMAND_TIMEOUT_S)
        while True:
            try:
                async with self._deployment.http.post(
                    url, json=body, timeout=timeout
                ) as resp:
                    reply = await resp.json()
                if reply["code"] not in _RETRIED_CODES:
                    self._record_applied_change(text, reply)
                    return reply
                await asyncio.sleep(RETRY_DELAY_S)
            except (aiohttp.ClientError, TimeoutError, OSError):
                await asyncio.sleep(RETRY_DELAY_S)
                url = f"{self._draw_url()}/v1/query"

    def _record_applied_change(self, text: str, reply: dict) -> None:
        if text.startswith("apply") and reply["code"] == Code.OK:
            self._deployment.log.add(ChangeAnswered(time.time()))

    def unexpected_results(self) -> list[str]:
        """Describes the jobs whose last reply has an unexpected outcome."""
        return [
            f"{path}: {self.last_replies.get(path)}"
            for path, job in self.jobs.items()
            if self.last_replies.get(path, {}).get("outcome")
            not in job.expected_outcomes
        ]

    def _record_lost_job(self, job: Job) -> None:
        violation = Violation(
            "I4", time.time(), job.path, "accepted work is lost"
        )
        self.violations.append(violation)

    def _record_refusal(
        self, method: str, url: str, job: Job, fields: dict
    ) -> None:
        if job.key and fields["outcome"] == Outcome.REFUSED:
            self.refusals.append(f"{method} {job.path} at {url}: {fields}")

    def _draw_url(self) -> str:
        return self._rng.choice(self._deployment.live_urls())

    async def _send_request(
        self, method, url, path, body, job: Job, *, payload: str = ""
    ) -> dict:
        asked_at = time.time()
        was_cut = False
        fields = {}
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with self._deployment.http.request(
                method, url + path, json=body, timeout=timeout
            ) as resp:
                fields = await resp.json()
            self._record_refusal(method, url, job, fields)
        except aiohttp.ClientConnectorError:
            pass
        except TimeoutError:
            # The caller gave up. A paused process has not cut the request off.
            was_cut = url not in self._deployment.paused_urls
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


def _is_final(fields: dict) -> bool:
    """Returns whether a reply about a job is final."""
    outcome = fields.get("outcome")
    if outcome in (Outcome.DONE, Outcome.FAILED, Outcome.NOT_RUN):
        return True
    if outcome == Outcome.REFUSED:
        return not fields["retry_after_s"]
    state = fields.get("state", "")
    return (
        outcome == Outcome.UNKNOWN and state and is_final_state(JobState(state))
    )
