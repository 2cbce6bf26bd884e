"""Grammar of the operators' query and command language.

Each text holds one command. An error reports the line and column, the text
found there and what would be accepted.
"""

__all__ = ["HELP", "MAX_TEXT_LENGTH", "parse"]

import json
import math

import lark
from lark.exceptions import (
    UnexpectedCharacters,
    UnexpectedInput,
    VisitError,
)
from returns.result import Result, Success

from dragonflybank.config.changes import EditAction, EditRequest
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.operators.commands import (
    DEFAULT_LIMIT,
    FIELD_TYPES,
    MAX_LIMIT,
    Apply,
    Command,
    Condition,
    Diff,
    ExplainJob,
    ExplainLookup,
    Help,
    Listing,
    Op,
    ShowTable,
    ShowWork,
    Stage,
    Table,
    Withdraw,
)

# Enough for a change with several hundred edits.
MAX_TEXT_LENGTH = 16_384

HELP = """\
show running|waiting|refused|finished [where FIELD OP VALUE [and ...]]
     [limit N]
show workers|hosts|teams|classes|config|staged
explain job TEAM/KEY
explain lookup ID
stage NAME: EDIT [, EDIT ...]
  EDIT: set PATH = VALUE
        add class NAME (FIELD = VALUE, ...)
        add team NAME (region = REGION, FIELD = VALUE, ...)
        add break HH:MM-HH:MM [(days = [mon, tue])]
        remove class|team NAME, remove break HH:MM-HH:MM
  PATH: class.NAME.FIELD, class.NAME.size.FIELD, team.NAME.FIELD,
        limits.FIELD, break.HH:MM-HH:MM.days
diff NAME
apply NAME
withdraw NAME
help
OP is one of = != < <= > >= ~ (contains). FIELD after "where" is one of
""" + ", ".join(FIELD_TYPES)

_TERMINAL_DESCRIPTIONS = {
    "LISTING": " ".join(Listing),
    "TABLE": " ".join(Table),
    "ROW": "class team",
    "FIELD": f"a field ({', '.join(FIELD_TYPES)})",
    "OP": " ".join(Op),
    "PATH": "a path such as class.NAME.FIELD",
    "FIELD_PATH": "a field",
    "WINDOW": "a window such as 22:00-22:30",
    "TEAM_KEY": "TEAM/KEY",
    "ID": "the identifier of a lookup",
    "COUNT": "a number",
    "NUMBER": "a number",
    "BOOLEAN": "true false",
    "STRING": "text in double quotes",
    "WORD": "a word",
    "NAME": "a name of a-z, 0-9, '_', '-'",
    "$END": "the end of the command",
}


def parse(text: str) -> Result[Command, Problem]:
    """Parses the text of a command.

    Args:
        text: One command.

    Returns:
        The command, or a ``BAD_COMMAND`` problem whose field is
        ``LINE:COLUMN``.

    Example:
        >>> parse("show runing").failure().field
        '1:6'
    """
    if len(text) > MAX_TEXT_LENGTH:
        return failure(
            Code.BAD_COMMAND,
            f"the command has {len(text)} characters",
            accepted=f"at most {MAX_TEXT_LENGTH} characters",
        )
    try:
        return Success(_CommandBuilder().transform(_PARSER.parse(text)))
    except UnexpectedInput as exc:
        return _unexpected_input_failure(text, exc)
    except VisitError as exc:
        if not isinstance(exc.orig_exc, _BadValueError):
            raise
        bad = exc.orig_exc
        return _syntax_failure(
            bad.token.line, bad.token.column, bad.token, bad.accepted
        )


class _BadValueError(Exception):
    """Raised for a token that matches its terminal but has an invalid value."""

    def __init__(self, token: lark.Token, accepted: str):
        super().__init__(token, accepted)
        self.token = token
        self.accepted = accepted


