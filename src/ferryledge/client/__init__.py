"""Client that submits jobs and retries them where that is useful and safe."""

from ferryledge.client import _client
from ferryledge.client import _model

Client = _client.Client
ClientOptions = _client.ClientOptions
Job = _model.Job
Reply = _model.Reply
Task = _model.Task
UnreachableError = _client.UnreachableError

__all__ = [
    "Client",
    "ClientOptions",
    "Job",
    "Reply",
    "Task",
    "UnreachableError",
]
