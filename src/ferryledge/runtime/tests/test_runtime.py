"""Bodies, clocks, logs: the shells' parts, on a clock that tests move."""

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
    waiting = iter(events)

    async def receive():
        for delay, event in waiting:
            await anyio.sleep(delay)
            return {"type": "http.request", **event}
        await anyio.sleep_forever()

    return runtime.Request({"method": "POST"}, receive)


def test_a_body_in_pieces():
    asked = request(
        [
            (0.1, {"body": b"ab", "more_body": True}),
            (0.1, {"body": b"c"}),
        ]
    )
    assert run(asked.body) == b"abc"


@pytest.mark.parametrize(
    ("events", "status"),
    [
        ([(3.0, {"body": b"x", "more_body": True})] * 9, 408),
        ([(0.0, {"body": b"x" * 2**20, "more_body": True})] * 9, 413),
        ([(0.0, {"type": "http.disconnect"})], 400),
    ],
)
def test_a_body_that_is_slow_large_or_cut_off(events, status):
    with pytest.raises(runtime.BodyError) as caught:
        run(request(events).body)
    assert caught.value.status == status


@pytest.mark.parametrize(
    ("arguments", "variables"),
    [
        (["--zone", "north"], {}),
        (["--hall", "north"], {}),
        ([], {"FERRYLEDGE_ZONE": "north"}),
        ([], {"FERRYLEDGE_HALL": "north"}),
    ],
)
def test_a_zone_may_be_set_under_its_earlier_name(arguments, variables):
    @click.command()
    @runtime.settings_options(runtime.ProcessSettings)
    def program(**values):
        settings = runtime.load_settings(runtime.ProcessSettings, values)
        click.echo(settings.zone)

    given = ["--name", "a", "--peer-keys", "k" * 16, *arguments]
    result = testing.CliRunner().invoke(program, given, env=variables)
    assert result.output == "north\n"


def test_a_missing_zone_is_asked_for_under_its_name(capsys):
    given = {"name": "a", "peer_keys": "k" * 16}
    with pytest.raises(SystemExit):
        runtime.load_settings(runtime.ProcessSettings, given)
    assert "--zone (FERRYLEDGE_ZONE) is missing" in capsys.readouterr().err


def test_the_list_may_use_the_earlier_name_of_a_zone():
    record = {"name": "a", "role": "entry", "host": "h", "port": 1}
    read = runtime.VmRecord.model_validate
    assert read({**record, "hall": "north"}) == read(
        {**record, "zone": "north"}
    )


class Beat:
    """A core that wants to tick every ten seconds."""

    def __init__(self):
        self.ticks = []
        self.seen = []

    def receive(self, now, event):
        self.seen.append(event)

    def tick(self, now):
        self.ticks.append(round(now - self.start, 3))
        return []

    def wake_at(self):
        return (self.ticks[-1] if self.ticks else 0.0) + self.start + 10.0


def test_a_driver_ticks_when_due_and_once_for_many_events():
    beat = Beat()

    async def main():
        beat.start = anyio.current_time()
        driver = runtime.Driver(beat, lambda action: None)
        async with anyio.create_task_group() as group:
            group.start_soon(driver.run)
            await anyio.sleep(15.0)
            for _ in range(3):
                driver.post(core.DrainRequested())
            await anyio.sleep(12.0)
            group.cancel_scope.cancel()

    run(main)
    assert beat.ticks == [10.0, 15.0, 25.0]
    assert len(beat.seen) == 3


def test_logs_are_json_lines_with_their_fields(capsys):
    runtime.configure_logging("info", "entry-1")
    loguru.logger.debug("unseen")
    loguru.logger.info("a {} with <tags>", "line", step="place", job="j-1")
    loguru.logger.remove()
    (line,) = capsys.readouterr().err.splitlines()
    told = json.loads(line)
    assert told["message"] == "a line with <tags>"
    assert (told["level"], told["step"], told["job"]) == (
        "info",
        "place",
        "j-1",
    )
    assert told["process"] == "entry-1"


def test_a_platform_that_is_not_there_is_an_error_with_step_and_peer():
    client = runtime.PlatformClient("http://127.0.0.1:9")
    with pytest.raises(runtime.PlatformError) as caught:
        anyio.run(client.vms)
    assert caught.value.step == "vms"
    assert caught.value.peer == "http://127.0.0.1:9"
    with pytest.raises(runtime.AppendLostError):
        anyio.run(client.append, b"{}")
