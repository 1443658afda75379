"""A client that submits jobs as the platform's clients do."""

import dataclasses
import enum
import json


from ferryledge import net


class ClientState(enum.Enum):
    """What a client learned of its job."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    #: It was refused: it never runs.
    REFUSED = "refused"
    #: It may have run; the client may send it again.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAnswer:
    """The end of one try."""

    state: ClientState
    status: int


async def submit(
    caller: net.HttpCaller,
    queue: str,
    job: str,
    spec: str,
    count: int,
    cpu_millis: int,
    estimate_ms: int,
    deadline_s: float,
) -> ClientAnswer:
    """Submit a job and wait for its answer.

    :param caller: the connection to an entry; it stays open between calls
    :param queue: the queue's name
    :param job: the client's name for the job
    :param spec: what the endpoints are to run
    :param count: number of tasks
    :param cpu_millis: what one of them needs
    :param estimate_ms: its run time as the client guesses it
    :param deadline_s: how long the client waits
    """
    body = {
        "Spec": spec,
        "Steps": [
            {
                "Count": count,
                "Cpu": cpu_millis,
                "MemMb": 64,
                "EstimateMs": estimate_ms,
            }
        ],
        "BestEffort": True,
    }
    headers = [
        ("host", "desk.example"),
        ("deadline-ms", str(int(deadline_s * 1000))),
    ]
    try:
        response = await caller.call(
            "POST",
            f"/{queue}/{job}",
            json.dumps(body).encode(),
            headers,
            answer_s=deadline_s,
        )
    except net.CallError:
        return ClientAnswer(ClientState.UNKNOWN, 0)
    match response.status:
        case 200:
            state = ClientState(json.loads(response.content)["State"])
        case 429 | 503:
            state = ClientState.REFUSED
        case _:
            state = ClientState.UNKNOWN
    return ClientAnswer(state, response.status)
