"""Lookups in time at a crest, with and without the policies of D13."""

__all__ = ["crest"]

from hdrh.histogram import HdrHistogram

from dragonflybank.bench.deployment_models import DEPLOYMENTS
from dragonflybank.bench.load_peak_simulation import (
    TIMEOUT_S,
    Crest,
    Variant,
    simulate,
)
from dragonflybank.bench.table import Better, Row
from dragonflybank.policy.retries import RETRY_BURST, RETRY_SHARE

SEEDS = (41, 42, 43)
TIMEOUT_SOURCE = "section 1: urgent work starts within 1.2 s"


def crest() -> list[Row]:
    """Returns the lookups in time with each variant."""
    return [row for deployment in DEPLOYMENTS for row in _rows(deployment)]


def _mean(deployment, variant):
    found = [simulate(deployment, variant, seed) for seed in SEEDS]
    waits = HdrHistogram(1, 10**9, 3)
    for result in found:
        waits.add(result.waits)
    names = ("in_time", "of_possible", "in_time_after", "attempts", "lookups")
    means = {n: sum(getattr(x, n) for x in found) / len(found) for n in names}
    return Crest(waits=waits, **means)


def _rows(deployment):
    none = _mean(deployment, Variant())
    queue = _mean(deployment, Variant(admission=True))
    budget = _mean(deployment, Variant(budget=True))
    both = _mean(deployment, Variant(True, True))
    all_three = _mean(deployment, Variant(True, True, True))

    def row(measure, unit, value, baseline, better=Better.HIGHER, **bound):
        return Row(
            measure, unit, deployment.name, value, better, baseline, **bound
        )

    what = "lookups in time at a tenfold crest"
    return [
        row(f"{what}, admission", "share", queue.in_time, none.in_time),
        row(f"{what}, retry budget", "share", budget.in_time, none.in_time),
        row(f"{what}, both", "share", both.in_time, none.in_time),
        row(
            f"{what}, both, of what the slots can serve",
            "share",
            both.of_possible,
            none.of_possible,
        ),
        row(
            f"{what}, both and preemption (baseline: both)",
            "share",
            all_three.in_time,
            both.in_time,
        ),
        row(
            "lookups in time in the 10 s after the crest, both",
            "share",
            both.in_time_after,
            none.in_time_after,
        ),
        row(
            "wait of a served lookup at the crest, p99, both",
            "s",
            both.waits.get_value_at_percentile(99) / 1e6,
            none.waits.get_value_at_percentile(99) / 1e6,
            Better.LOWER,
            bound=TIMEOUT_S,
            bound_source=TIMEOUT_SOURCE,
        ),
        row(
            "requests for each lookup at the crest, both",
            "requests",
            both.attempts,
            none.attempts,
            Better.LOWER,
            bound=1.0 + RETRY_SHARE + RETRY_BURST / both.lookups,
            bound_source="D13: retries 10% of requests, and one full bucket",
        ),
    ]
