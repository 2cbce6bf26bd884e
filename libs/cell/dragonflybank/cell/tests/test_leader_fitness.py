"""Tests of the fitness of hosts to lead a cell of a given size."""

import pytest

from dragonflybank.cell.leader_fitness import (
    HANDOVER_WINDOW_S,
    MAX_DELAY_S,
    UNFIT,
    HostCapacity,
    LeaderFitness,
    leader_need,
    shortfall,
)

# The smallest and the best hosts of two busy deployments.
SMALLEST = HostCapacity(cores=0.387, memory_mb=160, link_mbps=5, max_fds=1638)
BEST = HostCapacity(cores=2.15, memory_mb=552, link_mbps=100, max_fds=10_250)
EARLY_S = sum(HANDOVER_WINDOW_S) / 2


def make_fitness(capacity: HostCapacity, executors: int, *peers: float):
    fitness = LeaderFitness(capacity)
    fitness.executors = executors
    for number, peer in enumerate(peers):
        fitness.record_peer(f"host-{number}", peer)
    return fitness


@pytest.mark.parametrize("capacity", [SMALLEST, BEST, HostCapacity()])
def test_no_host_of_a_small_cell_is_delayed(capacity):
    """Guards against elections of small cells that take longer."""
    assert make_fitness(capacity, 24).candidacy_delay_s == 0
    assert LeaderFitness(capacity).candidacy_delay_s == 0


def test_the_delay_grows_with_what_is_lacking():
    """Guards against the election of a host that cannot hold the cell."""
    assert shortfall(BEST, 302) == 0
    assert shortfall(BEST, 1002) < shortfall(SMALLEST, 1002) <= 1
    delays = [make_fitness(SMALLEST, n).candidacy_delay_s for n in (24, 176)]
    assert 0 == delays[0] < delays[1] <= MAX_DELAY_S


@pytest.mark.parametrize(
    "field", ["cores", "memory_mb", "link_mbps", "max_fds"]
)
def test_each_resource_counts(field):
    """Guards against a leader without the one resource that binds."""
    half = getattr(leader_need(1002), field) / 2
    found = shortfall(HostCapacity(**{field: half}), 1002)
    assert found == pytest.approx(0.5)


def test_a_leader_hands_over_to_a_much_fitter_host_once():
    """Guards against a leadership that moves to and fro."""
    fitness = make_fitness(SMALLEST, 1002, 0.9, 0.1)
    assert fitness.should_hand_over(EARLY_S)
    fitness.record_handover()
    assert not fitness.should_hand_over(EARLY_S)


@pytest.mark.parametrize(
    ("capacity", "executors", "peer", "led_s"),
    [
        pytest.param(SMALLEST, 24, 0.0, EARLY_S, id="small cell"),
        pytest.param(SMALLEST, 1002, 0.6, EARLY_S, id="small gain"),
        pytest.param(SMALLEST, 1002, UNFIT, EARLY_S, id="earlier version"),
        pytest.param(SMALLEST, 1002, 0.0, 0.5, id="peers not known yet"),
        pytest.param(SMALLEST, 1002, 0.0, 60.0, id="work in progress"),
        pytest.param(SMALLEST, 0, 0.0, EARLY_S, id="size not known"),
        pytest.param(BEST, 302, 0.0, EARLY_S, id="fit"),
    ],
)
def test_a_leader_stays(capacity, executors, peer, led_s):
    """Guards against handovers that cost more than they gain."""
    fitness = make_fitness(capacity, executors, peer)
    assert not fitness.should_hand_over(led_s)


def test_only_present_peers_count():
    """Guards against a handover to a host that has gone."""
    fitness = make_fitness(SMALLEST, 1002, 0.0, 0.9)
    fitness.keep_peers(["host-1", "host-9"])
    assert not fitness.should_hand_over(EARLY_S)


def test_a_host_that_does_not_know_the_size_is_not_preferred():
    """Guards against a handover to a host that is no fitter."""
    assert LeaderFitness(BEST).announced_shortfall == UNFIT
    assert make_fitness(BEST, 302).announced_shortfall == 0
