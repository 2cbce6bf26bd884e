"""The decision whether the API key of a call admits it to a queue."""

__all__ = ["Authorizer", "RefusalLog"]

import logging

from returns.result import Result, Success

from dragonflybank.cell.jobs import CellConfig, Queue
from dragonflybank.cell.metrics import CellMetrics
from dragonflybank.cell.teams import TeamDirectory, key_digest
from dragonflybank.model.codes import Code, Problem, failure

_log = logging.getLogger(__name__)

# A caller with a wrong key may send thousands of calls a second.
LOG_INTERVAL_S = 1.0


class Authorizer:
    """Decides by the teams of a configuration whether a call is admitted.

    The directory of the keys is kept until another configuration is given.
    """

    def __init__(self):
        self._cfg: CellConfig | None = None
        self._directory = TeamDirectory(())

    def authorize(
        self, cfg: CellConfig, queue: Queue, key: str
    ) -> Result[str, Problem]:
        """Returns the name of the team that a call belongs to.

        Args:
            cfg: The configuration in force on this host.
            queue: Queue that the call names.
            key: Key of the call; empty if it has none or a malformed one.

        Returns:
            The name, "" if the queue needs no key; ``UNKNOWN_KEY`` if it needs
            one and the key belongs to no team.
        """
        if not cfg.teams or queue.is_public:
            return Success("")
        if not key:
            return failure(Code.UNKNOWN_KEY, "the call has no valid key")
        if cfg is not self._cfg:
            self._cfg = cfg
            self._directory = TeamDirectory(cfg.teams.values())
        team = self._directory.find(key)
        if team is None:
            return failure(Code.UNKNOWN_KEY, "the key belongs to no team")
        return Success(team.name)


class RefusalLog:
    """Counts refused keys and logs at most one of them per second.

    Args:
        host: Name of the host.
        metrics: Metrics of the host.
    """

    def __init__(self, host: str, metrics: CellMetrics):
        self._host = host
        self._metrics = metrics
        self._logged_at = float("-inf")
        self._unlogged = 0

    def record(self, queue: Queue, key: str, reason: str, now: float) -> None:
        """Counts a refused key.

        Args:
            queue: Queue that the call names.
            key: Key of the call, or an empty string. Only the start of its
                digest is logged.
            reason: Why it was refused.
            now: Current time in seconds.
        """
        self._metrics.keys_refused.inc()
        # A clock that was set back must not suppress the lines.
        if 0 <= now - self._logged_at < LOG_INTERVAL_S:
            self._unlogged += 1
            return
        _log.warning(
            "key refused",
            extra={
                "host": self._host,
                "queue": queue.name,
                "reason": reason,
                "digest": key_digest(key).hex()[:8] if key else "",
                "not_logged": self._unlogged,
            },
        )
        self._logged_at, self._unlogged = now, 0
