"""Sets up logging as JSON lines."""

from collections import abc
import json
import logging
import sys
import typing

import loguru

#: Fields that come first in a line, after the message.
_LEADING_KEYS = ("step", "peer", "job", "task")


def _format_line(record: typing.Any) -> str:
    extra = record["extra"]
    line: dict[str, object] = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name.lower(),
        "message": record["message"],
    }
    line.update({key: extra[key] for key in _LEADING_KEYS if key in extra})
    line.update({key: val for key, val in extra.items() if key not in line})
    if record["exception"] is not None:
        line["error"] = repr(record["exception"].value)
    return json.dumps(line, default=str)


def _make_writer(sink: typing.TextIO) -> abc.Callable[[typing.Any], None]:
    """Return a loguru sink that writes the record of a message as a line.

    The line is not passed to loguru as a format, since loguru would parse
    each new format for colour tags.
    """

    def write(message: typing.Any) -> None:
        sink.write(_format_line(message.record) + "\n")

    return write


def configure_logging(
    level: str, process: str, sink: typing.TextIO | None = None
) -> None:
    """Configure logging for this process.

    :param level: the lowest level to log: ``debug``, ``info``, ``warning``
        or ``error``
    :param process: name of the process, which is added to each line
    :param sink: the stream to write to; defaults to standard error
    """
    # uvicorn's own log repeats what the daemon logs.
    logging.getLogger("uvicorn.error").disabled = True
    loguru.logger.remove()
    loguru.logger.configure(extra={"process": process})
    loguru.logger.add(
        _make_writer(sink or sys.stderr),
        level=level.upper(),
        format="{message}",
        catch=False,
    )
