"""Structured logs: one JSON object per line on standard output.

Writing never blocks: lines that do not fit into the pipe, or exceed the limit
per second, are dropped, and the next line gives their number.
"""

__all__ = ["JsonLinesHandler", "log_to_stdout"]

import logging
import os
import sys
import time

import msgspec

# Peak load is about 100 decisions a second on a host.
MAX_LINES_PER_S = 2000
_STANDARD_ATTRIBUTES = frozenset(
    vars(logging.LogRecord("", 0, "", 0, "", None, None))
) | {
    "message",
    "asctime",
    "taskName",
}


class JsonLinesHandler(logging.Handler):
    """Writes records as JSON lines to a file descriptor without blocking.

    Args:
        fd: The file descriptor.
        lines_per_s: Maximum number of lines per second.
    """

    def __init__(self, fd: int, *, lines_per_s: int = MAX_LINES_PER_S):
        super().__init__()
        self._fd = fd
        self._lines_per_s = lines_per_s
        self._current_second = 0
        self._lines_written = 0
        self._dropped = 0
        self._unwritten = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or counts it as dropped."""
        second = int(record.created)
        if second != self._current_second:
            self._current_second, self._lines_written = second, 0
        if self._lines_written >= self._lines_per_s:
            self._dropped += 1
            return
        self._lines_written += 1
        line = self._unwritten + self._encode(record)
        try:
            written = os.write(self._fd, line)
        except BlockingIOError:
            written = 0
        except OSError:
            self._dropped += 1
            return
        if written:
            # The rest of a partly written line goes before the next line.
            self._unwritten = line[written:]
            self._dropped = 0
        else:
            self._dropped += 1

    def _encode(self, record: logging.LogRecord) -> bytes:
        fields = {
            "at": round(record.created, 3),
            "level": record.levelname,
            "logger": record.name.removeprefix("dragonflybank."),
            "event": record.getMessage(),
        }
        fields.update(
            (name, value)
            for name, value in vars(record).items()
            if name not in _STANDARD_ATTRIBUTES
        )
        if record.exc_info:
            fields["error"] = logging.Formatter().formatException(
                record.exc_info
            )
        if self._dropped:
            fields["omitted"] = self._dropped
        return msgspec.json.encode(fields, enc_hook=str) + b"\n"


def log_to_stdout(level: int = logging.INFO) -> None:
    """Configures the root logger to write JSON lines to standard output.

    Args:
        level: Lowest level that is written.
    """
    fd = sys.stdout.fileno()
    os.set_blocking(fd, False)
    handler = JsonLinesHandler(fd)
    logging.Formatter.converter = time.gmtime
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
