"""What operators and strangers meet, on separate processes."""

import json
import pathlib
import socket
import subprocess
import sys

import pytest

from ferryledge.tests import cluster
from ferryledge.tests import load

BIN = pathlib.Path(sys.executable).parent
CONFIG = """
[[service]]
name = "lookup"
policy = "counter"
[[service]]
name = "hold"
repeatable = false
[[workspace]]
name = "shop"
[[policy]]
name = "counter"
urgency = "3 if tasks <= 4 else 1"
refuse = "'too many tasks' if tasks > 50 else ''"
"""
OTHER_WORKSPACE = "[[workspace]]\nname = 'other'\n"


@pytest.fixture(scope="module")
def processes(tmp_path_factory):
    folder = tmp_path_factory.mktemp("operators")
    started = cluster.ProcessCluster(folder, entries=2, agents=2)
    (folder / "config.toml").write_text(CONFIG)
    yield started
    started.stop()


def ferryledge(*arguments):
    done = subprocess.run(
        [BIN / "ferryledge", *arguments], capture_output=True, text=True
    )
    return done.returncode, done.stdout, done.stderr


def entries(processes):
    return [part for url in processes.urls for part in ("--entry", url)]


def publish(processes, *options):
    return ferryledge(
        "config",
        "publish",
        "--platform",
        processes.platform.url,
        "--author",
        "ann",
        "--reason",
        "counter first",
        *options,
        str(processes.folder / "config.toml"),
    )


def test_publish_history_status_and_races(processes):
    code, out, _ = publish(processes)
    assert (code, out.split(":")[0]) == (0, "version 2")
    code, out, _ = publish(processes)
    assert "nothing to change" in out
    (processes.folder / "config.toml").write_text(CONFIG + OTHER_WORKSPACE)
    code, _, err = publish(processes, "--base", "1")
    assert code == 1
    assert "publish again" in err
    _, out, _ = ferryledge(
        "config", "history", "--platform", processes.platform.url
    )
    assert "ann: counter first" in out
    deadline = 100
    while deadline:
        code, out, _ = ferryledge("config", "status", *entries(processes))
        if code == 0:
            break
        deadline -= 1
    assert out.count("version 2  lag 0") == 4


def test_zone_is_cordoned_and_taken_back(processes):
    platform = ("--platform", processes.platform.url)
    why = ("--author", "ann", "--reason", "power works")
    code, out, err = ferryledge("config", "cordon", *platform, *why, "north")
    assert (code, err) == (0, "")
    assert "in force" in out
    _, out, _ = ferryledge("config", "show", *platform)
    assert {"name": "north", "kind": "cordon"} in json.loads(out)["entities"]
    _, out, _ = ferryledge("config", "cordon", *platform, *why, "north")
    assert "nothing to change" in out
    code, _, _ = ferryledge("config", "uncordon", *platform, *why, "north")
    assert code == 0
    _, out, _ = ferryledge("config", "show", *platform)
    assert "cordon" not in {one["kind"] for one in json.loads(out)["entities"]}
    _, out, _ = ferryledge("config", "history", *platform)
    assert "ann: power works [cordon north]" in out
    assert "without cordon north" in out


def test_submit_explain_and_status(processes):
    code, out, _ = ferryledge(
        "submit",
        *entries(processes),
        "--workspace",
        "shop",
        "--service",
        "lookup",
        "--request-id",
        "why",
        '{"echo": 7}',
    )
    assert code == 0
    assert json.loads(out)["results"][0]["echo"] == 7
    _, out, _ = ferryledge(
        "explain", *entries(processes), "--workspace", "shop", "why"
    )
    for mechanism in ("routing", "admission", "placement", "answer"):
        assert mechanism in out
    code, out, _ = ferryledge("status", *entries(processes))
    assert "agent-1" in out


