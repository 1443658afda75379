"""Timing of leases and grants, shared by entries and agents.

An agent renews the runs of an entry only while it holds a grant from that
entry. A grant is valid from the time when the agent sent its request, so a
delayed answer shortens it. Runs that are not renewed end when the lease of the
endpoint expires. So an entry knows when a run must be over even if it can't
reach the agent.
"""

import msgspec

#: Share by which an endpoint's clock may run slow, as the platform specifies.
CLOCK_DRIFT = 0.02
#: Share of the longest lease that an agent asks for: several renewals fit.
_LEASE_SHARE = 0.65
#: Time that must be left before a shutdown to start a run, as a multiple of
#: the expected run time.
RUN_MARGIN = 2.0
#: Seconds of tolerance for timers that fire late.
_TIMER_TOLERANCE_S = 0.1


class LeaseTiming(msgspec.Struct, frozen=True):
    """Durations of the lease protocol, in seconds.

    The defaults suit endpoints that limit a lease to one second and clients
    that repeat a job 1.3 s after they lost its entry. Grant, stop and lease
    together end within that time.
    """

    #: Duration of the lease that an agent takes at its endpoint.
    lease_s: float = 0.65
    #: Duration of a grant, from the request on.
    grant_s: float = 0.6
    #: Interval between an agent's grant requests while it has runs.
    ask_every_s: float = 0.2
    #: Interval of the requests while the agent has no runs.
    idle_ask_every_s: float = 0.3
    #: Interval of the requests to a non-primary entry while the agent is idle.
    far_ask_every_s: float = 0.45
    #: Interval between an entry's answers to an idle agent; several fit into
    #: ``redial_s``.
    idle_answer_every_s: float = 0.5
    #: Silence after which an agent opens a new stream to an entry.
    redial_s: float = 1.5
    #: Silence after which an entry closes the stream of an agent.
    silence_s: float = 0.7
    #: The same for an idle agent to which the entry is not primary; two of its
    #: requests were lost by then.
    far_silence_s: float = 1.2
    #: Longest duration of a stop at the endpoint.
    stop_s: float = 0.05
    #: Longest time to wait for the endpoint's answer to an order.
    order_timeout_s: float = 0.06

    @classmethod
    def within(cls, longest_lease_s: float, stop_s: float) -> "LeaseTiming":
        """Return the timing for the limits of an endpoint.

        :param longest_lease_s: longest lease that it accepts, in seconds
        :param stop_s: longest duration of a stop there, in seconds
        """
        lease_s = min(cls().lease_s, _LEASE_SHARE * longest_lease_s)
        return cls(lease_s=lease_s, stop_s=stop_s)

    @property
    def over_after_s(self) -> float:
        """Seconds from an entry's last grant to the end of an agent's runs."""
        lease_s = self.lease_s * (1.0 + CLOCK_DRIFT)
        return self.grant_s + self.stop_s + lease_s + _TIMER_TOLERANCE_S
