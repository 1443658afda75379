"""A dispatcher for sub-second tasks.

The daemons live in :mod:`ferryledge.entry` and :mod:`ferryledge.agent`.
The coordination parts that they use can be embedded without them:
:mod:`ferryledge.configlog`, :mod:`ferryledge.ledger`,
:mod:`ferryledge.placement`, :mod:`ferryledge.health` and
:mod:`ferryledge.limits`.
"""

__version__ = "0.1.0"
