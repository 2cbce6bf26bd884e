"""Execution of operator commands on a view of the deployment."""

__all__ = ["execute", "execute_command"]

import json
from datetime import UTC, datetime

import attrs
from returns.result import Failure, Result, Success

from dragonflybank.config.breaks import is_break_open, next_break_start
from dragonflybank.config.decode import to_document
from dragonflybank.config.edits import AppliedChange, Difference
from dragonflybank.config.operator import OperatorConfig
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.decisions import Decision
from dragonflybank.operators import commands
from dragonflybank.operators.commands import Command, Table, WorkRow
from dragonflybank.operators.grammar import HELP, parse
from dragonflybank.operators.render import Report, report_from_rows
from dragonflybank.operators.view import HostRow, OperatorView, WorkerRow

_NEEDS_OPERATOR = (commands.Stage, commands.Apply, commands.Withdraw)
MAX_OPERATOR_LENGTH = 64


async def execute(
    view: OperatorView, text: str, *, operator: str, now: float
) -> Result[Report, Problem]:
    """Parses and executes a command and returns its report.

    Args:
        view: The deployment as a scheduler host sees it.
        text: One command of the operators' language.
        operator: Name of the operator, recorded with changes.
        now: Seconds since 1970.
    """
    match parse(text):
        case Success(command):
            return await execute_command(
                view, command, operator=operator, now=now
            )
        case Failure(failed):
            return Failure(failed)


async def execute_command(
    view: OperatorView, command: Command, *, operator: str, now: float
) -> Result[Report, Problem]:
    """Executes a parsed command and returns its report; see `execute`."""
    if isinstance(command, _NEEDS_OPERATOR) and not _is_valid_operator_name(
        operator
    ):
        return failure(
            Code.BAD_REQUEST,
            "a change needs the name of its operator",
            field="operator",
            accepted=f"1 to {MAX_OPERATOR_LENGTH} printable characters",
        )
    match command:
        case commands.ShowWork():
            return await _show_work(view, command, now)
        case commands.ShowTable(table=table):
            return await _TABLES[table](view, now)
        case commands.ExplainJob(team=team, key=key):
            return await _explain_job(view, team, key, now)
        case commands.ExplainLookup(request_id=request_id):
            decisions = await view.list_decisions(request_id)
            return decisions.map(lambda found: _decisions_report(found, ""))
        case commands.Stage(name=name, edits=edits):
            staged = await view.editor.stage(name, operator, edits, now=now)
            return staged.map(
                lambda change: Report(
                    text=f"staged {change.name} with {len(change.edits)} edits"
                    f" on generation {change.based_on}"
                )
            )
        case commands.Diff(name=name):
            lines = await view.editor.diff(name)
            return lines.map(lambda found: report_from_rows(found, Difference))
        case commands.Apply(name=name):
            applied = await view.editor.apply(name, operator, now=now)
            return applied.map(_applied_report)
        case commands.Withdraw(name=name):
            withdrawn = await view.editor.withdraw(name)
            return withdrawn.map(
                lambda change: Report(
                    text=f"withdrew {change.name} of {change.author}"
                )
            )
    return Success(Report(text=HELP))


async def _show_work(view, command, now) -> Result[Report, Problem]:
    page = await view.list_work(
        command.which, command.conditions, limit=command.limit, now=now
    )
    return page.map(lambda found: _work_report(found, command))


def _work_report(page, command) -> Report:
    matching = [
        row
        for row in page.rows
        if commands.matches_conditions(row, command.conditions)
    ]
    # The page may contain rows of a host that ignored the limit.
    rows = matching[: command.limit]
    more = page.more + len(matching) - len(rows)
    notes = [f"{more} more; raise the limit"] if more else []
    if page.silent_hosts:
        names = ", ".join(page.silent_hosts)
        notes.append(f"incomplete: no answer from {names}")
    return report_from_rows(rows, WorkRow, notes=notes)


async def _explain_job(view, team, key, now) -> Result[Report, Problem]:
    job = await view.find_job(team, key, now=now)
    decisions = await view.list_decisions(f"{team}/{key}")
    found = decisions.value_or(())
    match job:
        case Success(row):
            text = (
                f"{team}/{key} is {row.state}, class {row.work_class},"
                f" attempt {row.attempt}, kept by {row.host}"
            )
            if row.detail:
                text += f": {row.detail} (code {row.code})"
        case Failure(Problem(code=Code.UNKNOWN_JOB)) if found:
            # A refused job has decisions but no job record.
            text = f"{team}/{key} was not accepted"
        case Failure(failed):
            return Failure(failed)
    if isinstance(decisions, Failure):
        notes = (f"no decisions: {decisions.failure().detail}",)
        return Success(Report(text=text, notes=notes))
    return Success(_decisions_report(found, text))


