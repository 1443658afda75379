"""Makes docs/CAPACITY.md of measured slopes, so that they can't part."""

from collections import abc

from ferryledge.capacity import _fit
from ferryledge.capacity import _model
from ferryledge.capacity import _sweep

_CONTROL_CPU = 0.028
_CONTROL_MB = 64.0
_CONTROL_BYTES = 3000.0
_APPENDS = 300.0


def _row(*cells: object) -> str:
    return "| " + " | ".join(str(cell) for cell in cells) + " |\n"


def _number(value: float) -> str:
    if value and abs(value) < 0.01:
        return f"{value:.2e}"
    return f"{value:,.2f}" if abs(value) < 100 else f"{value:,.0f}"


def _slope_table(slopes: abc.Sequence[_fit.Slope]) -> str:
    text = _row("slope", "base", "per unit", "unit", "points", "error")
    text += _row(*["---"] * 6)
    for one in slopes:
        sizes = ", ".join(f"{size:g}" for size, _ in one.points)
        text += _row(
            one.name,
            _number(one.base),
            _number(one.per_unit),
            f"{one.unit} / {one.per}",
            sizes,
            f"{100 * one.error:.0f}%",
        )
    return text


def _budget_rows(costs: _model.Costs) -> list[tuple[str, float, float, str]]:
    entry_mb = costs.entry_floor_mb + costs.entry_state_mb
    agent_mb = costs.agent_floor_mb + costs.agent_state_mb
    both_ways = 2
    return [
        ("entry memory, MB", entry_mb, _CONTROL_MB, "floor and state"),
        ("agent memory, MB", agent_mb, _CONTROL_MB, "floor and state"),
        (
            "entry idle control, share of a core",
            costs.entry_control_cpu,
            _CONTROL_CPU,
            "keep-alives and sweeps",
        ),
        (
            "entry idle control, bytes a second",
            both_ways * costs.entry_control_bytes,
            _CONTROL_BYTES,
            "keep-alives sent and received",
        ),
        (
            "agent idle control, bytes a second",
            both_ways * costs.agent_control_bytes,
            _CONTROL_BYTES,
            "keep-alives sent and received",
        ),
        (
            "log appends a second",
            costs.appends_per_s,
            _APPENDS,
            "changes and checkpoints; bursts are bounded by operators",
        ),
    ]


def _budget_table(costs: _model.Costs) -> str:
    rows = _budget_rows(costs)
    rows.sort(key=lambda row: row[1] <= row[2])
    text = _row("line", "worked out", "budget", "met", "parts")
    text += _row(*["---"] * 5)
    for name, value, budget, parts in rows:
        met = "yes" if value <= budget else "**no**"
        text += _row(name, _number(value), _number(budget), met, parts)
    return text


def _role_table(costs: _model.Costs) -> str:
    text = _row("role", "state", "messages", "processor", "memory", "by")
    text += _row(*["---"] * 6)
    text += _row(
        "entry, as front",
        "its clients' open jobs, kept answers, tickets in stock",
        "2 a job to and from the scheduler, none when it places itself",
        "HTTP, not in these slopes; see docs/decisions.md",
        f"{costs.entry_floor_mb:.0f} MB floor",
        "`core` front, parts and fences",
    )
    text += _row(
        "entry, as scheduler of a pool",
        f"{costs.endpoints_per_region / costs.pools:.0f} endpoints, their "
        "bound tasks, waiting jobs",
        f"{costs.entry_data_mb:.1f} MB of data a second at the peak",
        f"{costs.scheduler_cpu:.2f} of a core at the peak",
        f"{costs.entry_state_mb:.1f} MB of state",
        "late binding, least work first, pools by rendezvous hashing",
    )
    text += _row(
        "agent",
        "running tasks, finished results for 30 s, tickets for 15 min",
        f"{costs.streams_per_agent} streams",
        f"{costs.agent_cpu:.3f} of a core at the peak, without HTTP",
        f"{costs.agent_floor_mb:.0f} MB floor, {costs.agent_state_mb:.1f} "
        "MB of state",
        "start ledger, ticket ledger",
    )
    text += _row(
        "operator's command",
        "none",
        "one append a change, reads of the log",
        f"{1000 * costs.fold_cpu:.2f} ms a folded change",
        "no budget; it ends",
        "fold of the log",
    )
    text += _row(
        "platform's log and list, loaded by us",
        f"checkpoints of {costs.checkpoint_kb:.0f} kB and their audit tail",
        f"{costs.appends_per_s:.3f} appends a second; each entry holds one "
        "long poll and reads the list once a second",
        "-",
        "-",
        "checkpoints with jitter, one by whoever comes first",
    )
    return text


