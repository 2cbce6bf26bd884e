"""Routes calls about jobs to the host that is the home of the job's shard."""

__all__ = ["JobFrontend"]

import asyncio

import attrs
from returns.result import Failure, Result, Success

from dragonflybank.cluster import messages
from dragonflybank.host.shard_manager import ShardManager
from dragonflybank.jobs.home import ShardHome
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.leases import TaskEvent
from dragonflybank.model.work import (
    Answer,
    JobRecord,
    JobSpec,
    JobState,
    Outcome,
    WorkClass,
    WorkKind,
    answer_for_problem,
    is_final_state,
)

# Time for a submission, which waits for a group commit that a slow store may
# delay.
SUBMIT_TIMEOUT_S = 4.0
# Added to the wait of a caller for the round trip to the home.
HOME_CALL_MARGIN_S = 1.0
# A caller's wait is split into short calls to the home, so that many waiting
# callers don't exhaust the contexts of a link and a drain is noticed in time.
MIN_WAIT_SLICE_S = 0.1
MAX_WAIT_SLICE_S = 1.0
# Limits the store reads that are caused by requests with an unknown team.
CONFIG_CONFIRM_INTERVAL_S = 1.0


class JobFrontend:
    """Submits, queries and cancels jobs, whichever host is their home."""

    def __init__(self, host, shards: ShardManager):
        self._host = host
        self._shards = shards
        self._config_confirmed_at = 0.0

    async def submit(self, spec: JobSpec) -> Answer:
        """Submits a job; a second submission of a key returns the same job."""
        if self._host.draining:
            return answer_for_problem(
                Problem(Code.DRAINING, "the host is leaving", retry_after_s=0.1)
            )
        allowed = self._host.active_config.work_class(spec.work_class).bind(
            _reject_lookup_class
        )
        if isinstance(allowed, Failure):
            return answer_for_problem(allowed.failure())
        record = await self._call_home(
            spec.team,
            spec.key,
            messages.SubmitJob(spec),
            timeout_s=SUBMIT_TIMEOUT_S,
        )
        return _answer_to_submit(record, spec)

    async def query(self, team: str, key: str, *, wait_s: float) -> Answer:
        """Returns the state of a job, after a wait for its end.

        Args:
            team: Team of the job.
            key: Key of the job.
            wait_s: Longest wait for the end of the job in seconds.
        """
        deadline = self._host.clock() + wait_s
        pause_s = MIN_WAIT_SLICE_S
        while True:
            left_s = deadline - self._host.clock()
            slice_s = max(0.0, min(pause_s, left_s))
            record = await self._call_home(
                team,
                key,
                messages.QueryJob(team, key, slice_s),
                timeout_s=slice_s + HOME_CALL_MARGIN_S,
            )
            answer = _answer_from_record(record, team, key)
            is_over = left_s <= slice_s or self._host.draining
            if is_over or not _may_change_soon(answer):
                return answer
            if isinstance(record, Failure):
                await asyncio.sleep(slice_s)
            pause_s = min(2 * pause_s, MAX_WAIT_SLICE_S)

    async def cancel(self, team: str, key: str) -> Answer:
        """Cancels a job.

        The outcome is "not run" only if the job has certainly never started.
        """
        record = await self._call_home(
            team,
            key,
            messages.CancelJob(team, key),
            timeout_s=SUBMIT_TIMEOUT_S,
        )
        return _answer_from_record(record, team, key)

    async def on_task_ended(self, event: TaskEvent, session) -> bool:
        """Reports the end of a task to the home of its job.

        Args:
            event: The end of the task.
            session: The worker's session.

        Returns:
            Whether the end is journalled; otherwise it is reported again.
        """
        self._host.owned_workers.on_task_ended(event)
        team, key, _, _ = event.task_id.split("/")
        if not self._shards.has_team(team):
            return False
        home = self._shards.home_host(team, key)
        if home == self._host.name:
            return await self.journal_task_end(event)
        if home is None:
            return False
        reply = await self._host.links.call(
            home, messages.TaskFinished(event), timeout_s=SUBMIT_TIMEOUT_S
        )
        return reply.map(lambda found: found.journalled).value_or(False)

    async def journal_task_end(self, event: TaskEvent) -> bool:
        """Journals the end of a task if this host is the home of its job."""
        team, key, _, _ = event.task_id.split("/")
        home = self._shards.find_open_home(team, key)
        if home is None:
            return False
        record = home.record(team, key)
        journalled = await home.on_task_ended(event, self._host.clock())
        if journalled and record is not None:
            self._host.class_statistics.record_size(
                record.spec.work_class, event
            )
        return journalled

    async def handle_request(self, req) -> Result[JobRecord, Problem]:
        """Handles a request about a job whose home should be this host.

        Args:
            req: A `SubmitJob`, `QueryJob` or `CancelJob`.
        """
        job = req.spec if isinstance(req, messages.SubmitJob) else req
        home = self._shards.find_open_home(job.team, job.key)
        if home is None:
            return failure(
                Code.NOT_HOME, "the shard is not open here", retry_after_s=0.5
            )
        now = self._host.clock()
        match req:
            case messages.SubmitJob(spec=spec):
                return await home.accept(spec, now)
            case messages.CancelJob(team=team, key=key):
                return await home.cancel(team, key, now)
        return await _query_home(home, req)

    async def _confirm_unknown_team(self, team: str) -> Failure | None:
        """Reads the store before a team is refused as unknown.

        A host that has just started or was paused may have an older
        configuration than other hosts, which may have accepted work of the
        team. Only the current configuration of the store proves that the team
        does not exist.

        Returns:
            Why the request is refused; None if the team is now known.
        """
        now = self._host.clock()
        if now - self._config_confirmed_at > CONFIG_CONFIRM_INTERVAL_S:
            if not await self._host.config_sync.poll_store():
                return failure(
                    Code.ASK_AGAIN,
                    "the configuration cannot be confirmed now",
                    retry_after_s=1.0,
                )
            self._config_confirmed_at = now
        if self._shards.has_team(team):
            return None
        return failure(
            Code.BAD_REQUEST,
            f"found {team!r}",
            field="team",
            accepted="a team of the configuration",
        )

    async def _call_home(
        self, team: str, key: str, req, *, timeout_s: float
    ) -> Result[JobRecord, Problem]:
        if not self._shards.has_team(team):
            refused = await self._confirm_unknown_team(team)
            if refused is not None:
                return refused
        home = self._shards.home_host(team, key)
        if home == self._host.name:
            return await self.handle_request(req)
        if home is None:
            return failure(
                Code.NOT_HOME,
                "no live host can be the home of the shard",
                retry_after_s=1.0,
            )
        reply = await self._host.links.call(home, req, timeout_s=timeout_s)
        return reply.map(lambda found: found.record)


