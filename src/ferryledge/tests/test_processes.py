"""The whole path as separate processes, and kills, freezes, cuts."""

import signal
import time

import pytest

from ferryledge import client
from ferryledge.tests import cluster
from ferryledge.tests import load
from ferryledge.tests import relay

OPTIONS = client.ClientOptions(
    max_attempts=8, retry_burst=100_000.0, timeout_s=40.0
)


@pytest.fixture
def full_size(tmp_path):
    """The users' size of today: three entries, eleven agents."""
    started = cluster.ProcessCluster(tmp_path, entries=3, agents=11)
    yield started
    started.stop()


@pytest.fixture
def processes(tmp_path):
    started = cluster.ProcessCluster(tmp_path, entries=3, agents=4)
    yield started
    started.stop()


def drive(processes, jobs, meanwhile=None, at_once=100):
    sent = load.drive(processes.urls, jobs, at_once, OPTIONS, meanwhile)
    journal = processes.journal()
    load.check(sent, journal)
    return sent


def test_a_burst_is_answered_whole(full_size):
    jobs = load.make_jobs(2000, seed=1)
    sent = drive(full_size, jobs, at_once=200)
    assert [one for one in sent if not one.reply.complete] == []
    assert len(full_size.journal()) == sum(len(job.tasks) for job in jobs)


def kill_entry(processes):
    """The entry that is killed comes back on the same address."""
    processes.processes["entry-1"].signal(signal.SIGKILL)
    processes.processes["entry-1"].wait()
    time.sleep(0.5)
    processes.start_entry(0)


def kill_agent(processes):
    processes.processes["agent-2"].signal(signal.SIGKILL)
    processes.processes["agent-2"].wait()
    time.sleep(0.5)
    processes.start_agent(1)


def kill_endpoint(processes):
    processes.processes["endpoint-3"].signal(signal.SIGKILL)


def freeze_entry(processes):
    freeze(processes, "entry-2", 3.0)


def freeze_agent(processes):
    freeze(processes, "agent-4", 3.0)


def freeze(processes, name, seconds):
    processes.processes[name].signal(signal.SIGSTOP)
    time.sleep(seconds)
    processes.processes[name].signal(signal.SIGCONT)


def stop_log(processes):
    processes.control(log_down=True, vms_down=True)


def empty_list(processes):
    processes.control(vms_empty=True)


FAULTS = [
    kill_entry,
    kill_agent,
    kill_endpoint,
    freeze_entry,
    freeze_agent,
    stop_log,
    empty_list,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda one: one.__name__)
def test_promises_hold_under(processes, fault):
    jobs = load.make_jobs(500, seed=2, sleep_ms=(10, 60))

    def meanwhile():
        time.sleep(0.7)
        fault(processes)

    sent = drive(processes, jobs, meanwhile)
    complete = sum(one.reply.complete for one in sent)
    assert complete >= 0.8 * len(sent)


@pytest.mark.parametrize("name", ["entry-1", "entry-3", "agent-1"])
def test_a_planned_stop_cuts_off_nothing(processes, name):
    jobs = load.make_jobs(400, seed=3, sleep_ms=(10, 60))
    codes = []

    def meanwhile():
        time.sleep(0.7)
        processes.processes[name].signal(signal.SIGTERM)
        codes.append(processes.processes[name].wait())

    sent = drive(processes, jobs, meanwhile)
    assert codes == [0]
    assert [one for one in sent if not one.reply.complete] == []


def test_promises_hold_when_streams_are_cut(processes):
    """All streams between entries, and to the agents, break at once."""
    relays = []
    for vm in processes.vms:
        relays.append(relay.Relay(vm["port"]))
        vm["port"] = relays[-1].port
    processes.list_vms()
    processes.until_ready()
    jobs = load.make_jobs(500, seed=6, sleep_ms=(10, 60))

    def meanwhile():
        for _ in range(3):
            time.sleep(0.5)
            for one in relays:
                one.cut()

    sent = drive(processes, jobs, meanwhile)
    for one in relays:
        one.close()
    complete = sum(one.reply.complete for one in sent)
    assert complete >= 0.8 * len(sent)


def test_a_second_signal_ends_at_once_and_says_what_it_cut_off(processes):
    entry = processes.processes["entry-1"]
    job = client.Job("shop", "lookup", (client.Task({"sleep_ms": 4000}),))

    def meanwhile():
        time.sleep(0.5)
        entry.signal(signal.SIGTERM)
        time.sleep(0.3)
        entry.signal(signal.SIGTERM)

    load.drive((entry.url,), [job], 1, client.ClientOptions(1), meanwhile)
    assert entry.wait() == 1
    log = (processes.folder / "entry-1.log").read_text()
    assert "cut off: 1 jobs of clients" in log
