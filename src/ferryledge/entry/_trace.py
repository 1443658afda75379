"""Serves the trace of an entry's decisions, for one job or as a stream."""

from collections import abc
import dataclasses
import json

import anyio

from ferryledge import core
from ferryledge import runtime

#: Notes buffered for each reader of the stream; while the buffer is full, new
#: notes are dropped.
_MAX_BUFFERED_NOTES = 1000
#: Start of the text of a note that names a submission of the job.
_SUBMISSION_PREFIX = "submission "


def _encode_line(note: core.Note) -> bytes:
    return json.dumps(dataclasses.asdict(note)).encode() + b"\n"


def explain(trace: core.Trace, job: str) -> runtime.HttpResponse:
    """Return the notes on a job and its submissions, ordered by time.

    :param trace: the trace of this entry
    :param job: a job as ``workspace/request_id``, or a submission
    """
    notes = trace.find(job)
    for note in list(notes):
        if note.text.startswith(_SUBMISSION_PREFIX):
            submission = note.text[len(_SUBMISSION_PREFIX) :].split(" ", 1)[0]
            notes += trace.find(submission)
    notes.sort(key=lambda note: note.at)
    return runtime.HttpResponse.json(
        200, [dataclasses.asdict(note) for note in notes]
    )


async def _stream(trace: core.Trace) -> abc.AsyncIterator[bytes]:
    send, receive = anyio.create_memory_object_stream[core.Note](
        _MAX_BUFFERED_NOTES
    )

    def buffer(note: core.Note) -> None:
        try:
            send.send_nowait(note)
        except anyio.WouldBlock:
            return

    stop_listening = trace.listen(buffer)
    try:
        async for note in receive:
            yield _encode_line(note)
    finally:
        stop_listening()
        send.close()
        receive.close()


def watch(trace: core.Trace) -> runtime.HttpResponse:
    """Return a response that streams new notes as lines of JSON."""
    return runtime.HttpResponse(
        200,
        b"",
        content_type="application/x-ndjson",
        stream=_stream(trace),
    )
