"""Schedules jobs of several steps on the executors of a cell.

A cell is a group of hosts and the executors on which they run tasks. All hosts
answer callers and keep their jobs in the store. One of them is elected as
leader, reads the jobs from the store and starts all tasks.
"""
