"""Logs of a test, written to a file when it fails.

Some faults occur only once in many runs, so a failure has to leave enough
behind to find its cause. Only tests import this module.
"""

__all__ = ["LOGS", "keep_logs_on_failure"]

import logging
import pathlib
from collections.abc import Callable, Iterable

from testtools.content import text_content

LOGS = pathlib.Path("build/tests")
_STANDARD_FIELDS = frozenset(
    vars(logging.LogRecord("", 0, "", 0, "", None, None))
) | {"message", "asctime", "taskName"}


class _Collector(logging.Handler):
    """Keeps the text of each record in memory."""

    def __init__(self):
        super().__init__()
        self.lines: list[str] = []
        self.setFormatter(
            logging.Formatter("%(asctime)s %(name)s %(levelname)s %(message)s")
        )

    def emit(self, record: logging.LogRecord) -> None:
        """See `logging.Handler.emit`."""
        fields = {
            name: value
            for name, value in vars(record).items()
            if name not in _STANDARD_FIELDS
        }
        self.lines.append(f"{self.format(record)} {fields or ''}".rstrip())


def keep_logs_on_failure(
    test, *, more_lines: Callable[[], Iterable[str]] = tuple
) -> None:
    """Writes the log of a test to a file in `LOGS` if the test fails.

    The name of the file is part of the failure message.

    Args:
        test: A running test case of testtools.
        more_lines: Returns what else the file should hold.
    """
    collector = _Collector()
    logger = logging.getLogger("dragonflybank")
    former_level = logger.level
    logger.addHandler(collector)
    logger.setLevel(logging.DEBUG)
    test.addCleanup(logger.setLevel, former_level)
    test.addCleanup(logger.removeHandler, collector)

    def write(exc_info) -> None:
        path = LOGS / f"{test.id()}.log"
        path.parent.mkdir(parents=True, exist_ok=True)
        lines = [*collector.lines, repr(exc_info[1]), *more_lines()]
        path.write_text("\n".join(lines) + "\n")
        # A detail of a testtools test is printed with its failure.
        test.addDetail("kept log", text_content(str(path)))

    test.addOnException(write)
