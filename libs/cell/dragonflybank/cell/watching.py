"""Following the changes of keys with a prefix without a gap."""

__all__ = ["Watch"]

import logging
from collections.abc import AsyncIterator

from returns.result import Failure, Success

from dragonflybank.cell.ports import Item, Store
from dragonflybank.cluster.clock import Clock

_log = logging.getLogger(__name__)

# A connection that went silent is noticed after this and the call's time-out.
WAIT_S = 2.0
# A store that does not answer is asked without a wait, so that its return is
# noticed soon.
SHORT_WAIT_S = 0.01
RETRY_S = 0.2


class Watch:
    """Changes below a prefix.

    Attributes:
        is_answered: Whether the last call was answered.
        written_after: Time after which the changes that were yielded last were
            made, minus infinity if that is not known.

    Args:
        store: The platform's store.
        prefix: Prefix of the keys.
        clock: Clock of the host.
        wait_s: Longest wait of a call in seconds.
        pause_s: Time between a call that found changes and the next one, in
            seconds; gathers the changes in between into one call.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        clock: Clock,
        *,
        wait_s: float = WAIT_S,
        pause_s: float = 0.0,
    ):
        self._pause_s = pause_s
        self.is_answered = False
        self.written_after = float("-inf")
        self._wait_s = wait_s
        self._store = store
        self._prefix = prefix
        self._clock = clock

    async def changes(
        self, revision: int | None
    ) -> AsyncIterator[tuple[tuple[Item, ...], bool]]:
        """Yields changed items, and whether they are all items there are.

        Args:
            revision: Revision of the last change that is known; None to
                begin with all items.
        """
        earlier_at = float("-inf")
        while True:
            sent_at = self._clock.now()
            if revision is None:
                got = await self._store.scan(self._prefix)
            else:
                wait_s = self._wait_s if self.is_answered else SHORT_WAIT_S
                got = await self._store.watch(
                    self._prefix, after=revision, wait_s=wait_s
                )
            self.is_answered = isinstance(got, Success)
            match got:
                case Failure(failed):
                    _log.warning(
                        "watch failed",
                        extra={
                            "prefix": self._prefix,
                            "code": failed.code.name,
                            "detail": failed.detail,
                        },
                    )
                    await self._clock.sleep(RETRY_S)
                case Success(found) if getattr(found, "is_history_lost", False):
                    earlier_at = float("-inf")
                    _log.warning(
                        "history lost",
                        extra={"prefix": self._prefix, "revision": revision},
                    )
                    revision = None
                case Success(found):
                    is_whole = revision is None
                    revision = found.revision
                    # An answer holds all changes up to its call at least.
                    self.written_after = earlier_at
                    earlier_at = sent_at
                    if found.items or is_whole:
                        yield found.items, is_whole
                        await self._clock.sleep(self._pause_s)