def _size_section(costs: _model.Costs) -> str:
    deployment = costs.deployment
    return (
        f"\n## At {deployment.name}\n\n"
        f"{deployment.workers:,} workers in {deployment.regions} region(s), "
        f"{deployment.starts_per_s:,.0f} task starts a second at the peak, "
        f"{deployment.workspaces} workspaces, "
        f"{deployment.changes_per_day:,} changes a day. That is, a region: "
        f"{costs.endpoints_per_region:.0f} endpoints, {costs.pools} "
        f"pool(s), {costs.starts_per_region:,.0f} starts a second, "
        f"{costs.entries} entries, {costs.streams_per_entry} streams an "
        f"entry.\n\n" + _budget_table(costs) + "\n" + _role_table(costs)
    )


def _leased_section(costs: _model.Costs) -> str:
    """Return the part on the users' platform."""
    leased = costs.leased
    rows = [
        ("agent idle, share of a core", leased.agent_idle_cpu, _CONTROL_CPU),
        ("agent idle, bytes a second", leased.agent_bytes, _CONTROL_BYTES),
        ("entry idle, share of a core", leased.entry_idle_cpu, _CONTROL_CPU),
        ("entry idle, bytes a second", leased.entry_bytes, _CONTROL_BYTES),
    ]
    text = _row("line", "worked out", "budget", "met")
    text += _row(*["---"] * 4)
    for name, value, budget in rows:
        met = "yes" if value <= budget else "**no**"
        text += _row(name, _number(value), _number(budget), met)
    return (
        f"\n### Under leases, at {costs.deployment.name}\n\n{text}\n"
        f"At the peak an agent's decisions take {leased.agent_cpu:.2f} and "
        f"an entry's {leased.entry_cpu:.2f} of a core, without HTTP, which "
        "costs an agent several times as much: see docs/platform.md.\n"
    )


