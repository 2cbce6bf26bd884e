"""Tests of the counts of what a leader handles in a cell of a given size."""

from dragonflybank.standins.cell.large_cell import count_leader_traffic


def test_all_jobs_of_a_busy_cell_complete_in_virtual_time():
    """Guards against rules of the cell that fail at size without any fault."""
    figures, traffic, _ = count_leader_traffic(
        executors=176, hosts=29, factor=0.6, duration_s=2.0, seed=1
    )
    assert figures.violations == []
    assert figures.completed == figures.accepted == figures.jobs > 0
    # No task is started a second time, and no start command is repeated.
    assert traffic.calls["start"] == figures.starts
    assert traffic.calls["stop"] == 0
