"""The entry and agent daemons that run on the users' platform.

They connect the scheduling cores of :mod:`ferryledge.leases` to the network
and to the platform, whose formats and calls :mod:`ferryledge.platform` holds.
"""
