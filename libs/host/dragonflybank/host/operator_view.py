"""Tables of the deployment for operators, gathered by a scheduler host."""

__all__ = ["HostView"]

import asyncio
import itertools

import attrs
from returns.result import Failure, Result, Success

from dragonflybank.cluster import messages
from dragonflybank.config.editor import ConfigEditor
from dragonflybank.config.operator import OperatorConfig
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.decisions import Decision
from dragonflybank.model.topology import VmState
from dragonflybank.model.work import JobRecord, JobState, is_final_state
from dragonflybank.operators.commands import (
    Listing,
    WorkRow,
    matches_conditions,
)
from dragonflybank.operators.view import (
    ClassUsage,
    HostRow,
    OperatorView,
    TeamUsage,
    WorkerRow,
    WorkPage,
)

GATHER_TIMEOUT_S = 2.0
MAX_ROWS_PER_HOST = 1000
_RUNNING = (JobState.STARTING, JobState.RUNNING)
_REFUSAL_KIND = "refuse"


class HostView(OperatorView):
    """Gathers table rows from all hosts that are not dead."""

    def __init__(self, host, editor: ConfigEditor):
        self._host = host
        self._editor = editor

    @property
    def editor(self) -> ConfigEditor:
        """See `OperatorView.editor`."""
        return self._editor

    async def list_work(
        self, which, conditions, *, limit, now
    ) -> Result[WorkPage, Problem]:
        """See `OperatorView.list_work`."""
        rows, unresponsive = await self._gather_rows(
            f"work/{which.value}", WorkRow
        )
        found = [row for row in rows if matches_conditions(row, conditions)]
        return Success(
            WorkPage(
                tuple(found[:limit]),
                max(0, len(found) - limit),
                tuple(unresponsive),
            )
        )

    async def find_job(self, team, key, *, now) -> Result[WorkRow, Problem]:
        """See `OperatorView.find_job`."""
        if self._host.active_config.team(team) is None:
            return failure(Code.UNKNOWN_JOB, f"no team {team}", field="team")
        home = self._host.shards.home_host(team, key)
        req = messages.QueryJob(team, key)
        if home == self._host.name:
            record = await self._host.jobs.handle_request(req)
        elif home is None:
            return failure(Code.NOT_HOME, "no host keeps the shard")
        else:
            reply = await self._host.links.call(
                home, req, timeout_s=GATHER_TIMEOUT_S
            )
            record = reply.map(lambda found: found.record)
        shard = self._host.shards.shard_name(team, key)
        return record.map(lambda found: _work_row(found, shard, home, now))

    async def list_decisions(
        self, subject: str
    ) -> Result[tuple[Decision, ...], Problem]:
        """See `OperatorView.list_decisions`."""
        rows, _ = await self._gather_rows(f"decisions/{subject}", _DecisionRow)
        ordered = sorted(rows, key=lambda row: row.at)
        return Success(tuple(_decode_decision(row) for row in ordered))

    async def list_workers(self, now) -> Result[tuple[WorkerRow, ...], Problem]:
        """See `OperatorView.list_workers`."""
        rows, _ = await self._gather_rows("workers", WorkerRow)
        owned = {row.name: row for row in rows}
        others = (
            WorkerRow(vm.name, vm.region, vm.rack, state=vm.state.value)
            for vm in self._host.fleet.workers
            if vm.name not in owned
        )
        every = itertools.chain(owned.values(), others)
        return Success(tuple(sorted(every, key=lambda row: row.name)))

    async def list_hosts(self, now) -> Result[tuple[HostRow, ...], Problem]:
        """See `OperatorView.list_hosts`."""
        membership = self._host.membership
        entries = (membership.own_entry, *membership.peer_entries(now))
        return Success(tuple(_host_row(entry) for entry in entries))

    async def active_config(self) -> Result[OperatorConfig, Problem]:
        """See `OperatorView.active_config`."""
        return Success(self._host.active_config.config)

    async def team_usage(self) -> Result[tuple[TeamUsage, ...], Problem]:
        """See `OperatorView.team_usage`."""
        running, _ = await self._gather_rows("work/running", WorkRow)
        waiting, _ = await self._gather_rows("work/waiting", WorkRow)
        return Success(
            tuple(
                TeamUsage(
                    team.name,
                    sum(r.tasks for r in running if r.team == team.name),
                    sum(1 for r in waiting if r.team == team.name),
                )
                for team in self._host.active_config.teams
            )
        )

    async def class_usage(self) -> Result[tuple[ClassUsage, ...], Problem]:
        """See `OperatorView.class_usage`."""
        return Success(
            tuple(
                ClassUsage(
                    wc.name,
                    self._host.class_statistics.run_times.median_run_s(wc),
                )
                for wc in self._host.active_config.classes
            )
        )

    def local_rows(self, table: str, limit: int) -> messages.WorkRows:
        """Returns this host's rows of a table.

        Args:
            table: ``work/<listing>``, ``decisions/<subject>`` or ``workers``.
            limit: Maximum number of rows.
        """
        kind, _, detail = table.partition("/")
        now = self._host.clock()
        match kind:
            case "work":
                rows, cls = self._local_work_rows(Listing(detail), now), WorkRow
            case "decisions":
                found = self._host.decisions.for_subject(detail)
                rows, cls = [_encode_decision(d) for d in found], _DecisionRow
            case _:
                rows, cls = self._local_worker_rows(), WorkerRow
        columns = tuple(field.name for field in attrs.fields(cls))
        return messages.WorkRows(
            columns, tuple(attrs.astuple(row) for row in rows[:limit])
        )

    def _local_work_rows(self, which: Listing, now: float) -> list[WorkRow]:
        if which is Listing.REFUSED:
            return [
                _refused_row(d, self._host.name)
                for d in self._host.decisions.of_kind(_REFUSAL_KIND)
            ]
        return [
            _work_row(record, shard, self._host.name, now)
            for shard, home in self._host.shards.open_homes()
            for record in home.records()
            if _is_listed(record, which)
        ]

    def _local_worker_rows(self) -> list[WorkerRow]:
        quarantined = self._host.worker_health.quarantined
        return [
            WorkerRow(
                s.name,
                s.info.region,
                s.info.rack,
                self._host.name,
                s.epoch,
                _worker_state(s, quarantined),
                len(s.tasks),
                s.free_for_tasks.cores,
                s.free_for_tasks.memory_mb,
                s.free_for_lookups.slots,
            )
            for s in self._host.ownership.owned_sessions()
        ]

    async def _gather_rows(
        self, table: str, cls: type
    ) -> tuple[list, list[str]]:
        """Returns the rows of all hosts and the hosts that did not reply."""
        names = [
            e.host
            for e in self._host.membership.peer_entries(self._host.clock())
        ]
        replies = await asyncio.gather(
            *(
                self._host.links.call(
                    name,
                    messages.ListWork(table, MAX_ROWS_PER_HOST),
                    timeout_s=GATHER_TIMEOUT_S,
                )
                for name in names
            )
        )
        unresponsive = [
            name
            for name, reply in zip(names, replies, strict=True)
            if isinstance(reply, Failure)
        ]
        pages = [self.local_rows(table, MAX_ROWS_PER_HOST)]
        pages += [r.unwrap() for r in replies if isinstance(r, Success)]
        rows = [cls(*row) for page in pages for row in page.rows]
        return rows, unresponsive