def test_watch_shows_decisions_as_they_happen(processes):
    watching = subprocess.Popen(
        [
            BIN / "ferryledge",
            "watch",
            "--entry",
            processes.urls[0],
            "--limit",
            "3",
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    jobs = load.make_jobs(40, seed=5)
    while watching.poll() is None:
        load.drive(processes.urls, jobs)
    assert len(watching.stdout.read().splitlines()) == 3


def post(processes, body):
    return cluster.call("POST", processes.urls[0] + "/v1/jobs", body)


GOOD = {
    "request_id": "b-1",
    "workspace": "shop",
    "service": "lookup",
    "tasks": [{"payload": {}}],
}


@pytest.mark.parametrize(
    ("change", "status", "told"),
    [
        ({"service": "none"}, 422, '"field": "service"'),
        ({"workspace": "none"}, 422, '"field": "workspace"'),
        ({"places": ["none"]}, 422, '"field": "places"'),
        ({"tasks": [{}] * 811}, 400, "tasks"),
        ({"tasks": [{}] * 60}, 429, "too many tasks"),
        ({"request_id": 7}, 400, "request_id"),
        ({"tasks": [{"payload": "x" * 5_000_000}]}, 413, "body"),
        ({"service": "hold"}, 428, "ticket"),
    ],
)
def test_bad_requests_say_why(processes, change, status, told):
    got, body = post(processes, GOOD | change)
    assert got == status
    assert told in json.dumps(body)


def test_a_stranger_on_the_port_gets_nothing_in(processes):
    entry = processes.processes["entry-1"]
    for sent in (b"", b"GET / HTTP/1.1\r\n\r\n", b"FLG1" + b"x" * 200):
        with socket.create_connection(("127.0.0.1", entry.peer_port)) as one:
            one.settimeout(10)
            one.sendall(sent)
            got = b""
            while chunk := one.recv(1000):
                got += chunk
        assert len(got) <= 20
    _, status = cluster.call("GET", entry.url + "/v1/status")
    assert status["streams_refused"] >= 1
    assert status["ready"]


def test_metrics_and_health(processes):
    entry = processes.processes["entry-1"]
    with socket.create_connection(("127.0.0.1", entry.http_port)) as one:
        one.sendall(
            b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
        )
        text = b""
        while chunk := one.recv(65536):
            text += chunk
    assert b"entry_config_version" in text
    assert cluster.call("GET", entry.url + "/health/ready")[0] == 200


@pytest.mark.parametrize(
    ("program", "arguments", "told"),
    [
        ("ferryledge-entry", ["--zone", "h"], "--name"),
        (
            "ferryledge-agent",
            ["--name", "a", "--zone", "h", "--slots", "0"],
            "--slots (FERRYLEDGE_SLOTS) is '0'",
        ),
        (
            "ferryledge-entry",
            ["--name", "a", "--zone", "h", "--peer-keys", "short"],
            "--peer-keys",
        ),
    ],
)
def test_a_wrong_setting_ends_with_one_line(program, arguments, told):
    base = ["--endpoint-url", "http://x:1", "--peer-keys", "k" * 16]
    if program == "ferryledge-entry":
        base = ["--platform-url", "http://x:1", "--peer-keys", "k" * 16]
    done = subprocess.run(
        [BIN / program, *base, *arguments], capture_output=True, text=True
    )
    assert done.returncode == 2
    assert len(done.stderr.splitlines()) == 1
    assert told in done.stderr


def test_a_lost_answer_to_a_publication_is_found_by_its_id(processes):
    text = CONFIG + "[[workspace]]\nname = 'lost-and-found'\n"
    (processes.folder / "config.toml").write_text(text)
    processes.control(log_lose_answers=True)
    code, out, err = publish(processes)
    processes.control(log_lose_answers=False)
    assert code == 0, err
    assert "looking for it" in err
    _, out, _ = ferryledge(
        "config", "show", "--platform", processes.platform.url
    )
    shown = json.loads(out)
    names = [one["name"] for one in shown["entities"]]
    assert names.count("lost-and-found") == 1
    ids = [one["id"] for one in shown["history"]]
    assert len(set(ids)) == len(ids) == shown["version"]


def test_publishing_while_the_log_is_down_says_so(processes):
    processes.control(log_down=True)
    code, _, err = publish(processes)
    processes.control(log_down=False)
    assert code == 1
    assert "error" in err.lower()
