"""Parsed commands of the operators' language.

The docstring of each command is an example of its text.
"""

__all__ = [
    "DEFAULT_LIMIT",
    "FIELD_TYPES",
    "MAX_LIMIT",
    "Apply",
    "Command",
    "Condition",
    "Diff",
    "ExplainJob",
    "ExplainLookup",
    "Help",
    "Listing",
    "Op",
    "ShowTable",
    "ShowWork",
    "Stage",
    "Table",
    "Withdraw",
    "WorkRow",
    "matches_conditions",
]

import enum
import operator
from collections.abc import Iterable

import attrs

from dragonflybank.config.changes import EditRequest

DEFAULT_LIMIT = 50
# Bounds the size of a reply and of the peer messages that collect its rows.
MAX_LIMIT = 1000


class Listing(enum.StrEnum):
    """Sets of work that can be listed."""

    RUNNING = "running"
    WAITING = "waiting"
    REFUSED = "refused"
    FINISHED = "finished"


class Table(enum.StrEnum):
    """Tables other than those of work."""

    WORKERS = "workers"
    HOSTS = "hosts"
    TEAMS = "teams"
    CLASSES = "classes"
    CONFIG = "config"
    STAGED = "staged"


class Op(enum.StrEnum):
    """Comparisons of a condition; ``~`` is "contains"."""

    EQ = "="
    NE = "!="
    LT = "<"
    LE = "<="
    GT = ">"
    GE = ">="
    CONTAINS = "~"


@attrs.frozen
class WorkRow:
    """One job or lookup in a listing.

    Attributes:
        team: Team.
        key: The caller's key, or the identifier of a lookup.
        work_class: Name of the work class.
        state: State in the journal, or ``running`` for a lookup.
        region: Region that stores the work.
        host: Scheduler host that manages the work.
        worker: Names of its workers, separated by commas.
        tasks: Number of tasks.
        attempt: Number of attempts started so far.
        age_s: Seconds since the work was accepted.
        code: Numeric result code, 0 while there is none.
        detail: Reason of a refusal or failure.
    """

    team: str
    key: str
    work_class: str = ""
    state: str = ""
    region: str = ""
    host: str = ""
    worker: str = ""
    tasks: int = 1
    attempt: int = 0
    age_s: float = 0.0
    code: int = 0
    detail: str = ""


FIELD_TYPES = {field.name: field.type for field in attrs.fields(WorkRow)}


@attrs.frozen
class Condition:
    """A comparison of one field of a row with a value.

    Attributes:
        field: Name of a field of `WorkRow`.
        op: Comparison.
        value: Text or number to compare with.
    """

    field: str
    op: Op
    value: str | int | float


@attrs.frozen
class ShowWork:
    """``show running where team = courts limit 10``."""

    which: Listing
    conditions: tuple[Condition, ...] = ()
    limit: int = DEFAULT_LIMIT


@attrs.frozen
class ShowTable:
    """``show workers``."""

    table: Table


@attrs.frozen
class ExplainJob:
    """``explain job courts/k1``."""

    team: str
    key: str


@attrs.frozen
class ExplainLookup:
    """``explain lookup L1``."""

    request_id: str


@attrs.frozen
class Stage:
    """``stage night: set limits.team_queue = 500``."""

    name: str
    edits: tuple[EditRequest, ...]


@attrs.frozen
class Diff:
    """``diff night``."""

    name: str


@attrs.frozen
class Apply:
    """``apply night``."""

    name: str


@attrs.frozen
class Withdraw:
    """``withdraw night``."""

    name: str


@attrs.frozen
class Help:
    """``help``."""


Command = (
    ShowWork
    | ShowTable
    | ExplainJob
    | ExplainLookup
    | Stage
    | Diff
    | Apply
    | Withdraw
    | Help
)


def matches_conditions(row: WorkRow, conditions: Iterable[Condition]) -> bool:
    """Returns whether a row meets all conditions.

    Example:
        >>> row = WorkRow("courts", "k1", age_s=7.5)
        >>> matches_conditions(row, [Condition("age_s", Op.GT, 5)])
        True
    """
    return all(
        _COMPARISONS[each.op](getattr(row, each.field), each.value)
        for each in conditions
    )


_COMPARISONS = {
    Op.EQ: operator.eq,
    Op.NE: operator.ne,
    Op.LT: operator.lt,
    Op.LE: operator.le,
    Op.GT: operator.gt,
    Op.GE: operator.ge,
    Op.CONTAINS: operator.contains,
}
