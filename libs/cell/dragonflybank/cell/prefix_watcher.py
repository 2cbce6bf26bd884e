"""Watches the keys with a prefix without missing a change."""

__all__ = ["PrefixWatcher"]

import logging
from collections.abc import AsyncIterator

from returns.result import Failure, Success

from dragonflybank.cell.ports import Item, Store
from dragonflybank.cluster.clock import Clock

_log = logging.getLogger(__name__)

# A dead connection is detected after this time plus the timeout of the call.
MAX_WAIT_S = 2.0
# After an unanswered call the next ones barely wait for changes, so that a
# recovered store is detected soon.
RECOVERY_WAIT_S = 0.01
RETRY_DELAY_S = 0.2


class PrefixWatcher:
    """Follows the changes of all keys with a prefix.

    Attributes:
        is_store_answering: Whether the last call was answered.
        written_after: Lower bound of the time at which the changes yielded
            last were made; minus infinity if unknown.

    Args:
        store: The platform's store.
        prefix: Prefix of the keys.
        clock: Clock of the host.
        wait_s: Longest time that a call waits for changes, in seconds.
        pause_s: Delay before the call after one that found changes, in
            seconds; collects several changes into one call.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        clock: Clock,
        *,
        wait_s: float = MAX_WAIT_S,
        pause_s: float = 0.0,
    ):
        self._pause_s = pause_s
        self.is_store_answering = False
        self.written_after = float("-inf")
        self._wait_s = wait_s
        self._store = store
        self._prefix = prefix
        self._clock = clock

    async def changes(
        self, revision: int | None
    ) -> AsyncIterator[tuple[tuple[Item, ...], bool]]:
        """Yields changed items, and whether they are a full snapshot.

        A snapshot holds all items with the prefix. It comes first if no
        revision is given, and after the store has dropped the change history.

        Args:
            revision: Revision of the last known change; None to start with a
                snapshot.
        """
        previous_sent_at = float("-inf")
        while True:
            sent_at = self._clock.now()
            if revision is None:
                got = await self._store.scan(self._prefix)
            else:
                wait_s = (
                    self._wait_s if self.is_store_answering else RECOVERY_WAIT_S
                )
                got = await self._store.watch(
                    self._prefix, after=revision, wait_s=wait_s
                )
            self.is_store_answering = isinstance(got, Success)
            match got:
                case Failure(failed):
                    _log.warning(
                        "watch of the store failed",
                        extra={
                            "prefix": self._prefix,
                            "code": failed.code.name,
                            "detail": failed.detail,
                        },
                    )
                    await self._clock.sleep(RETRY_DELAY_S)
                case Success(found) if getattr(found, "is_history_lost", False):
                    previous_sent_at = float("-inf")
                    _log.warning(
                        "change history lost, reading all keys",
                        extra={"prefix": self._prefix, "revision": revision},
                    )
                    revision = None
                case Success(found):
                    is_snapshot = revision is None
                    revision = found.revision
                    # The previous answer held at least all changes made before
                    # its call was sent, so these are newer.
                    self.written_after = previous_sent_at
                    previous_sent_at = sent_at
                    if found.items or is_snapshot:
                        yield found.items, is_snapshot
                        await self._clock.sleep(self._pause_s)
