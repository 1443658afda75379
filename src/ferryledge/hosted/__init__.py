"""The daemons as they run on the users' platform.

Thin shells: the decisions are those of :mod:`ferryledge.leases`, the
platform's names and calls those of :mod:`ferryledge.platform`.
"""
