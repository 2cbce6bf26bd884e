"""The definitions of queues in the configuration in force.

A job keeps the definition of its queue from the time of its acceptance. The
configuration may redefine the queue while the job waits or has steps left, for
example to run its tasks on the executors of another service.
"""

__all__ = ["QueueDefinitions", "is_redefined"]

import itertools

import attrs

from dragonflybank.cell.jobs import CellConfig, Queue


class QueueDefinitions:
    """The queues of a configuration, found by an earlier definition.

    Args:
        cfg: The configuration; None before any is known.
    """

    def __init__(self, cfg: CellConfig | None = None):
        queues = (
            list(itertools.chain.from_iterable(cfg.queues.values()))
            if cfg
            else []
        )
        self._by_name = {q.name: q for q in queues}
        self._by_prefix = {(q.host, q.prefix): q for q in queues}

    def latest(self, queue: Queue) -> Queue:
        """Returns the newest known definition of a queue.

        A queue keeps its identity if it keeps its name, or else its host and
        prefix. The given definition is returned if the configuration does not
        have the queue or is older, as on a host that learned of a change later
        than the host that accepted the job.
        """
        found = self._by_name.get(queue.name) or self._by_prefix.get(
            (queue.host, queue.prefix)
        )
        if found is None or found.version <= queue.version:
            return queue
        return found


def is_redefined(old: Queue, new: Queue) -> bool:
    """Returns whether two definitions differ in more than their versions.

    Example:
        >>> old = Queue("sweeps", "front", "/sweeps/", "a", 1, 3.0, 2.0, 3)
        >>> is_redefined(old, attrs.evolve(old, version=2))
        False
        >>> is_redefined(old, attrs.evolve(old, version=2, service="b"))
        True
    """
    return attrs.evolve(old, version=new.version) != new
