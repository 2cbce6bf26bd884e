"""Tests of the routing of lookups and reservations."""

import collections
import random

import testtools
from testtools.matchers import Equals, Is, LessThan

from dragonflybank.model.resources import Resources
from dragonflybank.model.topology import CapacitySummary
from dragonflybank.policy import routing
from dragonflybank.policy.routing import RouteKind, RoutingRequest

FULL = CapacitySummary("own", "flanders", at=10.0, queue_s=0.5)
LOOKUP = RoutingRequest()


def summary(host, region="flanders", *, slots=0, at=10.0, queue_s=0.0):
    return CapacitySummary(
        host, region, at=at, free_lookup_slots=slots, queue_s=queue_s
    )


def route(summaries, req=LOOKUP):
    rng = random.Random(1)
    return routing.route_lookup(req, FULL, summaries, 10.0, rng)


class TestRouteLookup(testtools.TestCase):
    """Guards against endless forwarding and needless traffic that is billed."""

    def test_peer_with_more_free_slots_is_chosen(self):
        chosen = route([summary("a", slots=1), summary("b", slots=5)])
        self.assertThat(chosen.kind, Is(RouteKind.PEER))
        self.assertThat(chosen.host, Equals("b"))

    def test_stale_summary_is_ignored(self):
        chosen = route([summary("a", slots=5, at=6.9)])
        self.assertThat(chosen.kind, Is(RouteKind.WAIT))

    def test_lookup_is_forwarded_at_most_once_within_a_region(self):
        peers = [summary("a", slots=5)]
        chosen = route(peers, RoutingRequest(hops_in_region=1))
        self.assertThat(chosen.kind, Is(RouteKind.WAIT))

    def test_lookup_is_forwarded_at_most_once_between_regions(self):
        chosen = route([summary("a", "wallonia", slots=5)])
        self.assertThat(chosen.kind, Is(RouteKind.REGION))
        far = [summary("a", "wallonia", slots=5)]
        chosen = route(far, RoutingRequest(hops_between_regions=1))
        self.assertThat(chosen.kind, Is(RouteKind.WAIT))

    def test_lookup_waits_if_the_link_costs_more_than_waiting(self):
        far = [summary("a", "wallonia", slots=5)]
        chosen = route(far, RoutingRequest(total_bytes=1_000_000))
        self.assertThat(chosen.kind, Is(RouteKind.WAIT))
        self.assertThat(chosen.passed_over[0][0], Equals("a"))

    def test_missed_deadline_outweighs_the_link_cost(self):
        far = [summary("a", "wallonia", slots=5)]
        req = RoutingRequest(total_bytes=1_000_000, time_left_s=0.4, value=5.0)
        self.assertThat(route(far, req).kind, Is(RouteKind.REGION))


class TestLoadBalance(testtools.TestCase):
    """Guards against sending all lookups to the peer that looks best."""

    def test_two_choices_spread_lookups_with_the_same_summaries(self):
        peers = [summary(f"h{i}", slots=20 - i) for i in range(10)]
        rng = random.Random(9)
        hosts = collections.Counter(
            routing.route_lookup(LOOKUP, FULL, peers, 10.0, rng).host
            for _ in range(100)
        )
        best_only = 100
        self.assertThat(max(hosts.values()), LessThan(best_only / 3))


class TestReservationHosts(testtools.TestCase):
    """Guards against reservation requests to hosts without resources."""

    def test_own_host_is_first_then_the_best_fit(self):
        free_cores = {"own": 8, "large": 30, "small": 2, "close": 5}
        found = [
            CapacitySummary(n, "flanders", 10.0, largest=Resources(cores=c))
            for n, c in free_cores.items()
        ]
        asked = routing.reservation_hosts(
            Resources(cores=4), found[0], found, 10.0, random.Random(1)
        )
        self.assertThat(asked, Equals(["own", "close", "large"]))
