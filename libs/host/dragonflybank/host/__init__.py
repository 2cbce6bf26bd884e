"""The scheduler host of dragonflybank.

A deployment has several scheduler hosts. Each of them owns some workers, is the
home of some job shards and serves callers of any team. In a cell, which
`dragonflybank.cell` implements, one elected host schedules all jobs instead.
"""
