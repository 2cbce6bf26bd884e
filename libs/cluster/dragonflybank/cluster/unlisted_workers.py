"""Resolves starts on workers that are missing from the VM list."""

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
        # Time since which a worker is unlisted and every host denies owning it.
        self._denied_since: dict[str, float] = {}

    async def resolve(
        self, start: StartRecord, now: float
    ) -> Result[Resolution, Problem]:
        """Returns ``LEASE_LAPSED`` once the worker is certainly gone.

        The worker is gone if all other hosts deny owning it, and a VM list that
        was received at least the longest lease after they first did still
        lacks it. Until then the result is ``NOT_OWNER``. The time starts again
        if the worker is listed or owned at a later request.
        """
        not_owner = failure(
            Code.NOT_OWNER,
            f"{start.worker} is not in the VM list",
            retry_after_s=1.0,
        )
        listed_at = self._registry.listed_at
        if (
            listed_at is None
            or self._registry.is_listed(start.worker)
            or not await self._is_ownership_denied(start.worker, now)
        ):
            self._denied_since.pop(start.worker, None)
            return not_owner
        denied_since = self._denied_since.setdefault(start.worker, now)
        if listed_at < denied_since + LEASE_S + LEASE_MARGIN_S:
            return not_owner
        return Success(Resolution(ResolutionKind.LEASE_LAPSED))
