"""Commands and options of the ``dragonflybank`` command line."""

__all__ = [
    "Cancel",
    "Check",
    "Codes",
    "Dragonflybank",
    "Explain",
    "Init",
    "Lookup",
    "Query",
    "Restarts",
    "Status",
    "Submit",
    "Version",
    "Wait",
]

from typing import Annotated

import attrs
import cappa

from dragonflybank.cli.checks import FileKind

DEFAULT_HOST = "http://127.0.0.1:8080"
_JOB = cappa.Arg(help="Job as TEAM/KEY; equal keys identify the same job.")
_PAYLOAD = cappa.Arg(
    long="--payload",
    default="",
    help="Text, @FILE, or - for standard input.",
)

_LOG = cappa.Arg(long=True, help="Log file; repeat for several hosts.")


@attrs.frozen
class Submit:
    """Submits a job; repeating it with the same key has no effect."""

    job: Annotated[str, _JOB]
    work_class: Annotated[str, cappa.Arg(long="--class", help="Work class.")]
    payload: Annotated[str, _PAYLOAD]
    tasks: Annotated[
        int, cappa.Arg(long=True, default=1, help="Number of tasks.")
    ]
    gang: Annotated[
        bool,
        cappa.Arg(long=True, default=False, help="Start all tasks together."),
    ]
    cores: Annotated[
        float | None,
        cappa.Arg(long=True, default=None, help="CPU cores per task."),
    ]
    memory_mb: Annotated[
        float | None,
        cappa.Arg(long=True, default=None, help="Memory per task in MiB."),
    ]
    accelerators: Annotated[
        int | None,
        cappa.Arg(long=True, default=None, help="Accelerators per task."),
    ]
    expected_s: Annotated[
        float | None,
        cappa.Arg(
            long=True, default=None, help="Expected run time in seconds."
        ),
    ]
    wait_s: Annotated[
        float,
        cappa.Arg(
            long=True,
            default=0.0,
            help="Seconds to wait for the end of the job.",
        ),
    ]


@attrs.frozen
class Lookup:
    """Runs a lookup and prints its result."""

    team: Annotated[str, cappa.Arg(help="Team.")]
    work_class: Annotated[str, cappa.Arg(long="--class", help="Work class.")]
    payload: Annotated[str, _PAYLOAD]
    timeout_ms: Annotated[
        int, cappa.Arg(long=True, default=1200, help="Timeout in milliseconds.")
    ]
    repeatable: Annotated[
        bool,
        cappa.Arg(
            long=True,
            default=False,
            help="Try the next host after a lost answer; may run twice.",
        ),
    ]


@attrs.frozen
class Wait:
    """Waits until a job ends and prints its result."""

    job: Annotated[str, _JOB]
    wait_s: Annotated[
        float,
        cappa.Arg(long=True, default=60.0, help="Longest wait in seconds."),
    ]


@attrs.frozen
class Status:
    """Prints the current state of a job."""

    job: Annotated[str, _JOB]


@attrs.frozen
class Cancel:
    """Cancels a job."""

    job: Annotated[str, _JOB]


@attrs.frozen
class Query:
    """Runs a command of the operators' language; "help" explains it."""

    text: Annotated[
        list[str], cappa.Arg(num_args=-1, help="Command, such as: show running")
    ]
    operator: Annotated[
        str,
        cappa.Arg(
            long=True,
            default="",
            help="Operator name for changes; by default the user name.",
            show_default=False,
        ),
    ]


@attrs.frozen
class Check:
    """Checks a file offline and prints all faults."""

    path: Annotated[str, cappa.Arg(help="JSON file.")]
    kind: Annotated[
        FileKind | None,
        cappa.Arg(
            long=True, default=None, help="Kind of file; detected by default."
        ),
    ]


@attrs.frozen
class Explain:
    """Prints the history of one request from the hosts' logs.

    The history of its attempts follows: which incarnation of an executor each
    command was meant for, which one answered, and how the attempt ended.
    """

    job: Annotated[
        str, cappa.Arg(help="Identifier of the request, or of a task of it.")
    ]
    log: Annotated[list[str], _LOG]


@attrs.frozen
class Restarts:
    """Prints how silences and restarts of executors delayed their tasks."""

    log: Annotated[list[str], _LOG]
    each: Annotated[
        bool,
        cappa.Arg(
            long=True,
            default=False,
            help="One row for each silence or restart, not each executor.",
        ),
    ]
    origin: Annotated[
        float | None,
        cappa.Arg(
            long=True,
            default=None,
            show_default=False,
            help="Seconds since 1970 that count as 0; the first line if unset.",
        ),
    ]


@attrs.frozen
class Init:
    """Checks and stores the first operator configuration."""

    path: Annotated[str, cappa.Arg(help="JSON file.")]
    store: Annotated[
        str, cappa.Arg(long=True, help="URL of the configuration store.")
    ]


@attrs.frozen
class Codes:
    """Prints the numeric result codes."""


@attrs.frozen
class Version:
    """Prints the version."""


@cappa.command(name="dragonflybank")
@attrs.frozen
class Dragonflybank:
    """Client of the dragonflybank cluster scheduler.

    Exit status: 0 done or accepted, 2 wrong arguments, 10 pending,
    11 refused, 12 not run, 13 unknown, 14 failed.
    """

    command: cappa.Subcommands[
        Submit
        | Lookup
        | Wait
        | Cancel
        | Status
        | Query
        | Check
        | Explain
        | Restarts
        | Init
        | Codes
        | Version
    ]
    host: Annotated[
        list[str],
        cappa.Arg(
            long="--host",
            default=(),
            propagate=True,
            show_default=False,
            help=f"URL of a scheduler host, repeatable ({DEFAULT_HOST}).",
        ),
    ]
    json: Annotated[
        bool,
        cappa.Arg(
            long="--json", default=False, propagate=True, help="Print JSON."
        ),
    ]
