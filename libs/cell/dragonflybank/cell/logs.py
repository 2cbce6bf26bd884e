"""Structured logs: one JSON object a line on standard output.

Writing never waits for a reader: lines that do not fit into the pipe, or are
beyond the limit a second, are left out and counted in the next line.
"""

__all__ = ["JsonLinesHandler", "log_to_stdout"]

import logging
import os
import sys
import time

import msgspec

# A host takes some 100 decisions a second at its peak.
LINES_PER_S = 2000
_STANDARD = frozenset(vars(logging.LogRecord("", 0, "", 0, "", None, None))) | {
    "message",
    "asctime",
    "taskName",
}


class JsonLinesHandler(logging.Handler):
    """Writes records as JSON lines to a file descriptor without blocking.

    Args:
        fd: The file descriptor.
        lines_per_s: Most lines written in a second.
    """

    def __init__(self, fd: int, *, lines_per_s: int = LINES_PER_S):
        super().__init__()
        self._fd = fd
        self._lines_per_s = lines_per_s
        self._second = 0
        self._lines = 0
        self._omitted = 0
        self._rest = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or counts it as left out."""
        second = int(record.created)
        if second != self._second:
            self._second, self._lines = second, 0
        if self._lines >= self._lines_per_s:
            self._omitted += 1
            return
        self._lines += 1
        line = self._rest + self._line(record)
        try:
            written = os.write(self._fd, line)
        except BlockingIOError:
            written = 0
        except OSError:
            self._omitted += 1
            return
        if written:
            # The end of a line that was cut is written before the next one.
            self._rest = line[written:]
            self._omitted = 0
        else:
            self._omitted += 1

    def _line(self, record: logging.LogRecord) -> bytes:
        fields = {
            "at": round(record.created, 3),
            "level": record.levelname,
            "logger": record.name.removeprefix("dragonflybank."),
            "event": record.getMessage(),
        }
        fields.update(
            (name, value)
            for name, value in vars(record).items()
            if name not in _STANDARD
        )
        if record.exc_info:
            fields["error"] = logging.Formatter().formatException(
                record.exc_info
            )
        if self._omitted:
            fields["omitted"] = self._omitted
        return msgspec.json.encode(fields, enc_hook=str) + b"\n"


def log_to_stdout(level: int = logging.INFO) -> None:
    """Sends all logs to standard output as JSON lines."""
    fd = sys.stdout.fileno()
    os.set_blocking(fd, False)
    handler = JsonLinesHandler(fd)
    logging.Formatter.converter = time.gmtime
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
