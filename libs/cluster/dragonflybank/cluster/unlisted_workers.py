"""Starts on workers that the VM list no longer has."""

__all__ = ["UnlistedWorkers"]

from collections.abc import Awaitable, Callable

from returns.result import Result, Success

from dragonflybank.cluster.session_registry import SessionRegistry
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.leases import (
    LEASE_MARGIN_S,
    LEASE_S,
    Resolution,
    ResolutionKind,
)
from dragonflybank.model.work import StartRecord


class UnlistedWorkers:
    """Decides what became of starts on workers without a session."""

    def __init__(
        self,
        registry: SessionRegistry,
        is_ownership_denied: Callable[[str, float], Awaitable[bool]],
    ):
        self._registry = registry
        self._is_ownership_denied = is_ownership_denied
        self._asked_at: dict[str, float] = {}

    async def resolve(
        self, start: StartRecord, now: float
    ) -> Result[Resolution, Problem]:
        """Returns ``LEASE_LAPSED`` once the worker is surely gone.

        That is so when a VM list, received a worst-case lease after the first
        question, still lacks it and no host in view owns it.
        """
        missing = failure(
            Code.NOT_OWNER, f"{start.worker} is not listed", retry_after_s=1.0
        )
        listed_at = self._registry.listed_at
        if listed_at is None or self._registry.is_listed(start.worker):
            return missing
        asked_at = self._asked_at.setdefault(start.worker, now)
        if listed_at < asked_at + LEASE_S + LEASE_MARGIN_S:
            return missing
        if not await self._is_ownership_denied(start.worker, now):
            return missing
        return Success(Resolution(ResolutionKind.LEASE_LAPSED))
