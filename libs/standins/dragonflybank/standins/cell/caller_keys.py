"""The API keys of the callers of a simulated cell."""

__all__ = ["CallerKeys"]

import random
from collections.abc import Mapping, Sequence

from returns.result import Success

from dragonflybank.cell.authorization import Authorizer
from dragonflybank.cell.jobs import CellConfig, Queue
from dragonflybank.cell.teams import Team, key_digest
from dragonflybank.standins.cell.checks import CallerHistory, KeyDecision


class CallerKeys:
    """Keys of the configurations, and what hosts decided about them.

    Args:
        history: The callers' history, in which keys and decisions are recorded.
    """

    def __init__(self, history: CallerHistory):
        self._history = history

    def change(
        self, keys: Mapping[str, Sequence[str]], now: float
    ) -> dict[str, Team]:
        """Sets the API keys by name of the team, and returns the teams."""
        known = frozenset(key for found in keys.values() for key in found)
        self._history.keys.append((now, known))
        return {
            name: Team(name, tuple(map(key_digest, found)))
            for name, found in keys.items()
        }

    def draw_key(self, rng: random.Random) -> str:
        """Returns a key that is or was in force, or one that never was."""
        known = sorted(frozenset().union(*(k for _, k in self._history.keys)))
        return rng.choice([*known, "never in force"]) if known else ""

    def authorize(
        self, cfg: CellConfig | None, queue: Queue, key: str, now: float
    ) -> str | None:
        """Returns the team of a call, or None if the host turns it away.

        Args:
            cfg: Configuration in force on the host, None before it has one.
            queue: Queue that the call names.
            key: Key of the call.
            now: Current time in seconds.
        """
        if not self._history.keys:
            return ""
        if cfg is None:
            return None
        team = Authorizer().authorize(cfg, queue, key)
        self._history.key_decisions.append(
            KeyDecision(now, now, key, isinstance(team, Success))
        )
        return team.value_or(None)