@lark.v_args(inline=True)
class _CommandBuilder(lark.Transformer):
    """Builds commands; each method is named after a rule of the grammar."""

    def show_work(self, which, *parts):
        conditions = next((p for p in parts if isinstance(p, tuple)), ())
        limits = [p for p in parts if isinstance(p, int)] or [DEFAULT_LIMIT]
        return ShowWork(Listing(which), conditions, limits[0])

    def show_table(self, table):
        return ShowTable(Table(table))

    def explain_job(self, team_key):
        team, _, key = team_key.partition("/")
        return ExplainJob(team, key)

    def explain_lookup(self, request_id):
        return ExplainLookup(str(request_id))

    def stage(self, name, *edits):
        return Stage(str(name), edits)

    def diff(self, name):
        return Diff(str(name))

    def apply(self, name):
        return Apply(str(name))

    def withdraw(self, name):
        return Withdraw(str(name))

    def help(self):
        return Help()

    def where(self, *conditions):
        return conditions

    def condition(self, field, op, scalar):
        token, value = scalar
        if field not in FIELD_TYPES:
            raise _BadValueError(field, _TERMINAL_DESCRIPTIONS["FIELD"])
        kind = FIELD_TYPES[field]
        if kind is str:
            value = value if isinstance(value, str) else str(token)
            return Condition(str(field), Op(op), value)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise _BadValueError(token, f"a number, because {field} is one")
        if op == Op.CONTAINS:
            raise _BadValueError(op, f"= != < <= > >= for the number {field}")
        return Condition(str(field), Op(op), value)

    def limit(self, count):
        if not 1 <= int(count[:9]) <= MAX_LIMIT or len(count) > 9:
            raise _BadValueError(count, f"a number from 1 to {MAX_LIMIT}")
        return int(count)

    def set_path(self, path, value):
        return EditRequest(EditAction.SET, str(path), _scalar_value(value))

    def add(self, row, name, fields=None):
        return EditRequest(EditAction.ADD, f"{row}.{name}", fields or {})

    def add_break(self, window, fields=None):
        return EditRequest(EditAction.ADD, f"break.{window}", fields or {})

    def remove(self, row, name):
        return EditRequest(EditAction.REMOVE, f"{row}.{name}")

    def remove_break(self, window):
        return EditRequest(EditAction.REMOVE, f"break.{window}")

    def fields(self, *pairs):
        fields_by_name = {}
        for name, value in pairs:
            parent, _, leaf = str(name).rpartition(".")
            target = (
                fields_by_name.setdefault(parent, {})
                if parent
                else fields_by_name
            )
            if not isinstance(target, dict) or leaf in target:
                raise _BadValueError(name, "each field once")
            target[leaf] = value
        return fields_by_name

    def field(self, name, value):
        return name, _scalar_value(value)

    def list(self, *scalars):
        return [value for _, value in filter(None, scalars)]

    def scalar(self, token):
        return token, _SCALAR_DECODERS[token.type](token)


def _scalar_value(value):
    return value[1] if isinstance(value, tuple) else value


def _decode_number(token: lark.Token) -> int | float:
    # The length limit bounds the number of digits that int() converts.
    if len(token) <= 20:
        value = float(token)
        if math.isfinite(value):
            return int(token) if token.lstrip("+-").isdigit() else value
    raise _BadValueError(token, "a finite number of at most 20 characters")


def _decode_string(token: lark.Token) -> str:
    try:
        text = json.loads(token)
        text.encode()
    except ValueError as exc:
        raise _BadValueError(token, "text with JSON escapes") from exc
    return text


_SCALAR_DECODERS = {
    "NUMBER": _decode_number,
    "STRING": _decode_string,
    "BOOLEAN": lambda token: token == "true",
    "WORD": str,
}


def _unexpected_input_failure(text: str, exc: UnexpectedInput) -> Result:
    if isinstance(exc, UnexpectedCharacters):
        return _syntax_failure(
            exc.line, exc.column, _word_at_error(text, exc), exc.allowed
        )
    token = exc.token
    expected = exc.accepts or exc.expected
    if token.type != "$END":
        return _syntax_failure(token.line, token.column, str(token), expected)
    lines = text.split("\n")
    return _syntax_failure(len(lines), len(lines[-1]) + 1, "the end", expected)


def _syntax_failure(line: int, column: int, found: str, expected) -> Result:
    accepted = expected
    if not isinstance(expected, str):
        accepted = ", ".join(
            sorted({_describe_terminal(name) for name in expected or ()})
        )
    return failure(
        Code.BAD_COMMAND,
        f"line {line} column {column}: found {found}, accepted is {accepted}",
        field=f"{line}:{column}",
        accepted=accepted,
    )


def _word_at_error(text: str, exc: UnexpectedCharacters) -> str:
    return text[exc.pos_in_stream :].split(maxsplit=1)[0][:40]


def _describe_terminal(name: str) -> str:
    if name.startswith("_"):
        return name[1:].lower()
    return _TERMINAL_DESCRIPTIONS.get(name) or _LITERALS[name]


_PARSER = lark.Lark.open(
    "language.lark", rel_to=__file__, parser="lalr", maybe_placeholders=False
)
_LITERALS = {each.name: each.pattern.value for each in _PARSER.terminals}
