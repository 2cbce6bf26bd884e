"""Commands that read the structured logs of the hosts."""

__all__ = ["run_explain", "run_restarts"]

import itertools
import json
import math
import pathlib
from collections.abc import Callable, Sequence

import attrs
from returns.result import Failure, Result, Success

from dragonflybank.cli import commands
from dragonflybank.cli.answers import answer_as_text, exit_status
from dragonflybank.cli.attempt_history import attempt_histories
from dragonflybank.cli.attempt_report import format_attempts
from dragonflybank.cli.explain import (
    Event,
    format_history,
    read_events,
    related_events,
)
from dragonflybank.cli.restarts import (
    find_interruptions,
    report_by_executor,
    report_interruptions,
)
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.work import answer_for_problem
from dragonflybank.operators.render import report_to_json, report_to_text

# Exit status if the logs don't contain what was asked for.
_NOT_FOUND = 1


def run_explain(
    command: commands.Explain, as_json: bool, write: Callable[[str], object]
) -> int:
    """Prints the history of a request and of its attempts.

    Args:
        command: The command.
        as_json: Whether to print a refusal as JSON.
        write: Function that prints a text.

    Returns:
        The exit status.
    """
    match _read_logs(command.log):
        case Success(events):
            pass
        case Failure(failed):
            return _refuse(failed, as_json, write)
    found = related_events(events, command.job)
    if not found:
        write(f"no line of {', '.join(command.log)} names {command.job}")
        return _NOT_FOUND
    for line in format_history(found, command.job):
        write(line)
    tracker, attempts = attempt_histories(events, command.job)
    if attempts:
        write("attempts:")
    for line in format_attempts(tracker, attempts, found[0].at):
        write(line)
    return 0


def run_restarts(
    command: commands.Restarts, as_json: bool, write: Callable[[str], object]
) -> int:
    """Prints how long silences and restarts of executors delayed their tasks.

    Args:
        command: The command.
        as_json: Whether to print JSON.
        write: Function that prints a text.

    Returns:
        The exit status.
    """
    if command.origin is not None and not math.isfinite(command.origin):
        failed = Problem(
            Code.BAD_REQUEST,
            f"origin {command.origin}",
            "origin",
            "a number of seconds",
        )
        return _refuse(failed, as_json, write)
    match _read_logs(command.log):
        case Success(events):
            pass
        case Failure(failed):
            return _refuse(failed, as_json, write)
    if not events:
        write(f"no line of {', '.join(command.log)} is an event")
        return _NOT_FOUND
    origin = command.origin
    if origin is None:
        origin = min(event.at for event in events)
    make_report = report_interruptions if command.each else report_by_executor
    report = make_report(find_interruptions(events), origin)
    write(
        json.dumps(report_to_json(report))
        if as_json
        else report_to_text(report)
    )
    return 0


def _read_logs(paths: Sequence[str]) -> Result[list[Event], Problem]:
    try:
        texts = [
            pathlib.Path(path).read_text(encoding="utf-8", errors="replace")
            for path in paths
        ]
    except (OSError, ValueError) as exc:
        return failure(
            Code.BAD_REQUEST, str(exc), field="log", accepted="readable files"
        )
    lines = itertools.chain.from_iterable(text.splitlines() for text in texts)
    return Success(list(read_events(lines)))


def _refuse(
    failed: Problem, as_json: bool, write: Callable[[str], object]
) -> int:
    answer = answer_for_problem(failed)
    document = attrs.asdict(answer)
    write(json.dumps(document) if as_json else answer_as_text(answer))
    return exit_status(answer)
