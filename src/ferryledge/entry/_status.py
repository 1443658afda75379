"""The metrics and the status document of an entry."""

import typing


from ferryledge import core
from ferryledge import outcomes
from ferryledge import runtime


class AnswerCounter:
    """Counts answers to clients by outcome.

    :param metrics: registry for the counter; without one, nothing is counted
    """

    def __init__(self, metrics: runtime.Metrics | None) -> None:
        self._answers = None
        if metrics is not None:
            self._answers = metrics.counter(
                "answers", "Answers to clients, by outcome."
            )

    def count(self, outcome: outcomes.JobOutcome) -> None:
        """Count one answer."""
        if self._answers is not None:
            tag = outcomes.tag_of(outcome)
            self._answers.add(1, {"outcome": tag})


def add_gauges(
    metrics: runtime.Metrics, entry: core.EntryCore, mesh: runtime.Mesh
) -> None:
    """Register the gauges of an entry, which are read at each scrape."""
    metrics.gauge(
        "jobs_open",
        "Jobs whose clients wait.",
        lambda: float(entry.front.jobs),
    )
    metrics.gauge(
        "jobs_placed",
        "Jobs that this entry schedules.",
        lambda: float(entry.scheduler.jobs),
    )
    metrics.gauge(
        "tasks_waiting",
        "Tasks that wait for a slot.",
        lambda: float(entry.scheduler.waiting),
    )
    metrics.gauge(
        "slots_bound",
        "Slots in use.",
        lambda: float(entry.scheduler.table.bound),
    )
    metrics.gauge(
        "endpoints_usable",
        "Endpoints that take work.",
        lambda: float(sum(row.usable for row in entry.scheduler.table)),
    )
    metrics.gauge(
        "config_version",
        "Version of the configuration in force.",
        lambda: float(entry.rulebook.version),
    )
    metrics.gauge(
        "policy_failures",
        "Failures of policies' programs.",
        lambda: float(sum(entry.rulebook.failures.values())),
    )
    metrics.gauge(
        "streams_refused",
        "Streams refused for lack of a key.",
        lambda: float(mesh.refused),
    )
    metrics.gauge(
        "messages_sent",
        "Messages sent to other processes.",
        lambda: float(mesh.messages_sent),
    )


def describe(
    entry: core.EntryCore, mesh: runtime.Mesh, now: float
) -> dict[str, typing.Any]:
    """Return the document that ``GET /v1/status`` serves.

    :param entry: the entry's core
    :param mesh: the streams to other processes
    :param now: monotonic seconds
    """
    hello = entry.hello()
    return {
        "name": hello.name,
        "incarnation": hello.incarnation,
        "role": hello.role,
        "zone": hello.zone,
        "ready": entry.ready,
        "leaving": entry.draining,
        "config_version": entry.rulebook.version,
        "policy_failures": entry.rulebook.failures,
        "jobs_open": entry.front.jobs,
        "jobs_placed": entry.scheduler.jobs,
        "tasks_waiting": entry.scheduler.waiting,
        "messages_sent": mesh.messages_sent,
        "bytes_sent": mesh.bytes_sent,
        "streams_refused": mesh.refused,
        "endpoints": [
            {
                "name": row.name,
                "zone": row.zone,
                "slots": row.slots,
                "bound": len(row.bound),
                "usable": row.usable,
                "leaving": row.leaving,
                "doubted": row.is_suspect,
                "ejected": row.ejected,
                "slowness": round(
                    entry.scheduler.run_times.slowness(row.name), 2
                ),
            }
            for row in entry.scheduler.table
        ],
        "peers": [
            {
                "name": peer.name,
                "incarnation": peer.incarnation,
                "role": peer.hello.role,
                "zone": peer.hello.zone,
                "leaving": peer.leaving,
                "config_version": peer.config_version,
                "silent_s": round(now - peer.last_received, 1),
            }
            for peer in entry.peers
        ],
    }
