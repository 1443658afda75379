"""The bounds by which both sides know when a run is over.

An agent renews what runs for an entry only while it holds that entry's
grant, which counts from the sending of the ask: so an answer that is late
grants less, never more. What the agent does not renew ends with the
endpoint's lease.
"""

import msgspec

#: Share by which an endpoint's clock may run slow (the platform's figure).
CLOCK_DRIFT = 0.02
#: Share of the longest lease that an agent asks for: several renewals fit.
_LEASE_SHARE = 0.65
#: A run is started where this many times its expected time is left.
RUN_MARGIN = 2.0
#: Seconds added to a bound for timers that fire late.
_MARGIN_S = 0.1


class LeaseTiming(msgspec.Struct, frozen=True):
    """The lease rule's figures, all in seconds.

    The defaults suit endpoints that cut a lease down to one second and
    clients that repeat a job 1.3 s after its entry was lost: grant, stop
    and lease together end before that.
    """

    #: How far ahead an agent renews its endpoint's lease.
    lease_s: float = 0.65
    #: How long a grant lets an agent renew.
    grant_s: float = 0.6
    #: Between an agent's asks for a grant while it has runs.
    ask_every_s: float = 0.2
    #: The same while it has none.
    idle_ask_every_s: float = 0.3
    #: The same for an entry that seldom orders here (no home).
    far_ask_every_s: float = 0.45
    #: Between an entry's answers to those: some within ``redial_s``.
    idle_answer_every_s: float = 0.5
    #: Silence after which an agent opens a new stream to an entry.
    redial_s: float = 1.5
    #: Silence after which an entry gives up an agent's stream.
    silence_s: float = 0.7
    #: The same for an agent that is asked seldom and runs nothing for it:
    #: two asks went missing.
    far_silence_s: float = 1.2
    #: The longest that a stop takes at the endpoint.
    stop_s: float = 0.05
    #: How long an order to the endpoint may go without an answer, at most.
    order_timeout_s: float = 0.06

    @classmethod
    def within(cls, longest_lease_s: float, stop_s: float) -> "LeaseTiming":
        """Return the figures for an endpoint's bounds.

        :param longest_lease_s: the longest lease that it accepts
        :param stop_s: the longest that a stop takes there
        """
        lease_s = min(cls().lease_s, _LEASE_SHARE * longest_lease_s)
        return cls(lease_s=lease_s, stop_s=stop_s)

    @property
    def over_after_s(self) -> float:
        """From an entry's last grant until the agent's runs are over."""
        lease_s = self.lease_s * (1.0 + CLOCK_DRIFT)
        return self.grant_s + self.stop_s + lease_s + _MARGIN_S
