"""Clients of the platform's store, VM list and workers.

Scheduler hosts use them. Hosts of a cell reach the users' platform through
`dragonflybank.adapter`, which shares only the HTTP client and the timeouts.
"""
