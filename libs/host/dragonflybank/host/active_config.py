"""The operator configuration in force on a host."""

__all__ = ["ActiveConfig"]

from returns.result import Failure, Result, Success

from dragonflybank.config.operator import (
    OperatorConfig,
    Team,
    decode_operator_config,
)
from dragonflybank.model.codes import Code, Problem, failure
from dragonflybank.model.work import WorkClass


class ActiveConfig:
    """The decoded configuration with its teams and work classes by name.

    Attributes:
        config: The configuration; None until one is adopted.
    """

    def __init__(self):
        self.config: OperatorConfig | None = None
        self._teams: dict[str, Team] = {}
        self._classes: dict[str, WorkClass] = {}

    @property
    def generation(self) -> int:
        """Generation in force; 0 without a configuration."""
        return self.config.generation if self.config else 0

    @property
    def teams(self) -> tuple[Team, ...]:
        """The teams of the configuration."""
        return self.config.teams if self.config else ()

    @property
    def classes(self) -> tuple[WorkClass, ...]:
        """The work classes of the configuration."""
        return self.config.classes if self.config else ()

    def adopt(self, text: bytes) -> Result[int, Problem]:
        """Puts a configuration in force if its generation is greater.

        Returns:
            The generation in force afterwards, or the problem that makes the
            text invalid.
        """
        decoded = decode_operator_config(text)
        if isinstance(decoded, Failure):
            return decoded
        cfg = decoded.unwrap()
        if cfg.generation > self.generation:
            self.config = cfg
            self._teams = {team.name: team for team in cfg.teams}
            self._classes = {each.name: each for each in cfg.classes}
        return Success(self.generation)

    def team(self, name: str) -> Team | None:
        """Returns a team by name; None if there is none."""
        return self._teams.get(name)

    def work_class(self, name: str) -> Result[WorkClass, Problem]:
        """Returns a work class by name; ``BAD_REQUEST`` if there is none."""
        found = self._classes.get(name)
        if found is not None:
            return Success(found)
        return failure(
            Code.BAD_REQUEST,
            f"found {name!r}",
            field="work_class",
            accepted=", ".join(self._classes) or "no class is configured",
        )