async def _query_home(
    home: ShardHome, req: messages.QueryJob
) -> Result[JobRecord, Problem]:
    found = home.record(req.team, req.key)
    if found is None and not home.is_open:
        return failure(
            Code.NOT_HOME, "the shard moved to another host", retry_after_s=0.5
        )
    if found is None:
        return await home.confirm_unknown(req.team, req.key)
    if not is_final_state(found.state) and req.wait_s > 0:
        ended = await home.wait_for_end(req.team, req.key, timeout_s=req.wait_s)
        found = ended or found
    if found.state is not JobState.DONE:
        return Success(found)
    texts = await home.read_results(req.team, req.key)
    # The results are in task order and include those stored under separate
    # keys.
    return texts.map(
        lambda parts: attrs.evolve(
            found, results={str(i): part for i, part in enumerate(parts)}
        )
    )


def _answer_to_submit(
    record: Result[JobRecord, Problem], spec: JobSpec
) -> Answer:
    match record:
        case Failure(failed) if failed.code is Code.NOT_HOME:
            # The home refused before it wrote anything, so this submission did
            # not run. An earlier submission of the same key may have run.
            return answer_for_problem(
                Problem(
                    Code.ASK_AGAIN,
                    "the shard changes its host; submit the same key again",
                    retry_after_s=1.0,
                ),
                ask=_job_path(spec.team, spec.key),
            )
    return _answer_from_record(record, spec.team, spec.key)


def _answer_from_record(
    record: Result[JobRecord, Problem], team: str, key: str
) -> Answer:
    ask = _job_path(team, key)
    match record:
        case Success(JobRecord(state=JobState.DONE) as found):
            return Answer.from_result(
                _join_results(found), state=found.state.value
            )
        case Success(JobRecord(problem=Problem() as failed) as found) if (
            is_final_state(found.state)
        ):
            return answer_for_problem(failed, ask=ask, state=found.state.value)
        case Success(found):
            return Answer(
                Outcome.PENDING,
                state=found.state.value,
                detail=found.problem.detail if found.problem else "",
                retry_after_s=1.0,
                ask=ask,
            )
        case Failure(failed):
            return answer_for_problem(failed, ask=ask)


def _join_results(record: JobRecord) -> str:
    """Returns the results of all tasks, one per line, in task order."""
    return "\n".join(record.results.values())


def _reject_lookup_class(wc: WorkClass) -> Result[WorkClass, Problem]:
    if wc.kind is not WorkKind.LOOKUP:
        return Success(wc)
    return failure(
        Code.BAD_REQUEST,
        f"{wc.name} is a lookup class",
        field="work_class",
        accepted="a class of another kind; lookups go to /v1/lookups",
    )


def _may_change_soon(answer: Answer) -> bool:
    if answer.outcome is Outcome.PENDING:
        return True
    return answer.code in (
        Code.NOT_HOME,
        Code.UNREACHABLE,
        Code.TIMED_OUT,
        Code.ASK_AGAIN,
    )


def _job_path(team: str, key: str) -> str:
    return f"/v1/jobs/{team}/{key}"
