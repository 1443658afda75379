"""A client that submits jobs as the platform's clients do."""

import dataclasses
import enum
import json


from ferryledge import net


class ClientState(enum.Enum):
    """The result of a job as its client sees it."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    #: The job never runs.
    REFUSED = "refused"
    #: The job may have run; the client may submit it again.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAnswer:
    """The result of one submission."""

    state: ClientState
    status: int


async def submit(
    caller: net.HttpClient,
    queue: str,
    job: str,
    spec: str,
    count: int,
    cpu_millis: int,
    estimate_ms: int,
    deadline_s: float,
) -> ClientAnswer:
    """Submit a job of one step and wait for the answer.

    :param caller: calls an entry
    :param queue: the queue's name
    :param job: the client's name for the job
    :param spec: description of the work, passed to the endpoints
    :param count: number of tasks
    :param cpu_millis: CPU of one task, in thousandths of a core
    :param estimate_ms: the client's estimate of one task's run time
    :param deadline_s: seconds that the client waits
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