def _decisions_report(found: tuple[Decision, ...], text: str) -> Report:
    columns = ("at", "kind", "chosen", "reason", "code", "passed_over")
    rows = tuple(
        (
            _format_time(each.at),
            each.kind,
            each.chosen,
            each.reason,
            each.code,
            "; ".join(f"{name}: {why}" for name, why in each.passed_over),
        )
        for each in found
    )
    notes = () if rows else ("no decision is kept in memory any more",)
    return Report(columns, rows, text, notes)


async def _show_workers(view, now) -> Result[Report, Problem]:
    found = await view.list_workers(now)
    return found.map(lambda rows: report_from_rows(rows, WorkerRow))


async def _show_hosts(view, now) -> Result[Report, Problem]:
    found = await view.list_hosts(now)
    return found.map(lambda rows: report_from_rows(rows, HostRow))


async def _show_teams(view, now) -> Result[Report, Problem]:
    usage = (await view.team_usage()).value_or(())
    return (await view.active_config()).map(
        lambda cfg: _config_with_usage_report(
            cfg.teams, {u.team: u for u in usage}
        )
    )


async def _show_classes(view, now) -> Result[Report, Problem]:
    usage = (await view.class_usage()).value_or(())
    return (await view.active_config()).map(
        lambda cfg: _config_with_usage_report(
            cfg.classes, {u.work_class: u for u in usage}
        )
    )


def _config_with_usage_report(rows, usage) -> Report:
    """Returns a table of configuration rows with their current usage."""
    joined = [
        {
            **attrs.asdict(row, recurse=False),
            **(attrs.asdict(usage[row.name]) if row.name in usage else {}),
        }
        for row in rows
    ]
    hidden = {"team", "work_class"}
    columns = tuple(
        dict.fromkeys(
            name for row in joined for name in row if name not in hidden
        )
    )
    cells = tuple(
        tuple(_format_resources(row.get(name, "")) for name in columns)
        for row in joined
    )
    return Report(columns, cells)


async def _show_config(view, now) -> Result[Report, Problem]:
    return (await view.active_config()).map(
        lambda cfg: _config_report(cfg, now)
    )


def _config_report(cfg: OperatorConfig, now: float) -> Report:
    document = to_document(attrs.evolve(cfg, history=()))
    del document["history"]
    history = tuple(
        (
            d.generation,
            d.name,
            d.author,
            d.applied_by,
            _format_time(d.applied_at),
        )
        for d in cfg.history
    )
    columns = ("generation", "name", "author", "applied_by", "applied_at")
    return Report(
        columns,
        history,
        json.dumps(document, indent=1),
        (_break_note(cfg, now),),
    )


def _break_note(cfg: OperatorConfig, now: float) -> str:
    if is_break_open(cfg, now):
        return "the break is open"
    opens_at = next_break_start(cfg, now)
    if opens_at is None:
        return "there is no break window"
    return f"the next break opens at {_format_time(opens_at)}"


async def _show_staged(view, now) -> Result[Report, Problem]:
    columns = ("name", "author", "based_on", "staged_at", "paths")
    return (await view.editor.list_staged()).map(
        lambda staged: Report(
            columns,
            tuple(
                (
                    change.name,
                    change.author,
                    change.based_on,
                    _format_time(change.staged_at),
                    ", ".join(edit.path for edit in change.edits),
                )
                for change in staged
            ),
        )
    )


def _applied_report(applied: AppliedChange) -> Report:
    return Report(
        text=f"{applied.name} is in force as generation {applied.generation},"
        f" applied by {applied.applied_by}"
        f" at {_format_time(applied.applied_at)}"
    )


def _format_time(at: float) -> str:
    return datetime.fromtimestamp(at, UTC).isoformat(timespec="seconds")


def _format_resources(value):
    if not attrs.has(type(value)):
        return value
    amounts = attrs.asdict(value).items()
    return " ".join(f"{name}={amount:g}" for name, amount in amounts if amount)


def _is_valid_operator_name(operator: str) -> bool:
    return operator.isprintable() and 0 < len(operator) <= MAX_OPERATOR_LENGTH


_TABLES = {
    Table.WORKERS: _show_workers,
    Table.HOSTS: _show_hosts,
    Table.TEAMS: _show_teams,
    Table.CLASSES: _show_classes,
    Table.CONFIG: _show_config,
    Table.STAGED: _show_staged,
}
