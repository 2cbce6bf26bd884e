"""A short form of job phases for the leader's answers to all other hosts.

Each change of a phase is sent to each host, so these bytes grow with the
product of hosts and jobs. Identifiers of the platform have 16 hexadecimal
digits; with the phase such a change takes 9 bytes instead of about 27.
"""

__all__ = ["pack_phases", "unpack_phases"]

import re
from collections.abc import Iterable, Iterator

from dragonflybank.cell.jobs import JobPhase

ROW_BYTES = 9
_HEX_ID = re.compile("[0-9a-f]{16}")
# Hosts of several versions read them, so these numbers never change.
_NUMBER_BY_PHASE = {
    JobPhase.QUEUED.value: 1,
    JobPhase.RUNNING.value: 2,
    JobPhase.COMPLETED.value: 3,
    JobPhase.FAILED.value: 4,
    JobPhase.CANCELLED.value: 5,
}
_PHASE_BY_NUMBER = {n: phase for phase, n in _NUMBER_BY_PHASE.items()}


def pack_phases(
    states: Iterable[tuple[str, str]],
) -> tuple[bytes, tuple[tuple[str, str], ...]]:
    """Returns the short form of phases, and those that have none.

    Args:
        states: Identifiers of jobs and their phases.

    Example:
        >>> packed, rest = pack_phases(
        ...     [("5c0e7a21d94b36f8", "running"), ("nightly", "queued")]
        ... )
        >>> len(packed), rest
        (9, (('nightly', 'queued'),))
        >>> list(unpack_phases(packed))
        [('5c0e7a21d94b36f8', 'running')]
    """
    packed = bytearray()
    rest = []
    for job_id, phase in states:
        number = _NUMBER_BY_PHASE.get(phase)
        if number is None or not _HEX_ID.fullmatch(job_id):
            rest.append((job_id, phase))
            continue
        packed += bytes.fromhex(job_id)
        packed.append(number)
    return bytes(packed), tuple(rest)


def unpack_phases(packed: bytes) -> Iterator[tuple[str, str]]:
    """Yields the identifiers and phases of a short form.

    Rows with an unknown number are left out.
    """
    for first in range(0, len(packed) - ROW_BYTES + 1, ROW_BYTES):
        phase = _PHASE_BY_NUMBER.get(packed[first + ROW_BYTES - 1])
        if phase is not None:
            yield packed[first : first + ROW_BYTES - 1].hex(), phase
