"""Patient work: which host keeps a job's shard, and calls to it."""

__all__ = ["JobsFront"]

import asyncio

import attrs
from returns.result import Failure, Result, Success

from dragonflybank.cluster import messages
from dragonflybank.host.shard_manager import ShardTable
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

# A submission waits for a group commit, which the store may delay.
SUBMIT_TIMEOUT_S = 4.0
# Added to the caller's wait for the way to the home and back.
WAIT_MARGIN_S = 1.0
# A waiting caller's call to the home is short, so that many waiting callers
# do not use up the contexts of a link, and a drain is noticed in time.
WAIT_SLICE_MIN_S = 0.1
WAIT_SLICE_MAX_S = 1.0
# Bounds the store reads that requests with an unknown team cause.
CONFIRM_INTERVAL_S = 1.0


class JobsFront:
    """Submits, asks about and cancels jobs through any host."""

    def __init__(self, host, shards: ShardTable):
        self._host = host
        self._shards = shards
        self._confirmed_at = 0.0

    async def submit(self, spec: JobSpec) -> Answer:
        """Accepts a job under the caller's key; the same key is one job."""
        if self._host.draining:
            return answer_for_problem(
                Problem(Code.DRAINING, "host is leaving", retry_after_s=0.1)
            )
        allowed = self._host.active_config.work_class(spec.work_class).bind(
            _no_lookup
        )
        if isinstance(allowed, Failure):
            return answer_for_problem(allowed.failure())
        record = await self._at_home(
            spec.team,
            spec.key,
            messages.SubmitJob(spec),
            timeout_s=SUBMIT_TIMEOUT_S,
        )
        return _submitted(record, spec)

    async def ask(self, team: str, key: str, *, wait_s: float) -> Answer:
        """Returns the state of a job, or its end within ``wait_s`` seconds."""
        deadline = self._host.clock() + wait_s
        pause_s = WAIT_SLICE_MIN_S
        while True:
            left_s = deadline - self._host.clock()
            slice_s = max(0.0, min(pause_s, left_s))
            record = await self._at_home(
                team,
                key,
                messages.QueryJob(team, key, slice_s),
                timeout_s=slice_s + WAIT_MARGIN_S,
            )
            answer = _answer_of(record, team, key)
            is_over = left_s <= slice_s or self._host.draining
            if is_over or not _is_worth_waiting(answer):
                return answer
            if isinstance(record, Failure):
                await asyncio.sleep(slice_s)
            pause_s = min(2 * pause_s, WAIT_SLICE_MAX_S)

    async def cancel(self, team: str, key: str) -> Answer:
        """Cancels a job; "not run" only if it certainly never started."""
        record = await self._at_home(
            team,
            key,
            messages.CancelJob(team, key),
            timeout_s=SUBMIT_TIMEOUT_S,
        )
        return _answer_of(record, team, key)

    async def finished(self, event: TaskEvent, session) -> bool:
        """Hands the end of a task on to its job's home.

        Args:
            event: The end of the task.
            session: The worker's session.

        Returns:
            True once it is journalled.
        """
        self._host.owner.ended(event)
        team, key, _, _ = event.task_id.split("/")
        if not self._shards.knows_team(team):
            return False
        home = self._shards.home_of(team, key)
        if home == self._host.name:
            return await self.finished_here(event)
        if home is None:
            return False
        reply = await self._host.links.call(
            home, messages.TaskFinished(event), timeout_s=SUBMIT_TIMEOUT_S
        )
        return reply.map(lambda found: found.journalled).value_or(False)

    async def finished_here(self, event: TaskEvent) -> bool:
        """Journals the end of a task whose job is kept here."""
        team, key, _, _ = event.task_id.split("/")
        home = self._shards.open_home(team, key)
        if home is None:
            return False
        record = home.record(team, key)
        kept = await home.on_task_ended(event, self._host.clock())
        if kept and record is not None:
            self._host.class_statistics.note_size(record.spec.work_class, event)
        return kept

    async def at_this_host(self, req) -> Result[JobRecord, Problem]:
        """Serves a call about a job whose shard should be kept here.

        Args:
            req: A `SubmitJob`, `QueryJob` or `CancelJob`.
        """
        named = req.spec if isinstance(req, messages.SubmitJob) else req
        home = self._shards.open_home(named.team, named.key)
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
        return await _ask_home(home, req)

    async def _unknown_team(self, team: str) -> Failure | None:
        """Returns why a team is not known, None if it is known by now.

        The configuration of a host that starts or was paused is older than
        that of the others, which may have accepted work of the team. Only the
        store's present configuration proves that the team does not exist.
        """
        now = self._host.clock()
        if now - self._confirmed_at > CONFIRM_INTERVAL_S:
            if not await self._host.spread.poll_store():
                return failure(
                    Code.ASK_AGAIN,
                    "the configuration cannot be confirmed at present",
                    retry_after_s=1.0,
                )
            self._confirmed_at = now
        if self._shards.knows_team(team):
            return None
        return failure(
            Code.BAD_REQUEST,
            f"found {team!r}",
            field="team",
            accepted="a team of the configuration",
        )

    async def _at_home(
        self, team: str, key: str, req, *, timeout_s: float
    ) -> Result[JobRecord, Problem]:
        if not self._shards.knows_team(team):
            unknown = await self._unknown_team(team)
            if unknown is not None:
                return unknown
        home = self._shards.home_of(team, key)
        if home == self._host.name:
            return await self.at_this_host(req)
        if home is None:
            return failure(
                Code.NOT_HOME, "no host keeps the shard", retry_after_s=1.0
            )
        reply = await self._host.links.call(home, req, timeout_s=timeout_s)
        return reply.map(lambda found: found.record)