@attrs.frozen
class _DecisionRow:
    """A decision as a row of numbers and strings."""

    at: float
    kind: str
    subject: str
    chosen: str
    reason: str
    passed_over: str
    code: int


def _encode_decision(decision: Decision) -> _DecisionRow:
    passed = "; ".join(f"{n}: {why}" for n, why in decision.passed_over)
    return _DecisionRow(
        decision.at,
        decision.kind,
        decision.subject,
        decision.chosen,
        decision.reason,
        passed,
        decision.code,
    )


def _decode_decision(row: _DecisionRow) -> Decision:
    parts = (p.partition(": ") for p in row.passed_over.split("; ") if p)
    passed = tuple((name, why) for name, _, why in parts)
    return Decision(
        row.at,
        row.kind,
        row.subject,
        row.chosen,
        row.reason,
        passed,
        row.code,
    )


def _work_row(record: JobRecord, shard: str, host: str, now: float) -> WorkRow:
    failed = record.problem
    return WorkRow(
        record.spec.team,
        record.spec.key,
        record.spec.work_class,
        record.state.value,
        shard.rsplit("/", 1)[0],
        host,
        ",".join(start.worker for start in record.starts),
        record.spec.tasks,
        record.attempt,
        round(max(0.0, now - record.accepted_at), 3),
        int(failed.code) if failed else 0,
        failed.detail if failed else "",
    )


def _refused_row(decision: Decision, host: str) -> WorkRow:
    team, _, rest = decision.subject.partition("/")
    return WorkRow(
        team,
        rest or decision.subject,
        state="refused",
        host=host,
        code=decision.code,
        detail=decision.reason,
    )


def _is_listed(record: JobRecord, which: Listing) -> bool:
    match which:
        case Listing.RUNNING:
            return record.state in _RUNNING
        case Listing.WAITING:
            return record.state is JobState.QUEUED
    return is_final_state(record.state)


def _worker_state(session, quarantined) -> str:
    if session.name in quarantined:
        return "quarantined"
    leaving = VmState.LEAVING if session.is_leaving else VmState.LIVE
    return leaving.value


def _host_row(entry) -> HostRow:
    summary = entry.summary
    return HostRow(
        entry.host,
        entry.region,
        "live" if entry.status.name == "LIVE" else "leaving",
        0.0,
        entry.generation,
        summary.free_lookup_slots if summary else 0,
        summary.queue_s if summary else 0.0,
    )
