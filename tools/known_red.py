"""Pytest plugin for KNOWN-RED.txt, the list of tests expected to fail.

Each listed test has an open fault; it is expected to fail and is printed. A
listed test that passes fails the run, and so does an entry without a collected
test, so that the list stays up to date. An entry with ``fails: at times`` is
for a fault that doesn't occur in each run: its test may pass or fail, and the
outcome is printed.

An entry is a block of lines ``field: text`` with the fields ``test``,
``command``, ``seed``, ``seen`` and ``issue``; blocks are separated by blank
lines, and lines that start with ``#`` are comments. The field ``fails`` is
``always`` by default.
"""

__all__ = ["pytest_collection_modifyitems", "read_entries"]

import pathlib

import pytest

FIELDS = ("test", "command", "seed", "seen", "issue")
LIST_NAME = "KNOWN-RED.txt"
FAILS_VALUES = ("always", "at times")


def pytest_collection_modifyitems(config, items):
    """Marks the listed tests as strict expected failures and prints them."""
    path = pathlib.Path(config.rootpath) / LIST_NAME
    entries = read_entries(path.read_text()) if path.exists() else []
    by_test = {entry["test"]: entry for entry in entries}
    for item in items:
        entry = by_test.pop(item.nodeid, None)
        if entry is not None:
            fails = entry.get("fails", "always")
            item.add_marker(
                pytest.mark.xfail(
                    strict=fails == "always", reason=entry["seen"]
                )
            )
            print(
                f"known red, fails {fails}: {entry['test']} ({entry['issue']})"
            )
    if by_test and not config.option.file_or_dir:
        names = ", ".join(sorted(by_test))
        raise pytest.UsageError(f"{LIST_NAME} names unknown tests: {names}")


def read_entries(text):
    """Returns the entries of the list.

    Args:
        text: The content of KNOWN-RED.txt.

    Returns:
        A list of dicts with the keys of ``FIELDS``.

    Raises:
        pytest.UsageError: An entry lacks a field or has an unknown one.
    """
    lines = [line for line in text.splitlines() if not line.startswith("#")]
    blocks = [b for b in "\n".join(lines).split("\n\n") if b.strip()]
    entries = [
        dict(
            (part.strip() for part in line.split(":", 1))
            for line in block.strip().splitlines()
        )
        for block in blocks
    ]
    for entry in entries:
        missing = [name for name in FIELDS if name not in entry]
        if missing:
            raise pytest.UsageError(f"{LIST_NAME}: {entry} lacks {missing}")
        if entry.get("fails", "always") not in FAILS_VALUES:
            raise pytest.UsageError(
                f"{LIST_NAME}: {entry['test']} has an unknown 'fails'"
            )
    return entries