async def _ask_home(
    home: ShardHome, req: messages.QueryJob
) -> Result[JobRecord, Problem]:
    found = home.record(req.team, req.key)
    if found is None and not home.is_open:
        return failure(Code.NOT_HOME, "the shard moved away", retry_after_s=0.5)
    if found is None:
        return await home.confirm_unknown(req.team, req.key)
    if not is_final_state(found.state) and req.wait_s > 0:
        ended = await home.wait_for_end(req.team, req.key, timeout_s=req.wait_s)
        found = ended or found
    if found.state is not JobState.DONE:
        return Success(found)
    texts = await home.read_results(req.team, req.key)
    # The results come in task order, with those of keys of their own.
    return texts.map(
        lambda parts: attrs.evolve(
            found, results={str(i): part for i, part in enumerate(parts)}
        )
    )


def _submitted(record: Result[JobRecord, Problem], spec: JobSpec) -> Answer:
    match record:
        case Failure(failed) if failed.code is Code.NOT_HOME:
            # The home refused before it wrote, so the work did not run; an
            # earlier submission of the same key may have.
            return answer_for_problem(
                Problem(
                    Code.ASK_AGAIN,
                    "the shard is changing hosts; submit the same key again",
                    retry_after_s=1.0,
                ),
                ask=_path(spec.team, spec.key),
            )
    return _answer_of(record, spec.team, spec.key)


def _answer_of(
    record: Result[JobRecord, Problem], team: str, key: str
) -> Answer:
    ask = _path(team, key)
    match record:
        case Success(JobRecord(state=JobState.DONE) as found):
            return Answer.from_result(_joined(found), state=found.state.value)
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


def _joined(record: JobRecord) -> str:
    """Returns the results of all tasks, one a line, in task order."""
    return "\n".join(record.results.values())


def _no_lookup(wc: WorkClass) -> Result[WorkClass, Problem]:
    if wc.kind is not WorkKind.LOOKUP:
        return Success(wc)
    return failure(
        Code.BAD_REQUEST,
        f"{wc.name} is a lookup class",
        field="work_class",
        accepted="a class of another kind; lookups go to /v1/lookups",
    )


def _is_worth_waiting(answer: Answer) -> bool:
    if answer.outcome is Outcome.PENDING:
        return True
    return answer.code in (
        Code.NOT_HOME,
        Code.UNREACHABLE,
        Code.TIMED_OUT,
        Code.ASK_AGAIN,
    )


def _path(team: str, key: str) -> str:
    return f"/v1/jobs/{team}/{key}"
