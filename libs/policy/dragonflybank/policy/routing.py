"""Routing of work when the workers of this host are full.

A lookup is forwarded to a peer host in the same region. If no peer has free
slots, it is forwarded to another region if waiting costs more than the link,
and waits otherwise. Decisions use the capacity summaries that hosts gossip;
no host is polled for a single request.
"""

__all__ = [
    "LinkCost",
    "Route",
    "RouteKind",
    "RoutingRequest",
    "reservation_hosts",
    "route_lookup",
]

import enum
import random
from collections.abc import Collection, Iterable

import attrs

from dragonflybank.model.resources import Resources, dominant_share, fits
from dragonflybank.model.topology import CapacitySummary

# Gossip declares a host dead after the same time.
SUMMARY_MAX_AGE_S = 3.0
# Power of two random choices (Mitzenmacher 2001).
SAMPLED_HOSTS = 2
# Limits the hosts that a shard home asks for reservations in one round; work
# without a reservation waits for the next round.
MAX_RESERVATION_HOSTS = 3
PASSED_OVER_LIMIT = 5


class RouteKind(enum.StrEnum):
    """Where a lookup is served."""

    LOCAL = "local"
    PEER = "peer"
    REGION = "region"
    WAIT = "wait"


@attrs.frozen
class Route:
    """The chosen route of a lookup.

    Attributes:
        kind: Kind of the route.
        host: The host to forward to, empty if the lookup stays at this host.
        reason: Short reason for the choice.
        passed_over: At most five alternatives, each with the reason why it
            was not chosen.
    """

    kind: RouteKind
    host: str = ""
    reason: str = ""
    passed_over: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class LinkCost:
    """Cost of a link between regions and of waiting.

    Attributes:
        latency_s: One-way latency in seconds.
        cost_per_byte: Cost of sending a byte, in units of cost.
        waiting_cost_per_s: Cost of waiting for a second, in units of cost.
    """

    latency_s: float = 0.012
    cost_per_byte: float = 1e-6
    waiting_cost_per_s: float = 1.0


@attrs.frozen
class RoutingRequest:
    """Properties of a lookup that determine its route.

    Attributes:
        total_bytes: Size of the request and the answer together.
        time_left_s: Time until the deadline, in seconds.
        value: Value of an answer in time, in units of cost.
        hops_in_region: Number of forwards within a region so far.
        hops_between_regions: Number of forwards between regions so far.
    """

    total_bytes: int = 1024
    time_left_s: float = 1.2
    value: float = 1.0
    hops_in_region: int = 0
    hops_between_regions: int = 0


def route_lookup(
    req: RoutingRequest,
    own: CapacitySummary,
    summaries: Iterable[CapacitySummary],
    now: float,
    rng: random.Random,
    *,
    link_cost: LinkCost = LinkCost(),
    avoid: Collection[str] = (),
) -> Route:
    """Decides where a lookup is served.

    Args:
        req: The lookup.
        own: Current capacity of this host.
        summaries: Latest summaries of the other live hosts.
        now: Current time, seconds since 1970.
        rng: Seeded generator.
        link_cost: Cost of the links to other regions.
        avoid: Hosts that must not be chosen, such as those already tried.

    Returns:
        The route. A lookup is forwarded at most once within a region and at
        most once to another region.
    """
    if own.free_lookup_slots > 0:
        return Route(RouteKind.LOCAL, reason="this host has free slots")
    others = [s for s in summaries if s.host not in avoid]
    stale = [s for s in others if now - s.at > SUMMARY_MAX_AGE_S]
    fresh = [s for s in others if now - s.at <= SUMMARY_MAX_AGE_S]
    passed = [(s.host, f"summary is {now - s.at:.1f} s old") for s in stale]
    if req.hops_in_region == 0:
        peers = [s for s in fresh if s.region == own.region]
        sample = rng.sample(peers, min(SAMPLED_HOSTS, len(peers)))
        best = max(sample, key=_peer_rank, default=None)
        if best is not None and best.free_lookup_slots > 0:
            passed = [
                (s.host, f"{s.free_lookup_slots} free slots")
                for s in sample
                if s is not best
            ] + passed
            reason = f"{best.free_lookup_slots} free slots"
            return _route(RouteKind.PEER, best.host, reason, passed)
        passed = [(s.host, "no free slot") for s in sample] + passed
    if req.hops_between_regions > 0:
        return _route(
            RouteKind.WAIT, "", "was already forwarded between regions", passed
        )
    return _route_to_other_region(req, own, fresh, passed, link_cost, rng)


def reservation_hosts(
    need: Resources,
    own: CapacitySummary,
    summaries: Iterable[CapacitySummary],
    now: float,
    rng: random.Random,
    *,
    limit: int = MAX_RESERVATION_HOSTS,
) -> list[str]:
    """Returns the hosts of the region to ask for a reservation, in order.

    This host comes first, since asking it costs no message. The other hosts
    are ordered by best fit: the smallest sufficient free worker comes first,
    which keeps large free workers available for large tasks.

    Args:
        need: Resources of one task.
        own: Current capacity of this host.
        summaries: Latest summaries of the other live hosts.
        now: Current time, seconds since 1970.
        rng: Seeded generator. It shuffles hosts with an equal fit, so that
            shard homes do not all ask the same one.
        limit: Maximum number of hosts.
    """
    others = [
        s
        for s in summaries
        if s.region == own.region
        and s.host != own.host
        and now - s.at <= SUMMARY_MAX_AGE_S
        and fits(need, s.largest)
    ]
    rng.shuffle(others)
    others.sort(key=lambda s: -dominant_share(need, s.largest))
    first = [own] if fits(need, own.largest) else []
    return [s.host for s in (first + others)[:limit]]


def _route_to_other_region(req, own, fresh, passed, link_cost, rng):
    remote = [s for s in fresh if s.region != own.region]
    sample = rng.sample(remote, min(SAMPLED_HOSTS, len(remote)))
    local_cost = _wait_cost(own.queue_s, req, link_cost)
    costs = {
        s.host: _wait_cost(_remote_wait_s(s, link_cost), req, link_cost)
        + req.total_bytes * link_cost.cost_per_byte
        for s in sample
    }
    best = min(costs, key=costs.get, default=None)
    passed = [
        (host, f"costs {cost:.4g}")
        for host, cost in costs.items()
        if host != best
    ] + passed
    if best is not None and costs[best] < local_cost:
        passed.insert(0, ("", f"waiting at this host costs {local_cost:.4g}"))
        reason = f"costs {costs[best]:.4g}"
        return _route(RouteKind.REGION, best, reason, passed)
    if best is not None:
        passed.insert(0, (best, f"costs {costs[best]:.4g}"))
    return _route(RouteKind.WAIT, "", f"costs {local_cost:.4g}", passed)


def _route(kind, host, reason, passed):
    return Route(kind, host, reason, tuple(passed[:PASSED_OVER_LIMIT]))


def _remote_wait_s(summary, link_cost):
    queue_s = 0.0 if summary.free_lookup_slots > 0 else summary.queue_s
    return 2 * link_cost.latency_s + queue_s


def _wait_cost(wait_s, req, link_cost):
    missed = req.value if wait_s > req.time_left_s else 0.0
    return min(wait_s, req.time_left_s) * link_cost.waiting_cost_per_s + missed


def _peer_rank(summary):
    return (summary.free_lookup_slots, -summary.queue_s, summary.host)
