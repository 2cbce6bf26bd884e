"""Capacity accounting of one worker: reserved, used and free resources."""

__all__ = ["LOOKUP_NEED", "CapacityTracker"]

from collections.abc import Hashable, Iterable

import attrs

from dragonflybank.model.leases import Reservation, TaskState
from dragonflybank.model.resources import (
    Resources,
    add_resources,
    fits,
    subtract_resources,
    sum_resources,
)
from dragonflybank.platform.worker import WorkerTask

# Resources that a lookup uses on its worker's executor while it runs.
LOOKUP_NEED = Resources(slots=1, connections=1)


@attrs.frozen
class _UnansweredStart:
    grant: Resources
    sent_at: float


class CapacityTracker:
    """Counts everything that uses resources of a worker.

    The sum of running tasks, unanswered starts, reservations, lookups and the
    former owner's lookups never exceeds the size of the worker, unless the
    worker reports more than it can hold.

    Attributes:
        tasks: Running tasks by id, as the worker reports them.
    """

    def __init__(self, size: Resources, *, lookup_reserve: int):
        self._size = size
        self.tasks: dict[str, WorkerTask] = {}
        self._lookup_reserve = lookup_reserve
        self._unanswered: dict[str, _UnansweredStart] = {}
        self._reservations: dict[str, Reservation] = {}
        self._lookups: dict[Hashable, Resources] = {}
        self._lookup_ends: dict[Hashable, float] = {}
        self._former_lookups = Resources()
        self._free_cache: tuple[Resources, Resources] | None = None

    @property
    def size(self) -> Resources:
        """Total resources of the worker."""
        return self._size

    @size.setter
    def size(self, size: Resources) -> None:
        self._size = size
        self._free_cache = None

    @property
    def lookup_reserve(self) -> int:
        """Slots reserved for lookups, which tasks cannot use."""
        return self._lookup_reserve

    @lookup_reserve.setter
    def lookup_reserve(self, slots: int) -> None:
        self._lookup_reserve = slots
        self._free_cache = None

    @property
    def free(self) -> Resources:
        """Resources that are neither used nor reserved."""
        return self._free_amounts()[0]

    @property
    def free_for_tasks(self) -> Resources:
        """Free resources for tasks, without the slots reserved for lookups."""
        return self._free_amounts()[1]

    @property
    def has_no_lookups_or_reservations(self) -> bool:
        """Whether no lookup runs and no reservation is held."""
        return not (self._lookups or self._reservations)

    def expire(self, now: float) -> None:
        """Frees expired reservations and lookups that were never answered."""
        late = [k for k, r in self._reservations.items() if r.expires_at <= now]
        for key in late:
            self.release(key)
        ended = [k for k, end in self._lookup_ends.items() if end <= now]
        for key in ended:
            self.remove_lookup(key)

    def reserve(self, reservation: Reservation) -> bool:
        """Reserves resources for a task; returns False if too few are free."""
        if not fits(reservation.grant, self.free_for_tasks):
            return False
        self._reservations[reservation.id] = reservation
        self._free_cache = None
        return True

    def release(self, reservation_id: str) -> None:
        """Frees a reservation; an unknown one is ignored."""
        self._reservations.pop(reservation_id, None)
        self._free_cache = None

    def add_start(self, task_id: str, grant: Resources, now: float) -> bool:
        """Counts a start that is about to be sent to the worker.

        The start replaces a reservation of equal size; without one its
        resources must be free.

        Returns:
            Whether the start is counted; False if it does not fit.
        """
        matching = [
            k for k, r in self._reservations.items() if r.grant == grant
        ]
        if matching:
            self.release(matching[0])
        elif not fits(grant, self.free_for_tasks):
            return False
        self._unanswered[task_id] = _UnansweredStart(grant, now)
        self._free_cache = None
        return True

    def is_unanswered(self, task_id: str) -> bool:
        """Returns whether a start was sent and has no answer yet."""
        return task_id in self._unanswered

    def has_unanswered_before(self, at: float) -> bool:
        """Returns whether a start sent before a time has no answer yet."""
        return any(u.sent_at < at for u in self._unanswered.values())

    def add_task(self, task: WorkerTask) -> None:
        """Counts a task as running."""
        self._unanswered.pop(task.task_id, None)
        self.tasks[task.task_id] = task
        self._free_cache = None

    def remove_task(self, task_id: str) -> None:
        """Frees the resources of a task that ended or never started."""
        self._unanswered.pop(task_id, None)
        self.tasks.pop(task_id, None)
        self._free_cache = None

    def add_lookup(self, key: Hashable, need: Resources) -> bool:
        """Counts a lookup; returns False if it does not fit."""
        if not fits(need, self.free):
            return False
        self._lookups[key] = need
        self._free_cache = None
        return True

    def remove_lookup(self, key: Hashable) -> None:
        """Frees the resources of a lookup."""
        self._lookups.pop(key, None)
        self._lookup_ends.pop(key, None)
        self._free_cache = None

    def expire_lookup_at(self, key: Hashable, end: float) -> None:
        """Sets the time after which an unanswered lookup no longer counts."""
        self._lookup_ends[key] = end

    def reset(self, size: Resources, tasks: Iterable[WorkerTask]) -> None:
        """Replaces size and tasks by those that a claim returned.

        The claim fences all earlier starts, so none stays unanswered.
        Reservations of the earlier epoch can no longer be used and are freed.
        Lookups in progress stay counted.
        """
        self.size = size
        self.tasks = {
            t.task_id: t for t in tasks if t.state is TaskState.RUNNING
        }
        self._unanswered = {}
        self._reservations = {}
        self._free_cache = None

    def set_former_lookups(self, usage: Resources) -> None:
        """Counts the usage of a worker beyond its tasks as lookups.

        They are lookups that the former owner started.

        Args:
            usage: Resources in use, as the worker reports them.
        """
        listed = sum_resources(t.grant for t in self.tasks.values())
        self._former_lookups = Resources(
            slots=max(0, usage.slots - listed.slots),
            connections=max(0, usage.connections - listed.connections),
        )
        self._free_cache = None

    def shrink_former_lookups(self, usage: Resources) -> None:
        """Lowers the former owner's lookups to what the worker reports."""
        before = self._former_lookups
        self.set_former_lookups(usage)
        self._former_lookups = Resources(
            slots=min(before.slots, self._former_lookups.slots),
            connections=min(
                before.connections, self._former_lookups.connections
            ),
        )

    def clear_former_lookups(self) -> None:
        """Stops counting the former owner's lookups, which have ended."""
        self._former_lookups = Resources()
        self._free_cache = None

    def _free_amounts(self) -> tuple[Resources, Resources]:
        # Cached until something changes, since every placement reads them.
        # Recomputed from scratch, since adding and subtracting fractions of
        # cores accumulates rounding errors.
        if self._free_cache is None:
            for_tasks = sum_resources(
                [t.grant for t in self.tasks.values()]
                + [u.grant for u in self._unanswered.values()]
                + [r.grant for r in self._reservations.values()]
            )
            lookups = sum_resources(
                [*self._lookups.values(), self._former_lookups]
            )
            free = subtract_resources(
                self._size, add_resources(for_tasks, lookups)
            )
            self._free_cache = (free, self._without_reserve(free, for_tasks))
        return self._free_cache

    def _without_reserve(
        self, free: Resources, for_tasks: Resources
    ) -> Resources:
        reserve = self._lookup_reserve
        size = self._size
        return attrs.evolve(
            free,
            slots=min(free.slots, size.slots - reserve - for_tasks.slots),
            connections=min(
                free.connections,
                size.connections - reserve - for_tasks.connections,
            ),
        )
