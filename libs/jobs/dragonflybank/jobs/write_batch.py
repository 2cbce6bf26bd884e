"""The changes that one write of a shard's value carries."""

__all__ = ["WriteBatch"]

import asyncio

import attrs
from returns.result import Result

from dragonflybank.jobs.entries import JobKey
from dragonflybank.jobs.value import EncodedItem
from dragonflybank.model.codes import Problem


@attrs.define
class WriteBatch:
    """Changes of one write, and its outcome once callers are answered.

    Attributes:
        items: Changed items by key; None stands for a removed one.
        changed_at: Latest time of a change, seconds since 1970.
        outcome: Answer to the callers; None while they wait.
    """

    items: dict[JobKey, EncodedItem | None] = attrs.field(factory=dict)
    changed_at: float = 0.0
    outcome: Result[None, Problem] | None = None
    _answered: asyncio.Event = attrs.field(factory=asyncio.Event)

    def set_outcome(self, outcome: Result[None, Problem]) -> None:
        """Answers the callers, unless they already have an answer."""
        if self.outcome is None:
            self.outcome = outcome
            self._answered.set()

    async def wait(self) -> Result[None, Problem]:
        """Waits for the answer."""
        await self._answered.wait()
        return self.outcome
