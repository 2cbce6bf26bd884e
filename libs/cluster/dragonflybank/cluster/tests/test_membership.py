"""Tests of the membership table."""

import attrs
import testtools
from testtools.matchers import Equals, HasLength, LessThan

from dragonflybank.cluster.entries import (
    HostEntry,
    HostStatus,
    entries_from_wire,
    entries_to_wire,
)
from dragonflybank.cluster.gossip import (
    FANOUT,
    ROUND_INTERVAL_S,
    gossip_message,
)
from dragonflybank.cluster.membership import (
    DEAD_AFTER_S,
    FORGET_AFTER_S,
    MAX_ENTRIES_PER_MESSAGE,
    Membership,
)
from dragonflybank.cluster.messages import Gossip, decode, encode
from dragonflybank.model.resources import Resources
from dragonflybank.model.topology import CapacitySummary

T0 = 1000.0
NORTH, SOUTH = "north", "south"


def _member(name="a", region=NORTH):
    return Membership(name, region, f"{name}:1", now=T0)


def _peer(name, counter, *, incarnation=5, region=NORTH, **kwargs):
    return HostEntry(
        name,
        incarnation,
        counter,
        region,
        **{"address": f"{name}:1", **kwargs},
    )


def _run(member, start, stop, receive_entries=None):
    """Ticks every half second and merges the entries that peers have sent."""
    now = start
    while now <= stop:
        member.tick(now)
        if receive_entries is not None:
            member.merge(receive_entries(now), now)
        now += 0.5
    return now - 0.5


def _live_peer(name, **kwargs):
    return lambda now: [_peer(name, int(now * 2), **kwargs)]


class TestFailureDetection(testtools.TestCase):
    """Guards against live hosts considered dead, and the other way round."""

    def test_host_whose_counter_stops_is_dead_after_three_seconds(self):
        member = _member()
        now = _run(member, T0, T0 + 10, _live_peer("b"))
        self.assertFalse(member.is_dead("b", now + DEAD_AFTER_S - 1.5))
        end = _run(member, now, now + DEAD_AFTER_S + 0.5)
        self.assertTrue(member.is_dead("b", end))
        self.assertThat(member.live_hosts(NORTH, end), Equals(("a",)))

    def test_repeated_counter_does_not_keep_a_host_live(self):
        member = _member()
        end = _run(member, T0, T0 + 5, lambda now: [_peer("b", 7)])
        self.assertTrue(member.is_dead("b", end))

    def test_old_entry_does_not_add_a_removed_host_again(self):
        member = _member()
        now = _run(member, T0, T0 + 2, _live_peer("b"))
        old = _peer("b", int(now * 2) - 1)
        end = _run(member, now, now + FORGET_AFTER_S + 5)
        self.assertIsNone(member.address_of("b"))
        corrections = member.merge([old], end)
        self.assertTrue(member.is_dead("b", end))
        self.assertThat(member.live_hosts(NORTH, end), Equals(("a",)))
        self.assertThat(corrections, HasLength(0))
        member.merge([_peer("b", 1, incarnation=6)], end)
        self.assertThat(member.live_hosts(NORTH, end), Equals(("a", "b")))

    def test_dead_hosts_are_not_sent_to_others(self):
        member = _member()
        now = _run(member, T0, T0 + 2, _live_peer("b"))
        end = _run(member, now, now + 5)
        sent = [e.host for e in member.entries_to_send(end)]
        self.assertThat(sent, Equals(["a"]))

    def test_remote_host_stays_live_between_rounds_across_regions(self):
        member = _member()
        now = _run(member, T0, T0 + 2, _live_peer("r", region=SOUTH))
        end = _run(member, now, now + 8)
        self.assertFalse(member.is_dead("r", end))
        end = _run(member, end, now + 13)
        self.assertTrue(member.is_dead("r", end))
        self.assertThat(member.region_silent_s(SOUTH, end), Equals(1.0))

    def test_no_other_host_is_dead_after_a_pause_of_this_process(self):
        member = _member()
        now = _run(member, T0, T0 + 10, _live_peer("b"))
        resumed_at = now + 60
        self.assertFalse(member.is_dead("b", resumed_at))
        before = member.own_entry.incarnation
        member.tick(resumed_at)
        self.assertThat(
            member.live_hosts(NORTH, resumed_at), Equals(("a", "b"))
        )
        self.assertThat(member.own_entry.incarnation, Equals(before + 1))
        self.assertThat(member.incarnation_raises, Equals(1))

    def test_host_that_was_dead_before_a_pause_stays_dead(self):
        member = _member()
        now = _run(member, T0, T0 + 2, _live_peer("b"))
        now = _run(member, now, now + 5)
        member.tick(now + 60)
        self.assertTrue(member.is_dead("b", now + 60))


