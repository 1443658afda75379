"""The cluster of separate processes that other tests run on."""

import socket

import pytest

from ferryledge.tests import cluster

#: More than enough for two alike when each is drawn anew.
_MANY = 3000


def low_ports():
    """Return the first port that the system gives out by itself."""
    with open("/proc/sys/net/ipv4/ip_local_port_range") as limits:
        return int(limits.read().split()[0])


def test_no_port_is_given_twice():
    """Two daemons of one cluster were given the same port.

    A port was drawn from those that the system gives out by itself, and
    let go until the daemon took it half a second later: 61 of 2,000 draws
    of 28 ports had one twice. The second daemon ended, and the start of
    the cluster failed thirty seconds later, "entry-1 is not ready".
    """
    ports = [cluster.free_ports(1)[0] for _ in range(_MANY)]
    assert len(set(ports)) == _MANY


def test_no_stream_takes_a_port_before_its_daemon():
    """A stream that was dialled, or a stand-in, could hold it, too."""
    assert max(cluster.free_ports(100)) < low_ports()


def test_a_port_in_use_is_passed_over():
    (port,) = cluster.free_ports(1)
    with socket.socket() as taken:
        taken.bind((cluster.HOST, port + 1))
        assert port + 1 not in cluster.free_ports(3)


def test_a_daemon_that_ended_is_named_with_its_last_lines(
    tmp_path, monkeypatch
):
    """Waiting on for one that has ended says nothing of the cause."""
    taken = socket.socket()
    taken.bind((cluster.HOST, 0))
    port = taken.getsockname()[1]
    monkeypatch.setattr(cluster, "free_ports", lambda count: [port] * count)
    with taken, pytest.raises(AssertionError) as failure:
        cluster.ProcessCluster(tmp_path, entries=1, agents=0)
    assert "entry-1 ended with" in str(failure.value)
    assert "address already in use" in str(failure.value).lower()
