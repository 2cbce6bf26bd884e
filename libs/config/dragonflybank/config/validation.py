"""Validation rules for the fields of JSON documents."""

__all__ = [
    "HTTP_URL",
    "IP_ADDRESS",
    "IP_AND_PORT",
    "PORT",
    "FieldRule",
    "ValidationFault",
    "ValidationRules",
    "at_least",
    "between",
    "duplicate_faults",
    "matches_pattern",
    "not_empty",
    "subset_of",
]

import ipaddress
import re
from collections.abc import Callable, Iterable, Mapping
from typing import Any
from urllib.parse import urlsplit

import attrs


@attrs.frozen
class ValidationFault:
    """One invalid value in a document.

    Attributes:
        path: Path of the value, such as ``seeds[1].port``.
        found: The value found, as short text.
        accepted: The values that would be accepted, as text for people.
    """

    path: str
    found: str
    accepted: str


@attrs.frozen
class FieldRule:
    """A validation rule for the value of one field.

    Attributes:
        description: The accepted values, as text for people.
        accepts: Function that returns whether a decoded value is valid.
    """

    description: str
    accepts: Callable[[Any], bool]


@attrs.frozen
class ValidationRules:
    """Validation rules for the classes that a document is decoded into.

    Attributes:
        fields: Rules of single fields, by class and field name.
        checks: Checks that involve several fields, by class. A check gets the
            fields that could be decoded, by name, and returns the faults.
        ignores_unknown: Whether fields that the class does not define are
            ignored.
    """

    fields: Mapping[type, Mapping[str, FieldRule]]
    checks: Mapping[
        type, Callable[[Mapping[str, Any]], Iterable[ValidationFault]]
    ]
    ignores_unknown: bool = False


def at_least(lowest: float, unit: str = "") -> FieldRule:
    """Returns the rule for a number with a lower bound."""
    text = f"a number of at least {lowest:g} {unit}".strip()
    return FieldRule(text, lambda value: value >= lowest)


def between(lowest: float, highest: float, unit: str = "") -> FieldRule:
    """Returns the rule for a number within two bounds, both included."""
    text = f"a number from {lowest:g} to {highest:g} {unit}".strip()
    return FieldRule(text, lambda value: lowest <= value <= highest)


def matches_pattern(pattern: str, text: str) -> FieldRule:
    """Returns the rule for text that matches a whole pattern.

    Args:
        pattern: Regular expression.
        text: The accepted values, as text for people.
    """
    return FieldRule(
        text, lambda value: re.fullmatch(pattern, value) is not None
    )


def subset_of(names: Iterable[str]) -> FieldRule:
    """Returns the rule for a list whose elements are in a fixed set."""
    allowed = tuple(names)
    return FieldRule(
        f"a list of {', '.join(allowed)}",
        lambda values: set(values) <= set(allowed),
    )


def not_empty(element: str) -> FieldRule:
    """Returns the rule for a list with at least one element."""
    return FieldRule(f"a list of at least one {element}", bool)


def duplicate_faults(path: str, names: Iterable[str]) -> list[ValidationFault]:
    """Returns a fault for each name that occurs earlier in the list."""
    seen: set[str] = set()
    faults = []
    for index, name in enumerate(names):
        if name in seen:
            faults.append(
                ValidationFault(
                    f"{path}[{index}].name", name, "a name used once"
                )
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


def _is_ip_and_port(text: str) -> bool:
    ip, _, port = text.rpartition(":")
    return _is_ip(ip) and port.isdecimal() and 0 < int(port) < 1 << 16


IP_ADDRESS = FieldRule("an IP address", _is_ip)
IP_AND_PORT = FieldRule(
    "an IP address and a port, such as 10.0.0.1:80", _is_ip_and_port
)
HTTP_URL = FieldRule("an http or https URL", _is_url)
PORT = between(0, 65535)
