"""Rules for the fields of JSON documents."""

__all__ = [
    "HTTP_URL",
    "IP_ADDRESS",
    "IP_AND_PORT",
    "PORT",
    "Fault",
    "FieldRule",
    "Rules",
    "at_least",
    "between",
    "matching",
    "not_empty",
    "one_of",
    "repeated",
]

import ipaddress
import re
from collections.abc import Callable, Iterable, Mapping
from typing import Any
from urllib.parse import urlsplit

import attrs


@attrs.frozen
class Fault:
    """One value that is not accepted.

    Attributes:
        path: Path of the value, as ``seeds[1].port``.
        found: What was found, as short text.
        accepted: What would be accepted.
    """

    path: str
    found: str
    accepted: str


@attrs.frozen
class FieldRule:
    """A rule for the value of one field.

    Attributes:
        description: What is accepted, as text for people.
        accepts: Whether a decoded value is accepted.
    """

    description: str
    accepts: Callable[[Any], bool]


@attrs.frozen
class Rules:
    """What the fields of the classes of a document accept.

    Attributes:
        fields: Rules by class and field name.
        checks: Rules over several fields, by class. A check gets the fields
            that could be decoded, by name, and returns the faults.
        ignores_unknown: Whether fields without a name in the class are passed
            over.
    """

    fields: Mapping[type, Mapping[str, FieldRule]]
    checks: Mapping[type, Callable[[Mapping[str, Any]], Iterable[Fault]]]
    ignores_unknown: bool = False


def at_least(lowest: float, unit: str = "") -> FieldRule:
    """Returns the rule for a number that is not below a limit."""
    text = f"a number of at least {lowest:g} {unit}".strip()
    return FieldRule(text, lambda value: value >= lowest)


def between(lowest: float, highest: float, unit: str = "") -> FieldRule:
    """Returns the rule for a number within limits, both included."""
    text = f"a number from {lowest:g} to {highest:g} {unit}".strip()
    return FieldRule(text, lambda value: lowest <= value <= highest)


def matching(pattern: str, text: str) -> FieldRule:
    """Returns the rule for text that matches a pattern as a whole."""
    return FieldRule(
        text, lambda value: re.fullmatch(pattern, value) is not None
    )


def one_of(names: Iterable[str]) -> FieldRule:
    """Returns the rule for a list of texts out of a fixed set."""
    allowed = tuple(names)
    return FieldRule(
        f"a list of {', '.join(allowed)}",
        lambda values: set(values) <= set(allowed),
    )


def not_empty(what: str) -> FieldRule:
    """Returns the rule for a list with at least one element."""
    return FieldRule(f"a list of at least one {what}", bool)


def repeated(path: str, names: Iterable[str]) -> list[Fault]:
    """Returns a fault for each name that was used before in a list."""
    seen: set[str] = set()
    faults = []
    for index, name in enumerate(names):
        if name in seen:
            faults.append(
                Fault(f"{path}[{index}].name", name, "a name used once")
            )
        seen.add(name)
    return faults


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_url(text: str) -> bool:
    try:
        parts = urlsplit(text)
        return parts.scheme in ("http", "https") and bool(parts.hostname)
    except ValueError:
        return False


def _is_address(text: str) -> bool:
    ip, _, port = text.rpartition(":")
    return _is_ip(ip) and port.isdecimal() and 0 < int(port) < 1 << 16


IP_ADDRESS = FieldRule("an IP number", _is_ip)
IP_AND_PORT = FieldRule("an IP number and a port, as 10.0.0.1:80", _is_address)
HTTP_URL = FieldRule("an http or https URL", _is_url)
PORT = between(0, 65535)
