"""Backoff of renewals while connections to the endpoint are refused.

Each of these calls opens a new connection.
"""

import pytest

from ferryledge.leases import _agent_events
from ferryledge.leases import _endpoint
from ferryledge.leases import _timing

_DOWN = _agent_events.CallFault.DOWN
_SILENT = _agent_events.CallFault.SILENT


@pytest.fixture
def link() -> _endpoint.EndpointLink:
    """Return a link to an endpoint of which nothing is known."""
    return _endpoint.EndpointLink(_timing.LeaseTiming(), 0.0)


def test_backoff_of_refused_calls_grows_to_its_limit(
    link: _endpoint.EndpointLink,
) -> None:
    waits = []
    for _ in range(6):
        waits.append(link.renewal(1.0).retry_s)
        link.failed(_DOWN)
    assert waits == sorted(waits)
    assert waits[0] < 0.05 and waits[-1] == waits[-2] == 0.25


def test_call_that_timed_out_is_repeated_without_backoff(
    link: _endpoint.EndpointLink,
) -> None:
    soon = link.renewal(1.0).retry_s
    for fault in (_DOWN, _DOWN, _SILENT):
        link.failed(fault)
    assert link.renewal(1.0).retry_s == soon


def test_answer_resets_the_backoff(
    link: _endpoint.EndpointLink,
) -> None:
    soon = link.renewal(1.0).retry_s
    link.failed(_DOWN)
    link.failed(_DOWN)
    link.renewed(1.0, 1.1)
    assert link.renewal(1.2).retry_s == soon
