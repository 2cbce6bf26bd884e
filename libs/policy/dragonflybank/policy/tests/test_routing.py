"""Tests of the route of lookups and reservations."""

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
    """Guards against endless forwards and against billed traffic in vain."""

    def test_peer_with_more_free_slots_is_taken(self):
        chosen = route([summary("a", slots=1), summary("b", slots=5)])
        self.assertThat(chosen.kind, Is(RouteKind.PEER))
        self.assertThat(chosen.host, Equals("b"))

    def test_old_summary_is_not_trusted(self):
        chosen = route([summary("a", slots=5, at=6.9)])
        self.assertThat(chosen.kind, Is(RouteKind.WAIT))

    def test_second_forward_in_a_region_is_not_made(self):
        peers = [summary("a", slots=5)]
        chosen = route(peers, RoutingRequest(hops_in_region=1))
        self.assertThat(chosen.kind, Is(RouteKind.WAIT))

    def test_second_forward_between_regions_is_not_made(self):
        chosen = route([summary("a", "wallonia", slots=5)])
        self.assertThat(chosen.kind, Is(RouteKind.REGION))
        far = [summary("a", "wallonia", slots=5)]
        chosen = route(far, RoutingRequest(hops_between_regions=1))
        self.assertThat(chosen.kind, Is(RouteKind.WAIT))

    def test_billed_bytes_that_cost_more_than_the_wait_are_not_sent(self):
        far = [summary("a", "wallonia", slots=5)]
        chosen = route(far, RoutingRequest(total_bytes=1_000_000))
        self.assertThat(chosen.kind, Is(RouteKind.WAIT))
        self.assertThat(chosen.passed_over[0][0], Equals("a"))

    def test_deadline_that_waiting_would_miss_outweighs_the_price(self):
        far = [summary("a", "wallonia", slots=5)]
        req = RoutingRequest(total_bytes=1_000_000, time_left_s=0.4, value=5.0)
        self.assertThat(route(far, req).kind, Is(RouteKind.REGION))


class TestHerd(testtools.TestCase):
    """Guards against all lookups going to the peer that looked best."""

    def test_two_choices_spread_lookups_that_see_the_same_summaries(self):
        peers = [summary(f"h{i}", slots=20 - i) for i in range(10)]
        rng = random.Random(9)
        hosts = collections.Counter(
            routing.route_lookup(LOOKUP, FULL, peers, 10.0, rng).host
            for _ in range(100)
        )
        best_only = 100
        self.assertThat(max(hosts.values()), LessThan(best_only / 3))


class TestOwnersToAsk(testtools.TestCase):
    """Guards against reservations asked for where there is no room."""

    def test_own_host_first_then_smallest_sufficient_room(self):
        rooms = {"own": 8, "large": 30, "small": 2, "close": 5}
        found = [
            CapacitySummary(n, "flanders", 10.0, largest=Resources(cores=c))
            for n, c in rooms.items()
        ]
        asked = routing.reservation_hosts(
            Resources(cores=4), found[0], found, 10.0, random.Random(1)
        )
        self.assertThat(asked, Equals(["own", "close", "large"]))
