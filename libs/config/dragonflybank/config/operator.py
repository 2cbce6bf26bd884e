"""Configuration that operators change during a break.

It is the value of the store key ``config/active``: work classes, teams, limits,
break windows and the most recently applied changes.
"""

__all__ = [
    "ACTIVE_KEY",
    "WEEKDAYS",
    "BreakWindow",
    "Limits",
    "OperatorConfig",
    "Team",
    "check_operator_config",
    "decode_operator_config",
    "decode_operator_document",
    "encode_operator_config",
    "find_team",
    "find_work_class",
]

import json
import math
from collections.abc import Iterable, Mapping
from typing import Any

import attrs
from returns.result import Result

from dragonflybank.config.decode import (
    combine_problems,
    decode,
    parse_json,
    to_document,
)
from dragonflybank.config.edits import AppliedChange
from dragonflybank.config.validation import (
    FieldRule,
    ValidationFault,
    ValidationRules,
    at_least,
    between,
    duplicate_faults,
    matches_pattern,
    not_empty,
    subset_of,
)
from dragonflybank.model.codes import Code, Problem
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import WorkClass, WorkKind

ACTIVE_KEY = "config/active"
WEEKDAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
# A graceful shutdown waits 30 s for requests in progress and would abort a
# longer lookup.
MAX_LOOKUP_TIMEOUT_S = 30.0
_NAME = matches_pattern(
    r"[a-z][a-z0-9_-]{0,62}",
    "a name of at most 63 of a-z, 0-9, '_', '-' that starts with a letter",
)
_TIME = matches_pattern(r"([01][0-9]|2[0-3]):[0-5][0-9]", "a time HH:MM in UTC")


@attrs.frozen
class Team:
    """A team with its quotas.

    Attributes:
        name: Name of the team.
        region: Region that keeps its jobs; fixed while the team exists.
        shards: Number of shards of its jobs; fixed while the team exists.
        max_running: Largest number of running tasks of batch work.
        lookups_per_s: Largest rate of lookups in each region, per second.
        weight: Weight of the team's share of the capacity.
    """

    name: str
    region: str
    shards: int = 1
    max_running: int = 100
    lookups_per_s: float = 100.0
    weight: float = 1.0


@attrs.frozen
class Limits:
    """Limits that apply on each host.

    Attributes:
        lookup_queue: Largest number of waiting lookups on a host.
        team_queue: Largest number of waiting jobs of a team in a shard.
        quarantine_share: Largest share of a region's workers in quarantine.
        retry_budget: Largest number of retries as a share of the requests.
    """

    lookup_queue: int = 1000
    team_queue: int = 2000
    quarantine_share: float = 0.1
    retry_budget: float = 0.1


@attrs.frozen
class BreakWindow:
    """A daily window in which changes may be applied.

    Attributes:
        start: Start as ``HH:MM`` in UTC.
        end: End as ``HH:MM`` in UTC, not included; an end before the start is
            on the next day.
        days: Weekdays on which the window starts, such as ``mon``; every day if
            empty.
    """

    start: str
    end: str
    days: tuple[str, ...] = ()

    @property
    def name(self) -> str:
        """Name in the paths of edits, such as ``22:00-22:30``."""
        return f"{self.start}-{self.end}"


@attrs.frozen
class OperatorConfig:
    """The configuration of one generation.

    Attributes:
        generation: Version number, incremented by each applied change.
        classes: Work classes.
        teams: Teams.
        limits: Limits that apply on each host.
        breaks: Windows in which changes may be applied.
        history: The latest applied changes, oldest first.
    """

    generation: int
    classes: tuple[WorkClass, ...]
    teams: tuple[Team, ...]
    breaks: tuple[BreakWindow, ...]
    limits: Limits = Limits()
    history: tuple[AppliedChange, ...] = ()


def decode_operator_config(
    text: str | bytes,
) -> Result[OperatorConfig, Problem]:
    """Returns a configuration from JSON, or all faults as one problem."""
    if isinstance(text, bytes):
        text = text.decode(errors="replace")
    return parse_json(text, code=Code.BAD_CONFIGURATION).bind(
        decode_operator_document
    )


def decode_operator_document(document: Any) -> Result[OperatorConfig, Problem]:
    """Returns a configuration from parsed JSON, as `decode_operator_config`."""
    return _decode(document).alt(combine_problems)


def check_operator_config(document: Any) -> tuple[Problem, ...]:
    """Returns a problem for each fault of a parsed configuration."""
    return _decode(document).swap().value_or(())


def encode_operator_config(cfg: OperatorConfig) -> str:
    """Returns the JSON text of a configuration."""
    return json.dumps(to_document(cfg), indent=1)


def find_team(cfg: OperatorConfig, name: str) -> Team | None:
    """Returns the team with a name, None if there is none."""
    return next((team for team in cfg.teams if team.name == name), None)


def find_work_class(cfg: OperatorConfig, name: str) -> WorkClass | None:
    """Returns the work class with a name, None if there is none."""
    return next((each for each in cfg.classes if each.name == name), None)


def _decode(document: Any) -> Result[OperatorConfig, tuple[Problem, ...]]:
    return decode(document, OperatorConfig, _RULES, code=Code.BAD_CONFIGURATION)


def _check_class(found: Mapping[str, Any]) -> Iterable[ValidationFault]:
    timeout_s = found.get("timeout_s", 0.0)
    is_lookup = found.get("kind") is WorkKind.LOOKUP
    if is_lookup and timeout_s > MAX_LOOKUP_TIMEOUT_S:
        yield ValidationFault(
            "timeout_s",
            f"{timeout_s:g}",
            f"at most {MAX_LOOKUP_TIMEOUT_S:g} s for a lookup",
        )


def _check_break(found: Mapping[str, Any]) -> Iterable[ValidationFault]:
    start = found.get("start")
    if start is not None and start == found.get("end"):
        yield ValidationFault("end", start, "a time other than the start")


def _check_config(found: Mapping[str, Any]) -> Iterable[ValidationFault]:
    for field in ("classes", "teams", "breaks"):
        yield from duplicate_faults(
            field, (e.name for e in found.get(field, ()))
        )


_ABOVE_ZERO = FieldRule(
    "a number above 0", lambda value: value > 0 and math.isfinite(value)
)
_AMOUNT = at_least(0)
_SHARE = between(0, 1)
_RULES = ValidationRules(
    fields={
        Resources: {f.name: _AMOUNT for f in attrs.fields(Resources)},
        WorkClass: {
            "name": _NAME,
            "priority": between(-1000, 1000),
            "value": _AMOUNT,
            "expected_s": _ABOVE_ZERO,
            "timeout_s": _ABOVE_ZERO,
        },
        Team: {
            "name": _NAME,
            "region": _NAME,
            "shards": between(1, 4096),
            "max_running": _AMOUNT,
            "lookups_per_s": _AMOUNT,
            "weight": _ABOVE_ZERO,
        },
        Limits: {
            "lookup_queue": at_least(1),
            "team_queue": at_least(1),
            "quarantine_share": _SHARE,
            "retry_budget": _SHARE,
        },
        BreakWindow: {
            "start": _TIME,
            "end": _TIME,
            "days": subset_of(WEEKDAYS),
        },
        OperatorConfig: {
            "generation": at_least(1),
            "breaks": not_empty("break window"),
        },
    },
    checks={
        WorkClass: _check_class,
        BreakWindow: _check_break,
        OperatorConfig: _check_config,
    },
)