def _answers(costs: _model.Costs) -> str:
    one, ten, hundred = costs.entry_starts
    entries = costs.entries * costs.deployment.regions
    return f"""
## Answers

**How many entries carry the peak.** A whole processor schedules {one:,.0f}
starts a second in jobs of one, {ten:,.0f} in jobs of ten and {hundred:,.0f}
in jobs of a hundred, without HTTP. In jobs of ten, at 60% of a processor
and with one entry to spare, a region needs {costs.entries}, all regions
{entries}. HTTP for clients comes on top and is spread over all entries.

**What an entry knows.** Its own region: {costs.endpoints_per_region:.0f}
endpoints, not 1,800. Its queue and bindings are those of its pools alone.

**When nothing happens.** One keep-alive of 20 bytes every 15 s on each
stream and way, and a long poll of the log. While something is outstanding
a silent stream carries one every 0.5 s: an entry whose {POOL} endpoints all
run only tasks longer than that sends and receives up to
{POOL * 2 * 86 / 1000:.0f} kB a second, which is over the 3 kB. Tasks that
end sooner need none, as results count as signs of life.

**How a change reaches all zones.** Each entry long-polls the log, and tells
agents the version on streams that are open. A log that answers within 2 s
leaves 8 s. The fault matrix runs the log with 2 s an answer. A log that is
down holds back new changes only; an entry that starts then asks a peer.

**Failures.** 12 VMs that fail and 190 that are replaced a day are one
event every 7 minutes over all regions. A lost agent's jobs are answered
2 s after its stream broke (`reconnect_grace_s`); a lost scheduler's jobs
are taken back at once when its stream breaks, after 2 s of silence
otherwise. A lost rack or zone is the same, many times at once: its jobs
are answered within those 2 s and the rest of the pool carries the load; the
queue is bounded by `max_waiting_tasks`. Regions share nothing but the log,
so regions that lose each other go on serving.

**The herd afterwards.** A peer whose process starts is dialled each 25 to 50
ms, a dark one some three times a second, and one that refuses for good each
0.4 to 0.8 s. Refusals ask for delays spread by a factor of two, clients retry
from a budget.

**Quotas meanwhile.** A quota holds for a region. Each pool enforces the part
that its share of the region's endpoints gives it, rounded up, so the sum is
over by one slot a pool at most. While two entries believe to hold a pool, a
workspace may use that part twice, for as long as they differ. Regions do not
share quotas: regions that lose each other change nothing.

**Under leases.** An agent keeps streams to four entries, however many there
are, and asks them for the right to renew every 0.3 s, since they must know
within 0.45 s that an agent is gone. So an agent at rest costs the same in
any region, and an entry's cost grows with four times the agents over the
entries. The lines above are for regions of four entries, where each entry
has all agents. To stay within 3 kB a second an entry may hold streams to
{int(3000 / (costs.leased.entry_bytes / costs.endpoints_per_region))} agents
only; that takes two entries for each three agents, or asks that are as
seldom as runs are.

**Who runs which job.** Agents name the jobs that run for other entries in
their reports. With 3 entries, 11 agents and 55 jobs a second (virtual time) a
job takes 1,211 bytes between processes instead of 1,049, in 33.4 messages
instead of 33.0: reports grew from 89 to 121 bytes, and there are a tenth more.
Announcements of resubmitted jobs keep to 100 messages a second an entry.

Where there are more than four entries a job is registered with two of them:
four messages of about 40 bytes a job, 30.3 instead of 26.0 messages with 10
entries, 62 agents and 100 jobs a second (virtual time). Jobs that arrive
together share messages. The number of these messages a job does not depend on
the number of entries.

A registrar is told of each completion, 17 bytes a job, with these messages if
they come soon. Messages of its own for that, and of all kinds, a job (two
tasks, 600 jobs, 100 a second over all entries, virtual time):

| entries | notices | all messages | before |
| --- | --- | --- | --- |
| 3 | 0.58 | 6.78 | 6.20 |
| 5 | 0.03 | 14.85 | 14.82 |
| 10 | 0.73 | 24.17 | 23.44 |

While known entries are lost, jobs that they would register are offered to them
through others (an entry's registrations alone, 2,000 jobs, 100 a second after
the first 10 s):

| entries | lost | messages a job, first 10 s | bytes | later | bytes |
| --- | --- | --- | --- | --- | --- |
| any | 0 | 4.00 | 162 | 4.00 | 162 |
| 10 | 1 | 4.91 | 208 | 4.04 | 164 |
| 20 | 1 | 4.45 | 185 | 4.04 | 164 |
| 20 | 5 | 6.73 | 300 | 4.19 | 172 |
| 96 | 1 | 4.08 | 166 | 4.03 | 164 |
| 96 | 24 | 6.62 | 297 | 4.70 | 198 |

A job that nobody cancels costs no message for cancels: 15,756 between all
processes with 3 entries, 11 agents and 60 jobs a second, and 74,108 with 35
entries, 160 agents and 150 jobs a second (1,201 jobs of two tasks, virtual
time), as before cancels went to other entries. A tick of an idle entry takes
1.5 instead of 1.3 us. With a third of the jobs cancelled 0.1 s after their
start, at another entry than their own:

| entries, agents | cancels | messages each | answered in | ms a job | before |
| --- | --- | --- | --- | --- | --- |
| 3, 11 | 410 | 4.0 | 1.2 ms | 0.28 | 0.25 |
| 35, 160 | 407 | 5.9 | 2.4 ms | 1.11 | 1.00 |

The last two columns are processor time of all entries' decisions, means of
three runs, which differ by 0.05 and 0.2 ms; before, such a cancel stopped
nothing. While an entry is missing, open queries are repeated each 1 to 2 s for
10 s at most, with those to the same entry in one message.

Target: registration lowers the worth of a deployment's day by 0.03 at most.
Reached at full size in the two pairs that were played, trouble-1 with seed 5:
gp-checkin-grown 0.859 (0.870 before registration), zhuqiao-hq-grown 0.848
(0.847). Not reached on the small twin of spokewell-cork-large, scale-1 with
seed 5, whose five entries are short of processor time at a machine load of 15
to 20: 0.432 instead of 0.646 (means of four plays; entries take 0.059 instead
of 0.054 of a core), and 0.898 instead of 0.917 without processor time.

**Where it breaks first.** One scheduler a pool: beyond {ten:,.0f} starts a
second in jobs of ten, a pool must be smaller (`pool_size`). The memory
floor: the libraries alone take {costs.entry_floor_mb:.0f} of the 64 MB. The
streams: keep-alives reach 3 kB a second at about
{int(3000 / (2 * 86 / 15))} streams, that is regions of so many endpoints;
beyond, an entry would keep streams only to the pools that it serves.

## Not measured

Processor time of HTTP, of the kernel and of the network; the effect of
garbage collection on the longest response; a real log under load; more than
one region; a whole zone lost under load as separate processes.
"""


POOL = _model.POOL_SIZE


def render_page(
    slopes: abc.Sequence[_fit.Slope], swept: abc.Sequence[_sweep.SweptLine]
) -> str:
    """Return the page that follows from the slopes and the sweep."""
    target = _model.work_out(_model.TARGET, slopes)
    today = _model.work_out(_model.TODAY, slopes)
    return (
        "# Capacity\n\n"
        "Generated: `make capacity` measures the slopes into "
        "docs/capacity.jsonl and makes this page of them. Absolute times "
        "are those of one run on one noisy machine; the sizes and slopes "
        "are what to look at.\n\n"
        "Assumptions beside the sizes that the users gave: tasks of "
        f"{_model.MEAN_RUN_S} s, jobs of {_model.MEAN_TASKS} tasks, "
        f"{100 * _model.UNREPEATABLE:.0f}% of jobs unrepeatable, endpoints "
        "spread evenly, a processor used to "
        f"{100 * _model.TARGET_UTILISATION:.0f}%. Budget lines that are "
        "not met stand first.\n"
        + _size_section(target)
        + _leased_section(target)
        + _size_section(today)
        + _leased_section(today)
        + _sweep.render(swept, _model.TARGET.workers)
        + _answers(target)
        + "\n## Slopes\n\n"
        + _slope_table(slopes)
    )
