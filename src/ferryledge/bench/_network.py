"""Distances that all strategies share, in seconds."""

#: One way between processes.
HOP_S = 0.0005
#: One way between a client and an entry.
CLIENT_HOP_S = 0.003
#: There and back of a request that meets a free endpoint.
ROUND_TRIP_S = 2 * (HOP_S + CLIENT_HOP_S)
#: How much slower a slow endpoint is.
SLOW_FACTOR = 4.0
#: How long a frozen endpoint stays frozen.
FREEZE_S = 10.0
#: Share of the run after which the fault strikes.
FAULT_AT = 0.3
