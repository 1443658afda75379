"""Shows decisions to operators: one job's, or all as they happen."""

from collections import abc
import dataclasses
import json

import anyio

from ferryledge import core
from ferryledge import runtime

#: Notes that wait for a slow watcher; further ones are dropped.
_BUFFER = 1000
_SUBMISSION = "submission "


def _line(note: core.Note) -> bytes:
    return json.dumps(dataclasses.asdict(note)).encode() + b"\n"


def explain(trace: core.Trace, job: str) -> runtime.HttpResponse:
    """Return the notes on a job and on its submissions here."""
    notes = trace.find(job)
    for note in list(notes):
        if note.text.startswith(_SUBMISSION):
            submission = note.text[len(_SUBMISSION) :].split(" ", 1)[0]
            notes += trace.find(submission)
    notes.sort(key=lambda note: note.at)
    return runtime.HttpResponse.json(
        200, [dataclasses.asdict(note) for note in notes]
    )


async def _stream(trace: core.Trace) -> abc.AsyncIterator[bytes]:
    send, receive = anyio.create_memory_object_stream[core.Note](_BUFFER)

    def listener(note: core.Note) -> None:
        try:
            send.send_nowait(note)
        except anyio.WouldBlock:
            return

    stop = trace.listen(listener)
    try:
        async for note in receive:
            yield _line(note)
    finally:
        stop()
        send.close()
        receive.close()


def watch(trace: core.Trace) -> runtime.HttpResponse:
    """Return a response that streams all notes as JSON lines."""
    return runtime.HttpResponse(
        200,
        b"",
        content_type="application/x-ndjson",
        stream=_stream(trace),
    )
