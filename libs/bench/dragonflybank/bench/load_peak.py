"""Lookups answered in time at a load peak, by overload controls."""

__all__ = ["crest"]

from hdrh.histogram import HdrHistogram

from dragonflybank.bench.deployment_models import DEPLOYMENTS
from dragonflybank.bench.load_peak_simulation import (
    TIMEOUT_S,
    LoadPeakResult,
    OverloadControls,
    simulate,
)
from dragonflybank.bench.table import Better, Row
from dragonflybank.policy.retries import RETRY_BURST, RETRY_SHARE

SEEDS = (41, 42, 43)
TIMEOUT_SOURCE = "section 1: urgent work starts within 1.2 s"


def crest() -> list[Row]:
    """Returns the shares of lookups in time with each set of controls."""
    return [row for deployment in DEPLOYMENTS for row in _rows(deployment)]


def _mean_result(deployment, controls):
    results = [simulate(deployment, controls, seed) for seed in SEEDS]
    waits = HdrHistogram(1, 10**9, 3)
    for result in results:
        waits.add(result.waits)
    names = (
        "in_time",
        "in_time_of_servable",
        "in_time_after",
        "attempts",
        "lookups",
    )
    means = {
        n: sum(getattr(x, n) for x in results) / len(results) for n in names
    }
    return LoadPeakResult(waits=waits, **means)


def _rows(deployment):
    no_control = _mean_result(deployment, OverloadControls())
    admission = _mean_result(deployment, OverloadControls(admission=True))
    retry_budget = _mean_result(deployment, OverloadControls(retry_budget=True))
    both = _mean_result(deployment, OverloadControls(True, True))
    all_three = _mean_result(deployment, OverloadControls(True, True, True))

    def row(name, unit, value, baseline, better=Better.HIGHER, **bound):
        return Row(
            name, unit, deployment.name, value, better, baseline, **bound
        )

    measure = "lookups in time at a tenfold crest"
    return [
        row(
            f"{measure}, admission",
            "share",
            admission.in_time,
            no_control.in_time,
        ),
        row(
            f"{measure}, retry budget",
            "share",
            retry_budget.in_time,
            no_control.in_time,
        ),
        row(f"{measure}, both", "share", both.in_time, no_control.in_time),
        row(
            f"{measure}, both, of what the slots can serve",
            "share",
            both.in_time_of_servable,
            no_control.in_time_of_servable,
        ),
        row(
            f"{measure}, both and preemption (baseline: both)",
            "share",
            all_three.in_time,
            both.in_time,
        ),
        row(
            "lookups in time in the 10 s after the crest, both",
            "share",
            both.in_time_after,
            no_control.in_time_after,
        ),
        row(
            "wait of a served lookup at the crest, p99, both",
            "s",
            both.waits.get_value_at_percentile(99) / 1e6,
            no_control.waits.get_value_at_percentile(99) / 1e6,
            Better.LOWER,
            bound=TIMEOUT_S,
            bound_source=TIMEOUT_SOURCE,
        ),
        row(
            "requests for each lookup at the crest, both",
            "requests",
            both.attempts,
            no_control.attempts,
            Better.LOWER,
            bound=1.0 + RETRY_SHARE + RETRY_BURST / both.lookups,
            bound_source="retries are 10% of requests, and one full bucket",
        ),
    ]
