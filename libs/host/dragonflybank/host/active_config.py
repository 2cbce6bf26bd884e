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
    """The decoded configuration, by name.

    Attributes:
        value: The configuration; None until one is adopted.
    """

    def __init__(self):
        self.value: OperatorConfig | None = None
        self._teams: dict[str, Team] = {}
        self._classes: dict[str, WorkClass] = {}

    @property
    def generation(self) -> int:
        """Generation in force, 0 if there is none."""
        return self.value.generation if self.value else 0

    @property
    def teams(self) -> tuple[Team, ...]:
        """The teams."""
        return self.value.teams if self.value else ()

    @property
    def classes(self) -> tuple[WorkClass, ...]:
        """The work classes."""
        return self.value.classes if self.value else ()

    def adopt(self, text: bytes) -> Result[int, Problem]:
        """Puts a configuration in force if its generation is greater.

        Returns:
            The generation in force, or why the text is no configuration.
        """
        decoded = decode_operator_config(text)
        if isinstance(decoded, Failure):
            return decoded
        cfg = decoded.unwrap()
        if cfg.generation > self.generation:
            self.value = cfg
            self._teams = {team.name: team for team in cfg.teams}
            self._classes = {each.name: each for each in cfg.classes}
        return Success(self.generation)

    def team(self, name: str) -> Team | None:
        """Returns a team, None if there is none of that name."""
        return self._teams.get(name)

    def work_class(self, name: str) -> Result[WorkClass, Problem]:
        """Returns a work class, or ``BAD_REQUEST`` if there is none."""
        found = self._classes.get(name)
        if found is not None:
            return Success(found)
        return failure(
            Code.BAD_REQUEST,
            f"found {name!r}",
            field="work_class",
            accepted=", ".join(self._classes) or "no class is configured",
        )
