"""Settings, request bodies, drivers, logs and the platform's client.

Tests of timing run on a virtual clock.
"""

import json

import anyio
import click
from click import testing
import loguru
import pytest

from ferryledge import core
from ferryledge.net.tests import paused_clock
from ferryledge import runtime

run = paused_clock.run


def request(events):
    pending = iter(events)

    async def receive():
        for delay, event in pending:
            await anyio.sleep(delay)
            return {"type": "http.request", **event}
        await anyio.sleep_forever()

    return runtime.Request({"method": "POST"}, receive)


def test_body_in_chunks():
    chunked = request(
        [
            (0.1, {"body": b"ab", "more_body": True}),
            (0.1, {"body": b"c"}),
        ]
    )
    assert run(chunked.body) == b"abc"


@pytest.mark.parametrize(
    ("events", "status"),
    [
        ([(3.0, {"body": b"x", "more_body": True})] * 9, 408),
        ([(0.0, {"body": b"x" * 2**20, "more_body": True})] * 9, 413),
        ([(0.0, {"type": "http.disconnect"})], 400),
    ],
)
def test_body_that_is_slow_too_large_or_incomplete(events, status):
    with pytest.raises(runtime.BodyError) as error:
        run(request(events).body)
    assert error.value.status == status


@pytest.mark.parametrize(
    ("arguments", "variables"),
    [
        (["--zone", "north"], {}),
        (["--hall", "north"], {}),
        ([], {"FERRYLEDGE_ZONE": "north"}),
        ([], {"FERRYLEDGE_HALL": "north"}),
    ],
)
def test_zone_may_be_set_under_its_earlier_name(arguments, variables):
    @click.command()
    @runtime.settings_options(runtime.ProcessSettings)
    def program(**values):
        settings = runtime.load_settings(runtime.ProcessSettings, values)
        click.echo(settings.zone)

    options = ["--name", "a", "--peer-keys", "k" * 16, *arguments]
    result = testing.CliRunner().invoke(program, options, env=variables)
    assert result.output == "north\n"


def test_missing_zone_is_reported_under_its_current_name(capsys):
    values = {"name": "a", "peer_keys": "k" * 16}
    with pytest.raises(SystemExit):
        runtime.load_settings(runtime.ProcessSettings, values)
    assert "--zone (FERRYLEDGE_ZONE) is missing" in capsys.readouterr().err


def test_vm_list_may_use_the_earlier_name_of_a_zone():
    record = {"name": "a", "role": "entry", "host": "h", "port": 1}
    parse = runtime.VmRecord.model_validate
    assert parse({**record, "hall": "north"}) == parse(
        {**record, "zone": "north"}
    )


class PeriodicCore:
    """A core whose next tick is due ten seconds after the last one."""

    def __init__(self):
        self.ticks = []
        self.events = []

    def receive(self, now, event):
        self.events.append(event)

    def tick(self, now):
        self.ticks.append(round(now - self.start, 3))
        return []

    def wake_at(self):
        return (self.ticks[-1] if self.ticks else 0.0) + self.start + 10.0


def test_driver_ticks_when_due_and_once_for_several_events():
    periodic = PeriodicCore()

    async def main():
        periodic.start = anyio.current_time()
        driver = runtime.Driver(periodic, lambda action: None)
        async with anyio.create_task_group() as group:
            group.start_soon(driver.run)
            await anyio.sleep(15.0)
            for _ in range(3):
                driver.post(core.DrainRequested())
            await anyio.sleep(12.0)
            group.cancel_scope.cancel()

    run(main)
    assert periodic.ticks == [10.0, 15.0, 25.0]
    assert len(periodic.events) == 3


def test_log_lines_are_json_with_keyword_fields(capsys):
    runtime.configure_logging("info", "entry-1")
    loguru.logger.debug("unseen")
    loguru.logger.info("a {} with <tags>", "line", step="place", job="j-1")
    loguru.logger.remove()
    (line,) = capsys.readouterr().err.splitlines()
    record = json.loads(line)
    assert record["message"] == "a line with <tags>"
    assert (record["level"], record["step"], record["job"]) == (
        "info",
        "place",
        "j-1",
    )
    assert record["process"] == "entry-1"


def test_unreachable_platform_raises_error_with_step_and_peer():
    client = runtime.PlatformClient("http://127.0.0.1:9")
    with pytest.raises(runtime.PlatformError) as error:
        anyio.run(client.vms)
    assert error.value.step == "vms"
    assert error.value.peer == "http://127.0.0.1:9"
    with pytest.raises(runtime.AppendLostError):
        anyio.run(client.append, b"{}")
