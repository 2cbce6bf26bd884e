"""Interface of a scheduler host that operator commands use."""

__all__ = [
    "ClassUsage",
    "HostRow",
    "OperatorView",
    "TeamUsage",
    "WorkPage",
    "WorkerRow",
]

import abc

import attrs
from returns.result import Result

from dragonflybank.config.editor import ConfigEditor
from dragonflybank.config.operator import OperatorConfig
from dragonflybank.model.codes import Problem
from dragonflybank.model.decisions import Decision
from dragonflybank.operators.commands import Condition, Listing, WorkRow


@attrs.frozen
class WorkPage:
    """Rows of a listing that was collected from several hosts.

    Attributes:
        rows: Rows found.
        more: Number of rows that were found but omitted.
        silent_hosts: Hosts that did not answer; their rows are missing.
    """

    rows: tuple[WorkRow, ...] = ()
    more: int = 0
    silent_hosts: tuple[str, ...] = ()


@attrs.frozen
class WorkerRow:
    """A worker as seen by its owner or by the queried host.

    Attributes:
        name: Name.
        region: Region.
        rack: Rack.
        owner: Scheduler host that owns it; empty if unknown.
        epoch: Ownership epoch.
        state: ``live``, ``leaving`` or ``quarantined``.
        tasks: Number of running tasks.
        free_cores: CPU cores that are not granted to tasks.
        free_memory_mb: Memory that is not granted to tasks, in MiB.
        free_slots: Free slots of its executor.
    """

    name: str
    region: str
    rack: str = ""
    owner: str = ""
    epoch: int = 0
    state: str = "live"
    tasks: int = 0
    free_cores: float = 0.0
    free_memory_mb: float = 0.0
    free_slots: int = 0


@attrs.frozen
class HostRow:
    """A scheduler host in the membership table of the queried host.

    Attributes:
        name: Name.
        region: Region.
        status: ``live``, ``leaving`` or ``dead``.
        silent_s: Seconds since its heartbeat counter last increased.
        generation: Generation of its configuration.
        free_lookup_slots: Free slots that lookups may use.
        queue_s: Expected wait of a new lookup in seconds.
    """

    name: str
    region: str
    status: str = "live"
    silent_s: float = 0.0
    generation: int = 0
    free_lookup_slots: int = 0
    queue_s: float = 0.0


@attrs.frozen
class TeamUsage:
    """Current usage of a team's quota as far as the queried host knows it.

    Attributes:
        team: Name of the team.
        running: Number of running tasks of batch work.
        waiting: Number of waiting jobs.
    """

    team: str
    running: int = 0
    waiting: int = 0


@attrs.frozen
class ClassUsage:
    """Measured run times of a work class.

    Attributes:
        work_class: Name of the class.
        median_s: Median run time in seconds, 0 while none was measured.
        p95_s: 95th percentile of the run time in seconds.
        measured: Number of measured runs.
    """

    work_class: str
    median_s: float = 0.0
    p95_s: float = 0.0
    measured: int = 0


class OperatorView(abc.ABC):
    """Queries to a scheduler host and access to the configuration."""

    @property
    @abc.abstractmethod
    def editor(self) -> ConfigEditor:
        """The editor of the configuration in the store."""

    @abc.abstractmethod
    async def list_work(
        self,
        which: Listing,
        conditions: tuple[Condition, ...],
        *,
        limit: int,
        now: float,
    ) -> Result[WorkPage, Problem]:
        """Returns the work in all regions that meets all conditions."""

    @abc.abstractmethod
    async def find_job(
        self, team: str, key: str, *, now: float
    ) -> Result[WorkRow, Problem]:
        """Returns a job, or ``UNKNOWN_JOB`` if there is none."""

    @abc.abstractmethod
    async def list_decisions(
        self, subject: str
    ) -> Result[tuple[Decision, ...], Problem]:
        """Returns the decisions about a job or lookup that are in memory."""

    @abc.abstractmethod
    async def list_workers(
        self, now: float
    ) -> Result[tuple[WorkerRow, ...], Problem]:
        """Returns the workers of all regions."""

    @abc.abstractmethod
    async def list_hosts(
        self, now: float
    ) -> Result[tuple[HostRow, ...], Problem]:
        """Returns the scheduler hosts of all regions."""

    @abc.abstractmethod
    async def active_config(self) -> Result[OperatorConfig, Problem]:
        """Returns the configuration in force on this host."""

    @abc.abstractmethod
    async def team_usage(self) -> Result[tuple[TeamUsage, ...], Problem]:
        """Returns the current usage of the teams' quotas."""

    @abc.abstractmethod
    async def class_usage(self) -> Result[tuple[ClassUsage, ...], Problem]:
        """Returns the measured run times of the work classes."""
