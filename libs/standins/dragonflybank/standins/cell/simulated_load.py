"""Queues of a simulated cell and the load that its callers offer."""

__all__ = ["SubmissionLoad", "defined_queue", "make_queues"]

import attrs

from dragonflybank.cell.host import CellHost
from dragonflybank.cell.jobs import AdviceTiming, Job, Queue, find_queue


@attrs.frozen
class SubmissionLoad:
    """The load that callers offer.

    Attributes:
        jobs_per_s: Average rate of submissions in jobs per second.
        cancel_share: Share of the jobs that are cancelled.
        failing_share: Share of the jobs whose tasks always fail.
        duration_s: Time in which jobs are submitted, in seconds.
    """

    jobs_per_s: float = 8.0
    cancel_share: float = 0.05
    failing_share: float = 0.02
    duration_s: float = 20.0


def defined_queue(host: CellHost, job: Job) -> Queue:
    """Returns the queue of a job as the configuration of a host defines it."""
    found = host.config and find_queue(
        host.config, job.queue.host, job.queue.prefix
    )
    return found or job.queue


def make_queues(advised: bool, service: str) -> dict[str, Queue]:
    """Returns the queues by name, from the highest priority to the lowest.

    Args:
        advised: Whether queues other than ``lookup`` need advice.
        service: Service that runs their tasks.
    """
    advice = AdviceTiming(0.02, 0.0, 2.0) if advised else None
    return {
        name: Queue(
            name,
            "front",
            f"/{name}/",
            service,
            priority,
            objective_s,
            2.0,
            4,
            advice if name != "lookup" else None,
        )
        for priority, (name, objective_s) in enumerate(
            (("lookup", 0.4), ("verify", 1.2), ("sweep", 3.0))
        )
    }