class TestIncarnations(testtools.TestCase):
    """Guards against old entries that replace a host's current state."""

    def test_sender_with_an_old_incarnation_is_corrected(self):
        member = _member()
        member.merge([_peer("b", 3, incarnation=9)], T0)
        corrections = member.merge([_peer("b", 50, incarnation=8)], T0 + 1)
        self.assertThat(
            [(c.status, c.incarnation) for c in corrections],
            Equals([(HostStatus.DEAD, 9)]),
        )
        restarted = Membership("b", NORTH, "b:1", now=8.0)
        restarted.merge(corrections, 9.0)
        self.assertThat(restarted.own_entry.incarnation, Equals(10))

    def test_host_wrongly_listed_as_leaving_raises_its_incarnation(self):
        member = _member()
        wrong = attrs.evolve(member.own_entry, status=HostStatus.LEAVING)
        member.merge([_peer("b", 1), wrong], T0)
        self.assertThat(
            member.own_entry.incarnation, Equals(wrong.incarnation + 1)
        )
        self.assertThat(member.own_entry.status, Equals(HostStatus.LIVE))

    def test_host_that_was_considered_dead_is_informed(self):
        member = _member()
        now = _run(member, T0, T0 + 2, _live_peer("b"))
        now = _run(member, now, now + 5)
        back = _peer("b", int(now * 2) + 9)
        corrections = member.merge([back], now)
        self.assertThat(corrections[0].status, Equals(HostStatus.DEAD))
        self.assertThat(member.live_hosts(NORTH, now), Equals(("a", "b")))

    def test_leaving_host_is_not_among_live_hosts(self):
        member = _member()
        member.merge([_peer("b", 1)], T0)
        member.merge([_peer("b", 2, status=HostStatus.LEAVING)], T0)
        self.assertThat(member.live_hosts(NORTH, T0), Equals(("a",)))
        self.assertFalse(member.is_dead("b", T0))


class TestContents(testtools.TestCase):
    """Guards against unbounded messages and stale summaries."""

    def test_message_has_a_maximum_size_and_the_newest_entries(self):
        member = _member()
        for i in range(40):
            member.merge([_peer(f"h{i:02}", 1)], T0 + i / 100)
        sent = [e.host for e in member.entries_to_send(T0 + 0.5)]
        self.assertThat(sent, HasLength(MAX_ENTRIES_PER_MESSAGE))
        self.assertThat(sent[:3], Equals(["a", "h39", "h38"]))

    def test_full_gossip_stays_below_4_kb_a_second(self):
        member = Membership("north-host-10", NORTH, "10.1.2.3:7000", now=T0)
        free = Resources(300.5, 1e6, 12, 60, 500)
        member.update_own_entry(
            summary=CapacitySummary("x", NORTH, T0, 60, free, free, 0.1),
            generation=40_000,
        )
        for i in range(40):
            member.merge(
                [
                    _peer(
                        f"north-host-{i + 11}",
                        50_000,
                        incarnation=1_800_000_000,
                        region=(NORTH, SOUTH)[i % 2],
                        generation=40_000,
                        address=f"10.1.2.{i}:7000",
                    )
                ],
                T0,
            )
        size = len(encode(gossip_message(member.entries_to_send(T0))))
        self.assertThat(size * FANOUT / ROUND_INTERVAL_S, LessThan(4096))

    def test_old_summaries_are_not_returned(self):
        member = _member()
        summary = CapacitySummary("b", NORTH, T0, 5, Resources(cores=3))
        member.merge([_peer("b", 1, summary=summary)], T0)
        self.assertThat(member.summaries(T0 + 1, 2.0), Equals((summary,)))
        self.assertThat(member.summaries(T0 + 2.5, 2.0), Equals(()))

    def test_entries_are_equal_after_encoding_and_decoding(self):
        summary = CapacitySummary(
            "b",
            NORTH,
            T0,
            5,
            Resources(3, 1024, 1, 6, 60),
            Resources(2, 512, 1, 3, 30),
            0.25,
        )
        entry = _peer("b", 7, generation=12, summary=summary)
        for address in ("10.1.2.3:7000", "b:1"):
            sent = attrs.evolve(entry, address=address)
            relayed = _peer("c", 3, status=HostStatus.LEAVING)
            wire = entries_to_wire((sent, relayed))
            read = entries_from_wire(
                decode(encode(Gossip(wire)), Gossip).unwrap().entries
            )
            self.assertThat(read, Equals((sent, relayed)))

    def test_relayed_entry_keeps_the_summary_and_its_time(self):
        member = _member()
        summary = CapacitySummary("b", NORTH, T0, 5, Resources(cores=3))
        member.merge([_peer("b", 1, summary=summary)], T0)
        member.merge([_peer("c", 1), _peer("b", 2)], T0 + 2)
        self.assertThat(member.summaries(T0 + 2, 3.0), Equals((summary,)))
        self.assertThat(member.summaries(T0 + 3.5, 3.0), Equals(()))

    def test_hosts_that_are_not_live_are_join_candidates(self):
        member = _member()
        member.set_join_candidates({"a": "a:1", "b": "b:1", "c": "c:1"})
        self.assertThat(member.join_candidates(T0), Equals(("b:1", "c:1")))
        member.merge([_peer("b", 1)], T0)
        self.assertThat(member.join_candidates(T0), Equals(("c:1",)))
