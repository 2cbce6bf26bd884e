"""Checks that callers are told of ends and cancels that the store holds.

UNSTORED is broken by an answer that a job has ended, or that a cancel of it
was accepted, at a moment when the store has no record of that, and by a later
answer that says something else. A host may repeat a live phase that it learned
before another host answered the end, but only for `VISIBLE_S`.
"""

__all__ = ["AnswerCheck"]

import asyncio
import itertools
from collections.abc import Collection, Mapping

import attrs

from dragonflybank.cell.host import CellHost
from dragonflybank.cell.jobs import JobPhase, decode_progress
from dragonflybank.cell.keys import cancel_key, ended_key
from dragonflybank.standins.cell.store import MemoryStore

# The platform's visible_ms.
VISIBLE_S = 3.0
CHECK_INTERVAL_S = 0.1


@attrs.frozen
class _FinalAnswer:
    """The first answer that a job has ended.

    Attributes:
        at: Its time.
        phase: The final phase.
        hosts: Hosts that have given such an answer.
    """

    at: float
    phase: JobPhase
    hosts: set[str]


class AnswerCheck:
    """Compares the answers of hosts with the store.

    Attributes:
        violations: A line for the first wrong answer about each job.

    Args:
        store: The store of the cell.
    """

    def __init__(self, store: MemoryStore):
        self._store = store
        self._finals: dict[str, _FinalAnswer] = {}
        self._found: dict[str, str] = {}

    @property
    def violations(self) -> list[str]:
        """Descriptions of wrong answers, one for each job."""
        return list(self._found.values())

    def check_phase(
        self, host: str, job_id: str, phase: JobPhase, now: float
    ) -> None:
        """Checks the phase that a host gives for a job.

        Args:
            host: The process of the host.
            job_id: Identifier of the job.
            phase: The phase.
            now: Time of the answer.
        """
        if phase.is_final:
            self._check_stored(host, job_id, phase, now)
        final = self._finals.get(job_id)
        if final is None:
            if phase.is_final:
                self._finals[job_id] = _FinalAnswer(now, phase, {host})
            return
        if phase is final.phase:
            final.hosts.add(host)
            return
        is_outdated = (
            not phase.is_final
            and host not in final.hosts
            and now <= final.at + VISIBLE_S
        )
        if not is_outdated:
            self._report(
                job_id,
                f"was {final.phase} at {final.at:.2f}, and is {phase} at "
                f"{now:.2f} at {host}",
            )

    async def check_hosts(
        self,
        hosts: Mapping[str, CellHost],
        process_of_host: Mapping[str, str],
        job_ids: Collection[str],
    ) -> None:
        """Checks what hosts would answer without a read of the store.

        The check runs until it is cancelled and follows changes of its
        arguments.

        Args:
            hosts: Live hosts by name.
            process_of_host: Processes by name of the host.
            job_ids: Identifiers of the accepted jobs.
        """
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for (name, host), job_id in itertools.product(
                hosts.items(), job_ids
            ):
                phase = host.frontend.known_phase(job_id)
                if phase is not None:
                    process = process_of_host[name]
                    self.check_phase(process, job_id, phase, loop.time())

    def check_cancel(self, host: str, job_id: str, now: float) -> None:
        """Checks a host's answer that the cancel of a job was accepted."""
        keys = (cancel_key(job_id), ended_key(job_id))
        if all(self._store.last_value(key) is None for key in keys):
            self._report(
                job_id, f"has no cancel at {now:.2f}, accepted by {host}"
            )

    def _check_stored(
        self, host: str, job_id: str, phase: JobPhase, now: float
    ) -> None:
        raw = self._store.last_value(ended_key(job_id))
        stored = decode_progress(raw).phase if raw is not None else None
        if stored is not phase:
            self._report(
                job_id,
                f"is {phase} at {now:.2f} at {host}, stored is {stored}",
            )

    def _report(self, job_id: str, text: str) -> None:
        self._found.setdefault(job_id, f"UNSTORED {job_id} {text}")
