"""Entries, agents and endpoints in virtual time, with faults.

Streams keep the order of their messages; a cut holds them up and delivers
them when it heals, as TCP does, unless the stream was broken meanwhile.
"""

import collections
from collections import abc
import dataclasses
import functools
import heapq
import itertools
import math
import random
import typing

import msgspec

from ferryledge import leases
from ferryledge import outcomes
from ferryledge import standin
from ferryledge import wire

HOP_S = 0.0006
#: A connection, and a proof of the key each way.
HANDSHAKE_S = 5 * HOP_S
#: What a message takes on a link beside its own bytes.
HEADER_BYTES = 66
CALL_S = 0.0005
HEARTBEAT_S = 1.5
STORE_S = 0.01
#: Seconds after the agent heard that its endpoint drains from which nothing
#: may start there.
DRAIN_S = 0.5
JOB_CLASS = leases.JobClass("quick", "desk", 0, 2, 1.6, 0.06)
ROOM = wire.Resources(8000, 8000, 0)
#: Work of a run that hangs, in seconds: it makes no step of progress.
HUNG_S = 1e6
#: Endpoints that may crash under a task before it starts no more.
MOST_CRASHES = 5
#: Seconds from a task's start until it takes its endpoint down, and until
#: that is back.
CRASH_AFTER_S = 0.05
CRASH_DOWN_S = 3.0
#: Seconds between an entry's looks at what operators wrote.
OPERATORS_S = 1.0
#: Seconds after a zone was cordoned from which nothing may start there.
CORDON_S = 5.0


@dataclasses.dataclass(slots=True)
class Stream:
    """One stream between an agent and an entry.

    Each side uses it from the moment in which it has been greeted there.
    """

    agent: str
    entry: str
    open: bool = True
    #: Whether nothing arrives any more, though neither side is told.
    silent: bool = False
    #: Seconds by which the agent's greeting and all that it sends after that
    #: are delayed. They arrive even if the agent has closed the stream by
    #: then, as with TCP.
    late_s: float = 0.0


class Node:
    """A process: its core, whether it runs, what waits for it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.core: typing.Any = None
        self.alive = True
        self.paused = False
        self.waiting: list[abc.Callable[[], None]] = []
        self.life = 0
        self.tick_at = float("inf")
        self.stream_order = wire.StreamOrder()


class World:
    """All processes and what they promise.

    :param seed: of all randomness
    :param entries: how many
    :param agents: how many, each with its endpoint
    :param link_bytes_per_s: what the link of each entry carries towards
        agents; infinite is without bound
    :param peers: whether entries keep streams to each other
    :param rules: those that entries decide by; none is all
    :param zones: availability zones, over which agents are spread in turn
    :param entry_zones: the same for entries
    """

    def __init__(
        self,
        seed: int,
        entries: int = 2,
        agents: int = 3,
        link_bytes_per_s: float = math.inf,
        peers: bool = False,
        rules: leases.EntryRules | None = None,
        zones: tuple[str, ...] = ("north",),
        entry_zones: tuple[str, ...] = ("north",),
    ) -> None:
        self.now = 0.0
        #: The zone of each agent.
        self.zone_of = {
            f"agent-{n}": zones[n % len(zones)] for n in range(agents)
        }
        #: The zone of each entry.
        self.entry_zone_of = {
            f"entry-{n}": entry_zones[n % len(entry_zones)]
            for n in range(entries)
        }
        #: What operators have the log say of cordoned zones.
        self.cordons = wire.CordonedZones(1)
        #: When each zone that is cordoned was.
        self.cordoned_at: dict[str, float] = {}
        #: Entries that the store turns away.
        self.storeless: set[str] = set()
        self._rules = rules
        self.peers = peers
        self.link_bytes_per_s = link_bytes_per_s
        #: When the link of each entry has sent all that waits for it.
        self.link_free_at: dict[str, float] = {}
        self.rng = random.Random(seed)
        self._heap: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._count = itertools.count()
        self._tokens = itertools.count(1)
        self.nodes: dict[str, Node] = {}
        self.endpoints: dict[str, standin.LeasedEndpoint] = {}
        #: What each agent kept of its endpoint for its next start.
        self.stored_heartbeats: dict[str, leases.EndpointHeartbeat] = {}
        #: The newest stream of each agent and entry.
        self.streams: dict[tuple[str, str], Stream] = {}
        #: The stream that a process uses to a peer.
        self.used: dict[tuple[str, str], Stream] = {}
        #: New streams that are being opened beside old ones.
        self.reopening: dict[tuple[str, str], Stream] = {}
        #: How often that was tried.
        self.reopened = 0
        #: Seconds by which an agent's greeting is delayed, by agent and entry,
        #: on the next stream that is opened beside another.
        self.late_greetings: dict[tuple[str, str], float] = {}
        #: Which entries each agent keeps dialling.
        self.dialled: set[tuple[str, str]] = set()
        self.cuts: set[tuple[str, str]] = set()
        self.held: dict[
            tuple[str, str], list[tuple[Stream, abc.Callable[[], None]]]
        ] = collections.defaultdict(list)
        #: Share of orders that are carried out without an answer, late.
        self.late_orders = 0.0
        #: Agents whose endpoints neither carry out nor answer stops.
        self.lost_stops: set[str] = set()
        self.answers: dict[int, list[outcomes.JobOutcome]] = {}
        #: Is told each answer to a client.
        self.on_answer: abc.Callable[[int, outcomes.JobOutcome], None] = (
            _pass_over
        )
        #: Results of cancels and look-ups, by token.
        self.results: dict[int, leases.QueryResult] = {}
        #: When each client was answered first.
        self.answered_at: dict[int, float] = {}
        self.jobs: dict[int, leases.LeasedJob] = {}
        self.alive_runs: dict[tuple[str, int, int], set[str]] = (
            collections.defaultdict(set)
        )
        self.started: dict[str, int] = collections.Counter()
        #: When agents heard that an incarnation of an endpoint drains.
        self.drains: dict[str, float] = {}
        #: Messages between processes, by type.
        self.sent: dict[type, int] = collections.Counter()
        self.violations: list[str] = []
        self.work_s: dict[str, float] = {}
        self.failing: set[str] = set()
        #: Share of the runs that hang at an endpoint while others go on.
        self.hanging: dict[str, float] = {}
        #: Endpoints that fail for the callers of one zone only, with that.
        self.failing_for: dict[str, str] = {}
        #: The zone of the entry that each job was sent to last.
        self.caller_zone: dict[str, str] = {}
        #: Until when endpoints say that they are cold.
        self.cold_until: dict[str, float] = {}
        #: Labels of the endpoints beside agents, where they have any.
        self.labels: dict[str, tuple[str, ...]] = {}
        self.failing_jobs: set[str] = set()
        #: The room of each endpoint that its agent heard of last.
        self.rooms: dict[str, wire.Resources] = {}
        #: Jobs whose tasks crash the endpoints that start them.
        self.crashing_jobs: set[str] = set()
        #: Endpoints that crashed under each task.
        self.crashed_under: dict[str, int] = collections.Counter()
        self.entries = [f"entry-{n}" for n in range(entries)]
        self.agents = [f"agent-{n}" for n in range(agents)]
        for name in self.agents:
            self.endpoints[name] = standin.LeasedEndpoint(
                f"endpoint-of-{name}",
                ROOM,
                0.0,
                self._need_of,
                self._work_of,
                self._watch,
                1.0 - 0.02 * self.rng.random(),
            )
        for name in self.entries + self.agents:
            self.nodes[name] = Node(name)
            self._boot(name)
        for name in self.agents:
            self._heartbeat_loop(name)
            self._renew_loop(name, self.nodes[name].life)
            for entry in self.entries:
                self._dial_loop(name, entry)
        for one, other in itertools.combinations(self.entries, 2):
            self._dial_loop(one, other)
        self._endpoint_loop()

    # Time.

    def at(self, delay: float, act: abc.Callable[[], None]) -> None:
        """Do something later."""
        entry = (self.now + delay, next(self._count), act)
        heapq.heappush(self._heap, entry)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, act = heapq.heappop(self._heap)
            act()
        self.now = end

    # What runs.

    def _need_of(self, key: leases.RunKey) -> wire.Resources:
        return next(
            job.steps[key.step].need
            for job in self.jobs.values()
            if job.job == key.job
        )

    def _work_of(
        self, key: leases.RunKey, endpoint: str
    ) -> tuple[float, bool]:
        zone = self.caller_zone[key.job]
        ok = (
            endpoint not in self.failing
            and self.failing_for.get(endpoint) != zone
            and key.job not in self.failing_jobs
        )
        share = self.hanging.get(endpoint, 0.0)
        if share and self.rng.random() < share:
            return HUNG_S, ok
        return self.work_s[key.job], ok

    def _watch(self, what: str, key: leases.RunKey, endpoint: str) -> None:
        task = (key.job, key.step, key.index)
        if what == "end":
            self.alive_runs[task].discard(endpoint)
            return
        self.started[key.job] += 1
        if self.alive_runs[task]:
            self.violations.append(f"{self.now:.3f} twice: {task}")
        self.alive_runs[task].add(endpoint)
        agent = endpoint.removeprefix("endpoint-of-")
        if key.job in self.crashing_jobs:
            self._crash_by(key, agent)
        drained_at = self.drains.get(self.endpoints[agent].incarnation)
        if drained_at is not None and self.now > drained_at + DRAIN_S:
            self.violations.append(f"{self.now:.3f} drains, yet starts: {key}")
        cordoned_at = self.cordoned_at.get(self.zone_of[agent], math.inf)
        if self.now > cordoned_at + CORDON_S:
            self.violations.append(f"{self.now:.3f} cordoned: {key}")
        used = self.endpoints[agent].used
        if not any(map(used.fits_in, self._rooms_of(agent))):
            self.violations.append(f"{self.now:.3f} over room: {agent}")

    def _rooms_of(self, agent: str) -> tuple[wire.Resources, ...]:
        """Return the rooms that an endpoint may be filled to.

        Its own, and until its agent hears that it shrank the one before.
        """
        heard = self.rooms.get(agent, ROOM)
        return heard, self.endpoints[agent].capacity

    def resize(self, agent: str, room: wire.Resources) -> None:
        """Let an endpoint have another room from now on, and say so."""
        self.endpoints[agent].capacity = room
        self.heartbeat(agent)

    def _crash_by(self, key: leases.RunKey, agent: str) -> None:
        """Let a task take its endpoint down soon after its start."""
        name = f"{key.job}.{key.step}.{key.index}"
        if self.crashed_under[name] >= MOST_CRASHES:
            self.violations.append(f"{self.now:.3f} crashes on: {name}")

        def crash() -> None:
            if self.endpoints[agent].up and key in self.endpoints[agent].runs:
                self.crashed_under[name] += 1
                self.crash_endpoint(agent, CRASH_DOWN_S)

        self.at(CRASH_AFTER_S, crash)

    def _endpoint_loop(self) -> None:
        for endpoint in self.endpoints.values():
            endpoint.advance(self.now)
        self.at(0.005, self._endpoint_loop)

    # Processes.

    def _boot(self, name: str) -> None:
        node = self.nodes[name]
        node.life += 1
        node.alive = True
        node.paused = False
        node.waiting.clear()
        node.tick_at = float("inf")
        node.stream_order = wire.StreamOrder()
        incarnation = f"{name}.{node.life}"
        self.dialled = {one for one in self.dialled if one[0] != name}
        self.at(STORE_S, lambda: self._find_entries(name, node.life))
        if name in self.entries:
            rng = random.Random(f"{name}{node.life}")
            node.core = leases.LeaseEntry(
                name,
                incarnation,
                self.entry_zone_of[name],
                rng,
                link_bytes_per_s=self.link_bytes_per_s,
                rules=self._rules,
            )
            self.at(STORE_S, lambda: self._read_operators(name, node.life))
            self.post(name, leases.ConfigRead(1, b"{}"))
        else:
            node.core = leases.LeaseAgent(
                name, incarnation, self.zone_of[name], self.now
            )
            self.at(STORE_S, lambda: self._recall(name, node.life))

    def _read_operators(self, name: str, life: int) -> None:
        """Let an entry follow the operators' log unless turned away."""
        if self.nodes[name].life != life:
            return
        if name not in self.storeless:
            self.post(name, leases.CordonsRead(self.cordons))
        again = functools.partial(self._read_operators, name, life)
        self.at(OPERATORS_S * self.rng.uniform(0.5, 1.0), again)

    def set_cordons(self, *zones: str) -> None:
        """Let operators cordon these zones and take back all others."""
        version = self.cordons.version + 1
        self.cordons = wire.CordonedZones(version, tuple(sorted(zones)))
        self.cordoned_at = {
            zone: self.cordoned_at.get(zone, self.now) for zone in zones
        }

    def _recall(self, name: str, life: int) -> None:
        seen = self.stored_heartbeats.get(name)
        if seen is not None and self.nodes[name].life == life:
            self.post(name, leases.EndpointRestored(seen))

    def addresses(self) -> tuple[wire.EntryAddress, ...]:
        """Return where the entries listen."""
        return tuple(
            wire.EntryAddress(name, "127.0.0.1", 1) for name in self.entries
        )

    def _find_entries(self, name: str, life: int) -> None:
        if name in self.entries and not self.peers:
            return
        if self.nodes[name].life == life:
            self.post(name, leases.EntriesFound(self.addresses()))

    def post(self, name: str, event: typing.Any) -> None:
        """Hand an event to a process, now or when it wakes."""
        node = self.nodes[name]
        life = node.life

        def receive() -> None:
            if node.life != life or not node.alive:
                return
            node.core.receive(self.now, event)
            if node.core.tick_by() <= self.now:
                self._tick(name)
            else:
                self._plan_tick(name)

        if node.paused:
            node.waiting.append(receive)
        elif node.alive:
            receive()

    def _tick(self, name: str) -> None:
        node = self.nodes[name]
        if node.paused or not node.alive:
            return
        for action in node.core.tick(self.now):
            self._perform(name, action)
        self._plan_tick(name)

    def _plan_tick(self, name: str) -> None:
        node = self.nodes[name]
        due = max(node.core.wake_at(), self.now + 0.001)
        if due >= node.tick_at or due == float("inf"):
            return
        node.tick_at = due
        life = node.life

        def tick() -> None:
            if node.life != life or node.tick_at != due:
                return
            node.tick_at = float("inf")
            if node.paused:
                node.waiting.append(lambda: self._tick(name))
            else:
                self._tick(name)

        self.at(due - self.now, tick)

    def _perform(self, name: str, action: typing.Any) -> None:
        match action:
            case leases.SendMessage(peer, message):
                self.sent[type(message)] += 1
                self._send(name, peer, wire.Received(name, message))
            case leases.StartRun():
                self._order(name, action)
            case leases.StopRun():
                self._order(name, action)
            case leases.ListRuns(renewal):
                self._list_runs(name, renewal)
            case leases.AnswerJob(token, outcome):
                self._note_answer(token, outcome)
            case leases.AnswerQuery(token, result):
                self.results[token] = result
                self.answered_at[token] = self.now
            case leases.SaveEndpoint(seen):
                self.stored_heartbeats[name] = seen
            case _:
                self._change_streams(name, action)

    def _change_streams(self, name: str, action: typing.Any) -> None:
        match action:
            case leases.CloseStream(peer):
                self.break_stream(name, peer)
            case leases.ReopenStream(peer):
                self._reopen(name, peer)
            case leases.CancelReopen(peer):
                self.reopening.pop((name, peer), None)
            case leases.DialEntries(entries):
                self.dialled |= {(name, one.name) for one in entries}
            case leases.DisconnectEntry(entry):
                self.dialled.discard((name, entry))
                self.break_stream(name, entry)
            case _:
                pass

    def _note_answer(self, token: int, outcome: outcomes.JobOutcome) -> None:
        self.answers[token].append(outcome)
        self.answered_at.setdefault(token, self.now)
        if len(self.answers[token]) > 1:
            self.violations.append(f"token {token} answered again")
        self.on_answer(token, outcome)

    # Streams.

    def _key(self, one: str, other: str) -> tuple[str, str]:
        if one in self.entries and other in self.entries:
            return min(one, other), max(one, other)
        return (one, other) if one in self.agents else (other, one)

    def _send(self, source: str, target: str, event: typing.Any) -> None:
        stream = self.used.get((source, target))
        if stream is None or not stream.open:
            return

        def arrive() -> None:
            if self.used.get((target, source)) is stream:
                self.post(target, event)

        wait_s = self._link_s(source, event.message)
        self._carry(stream, source, target, arrive, wait_s)

    def _link_s(self, source: str, message: wire.Message) -> float:
        """Return how long a message waits for the link of an entry."""
        if math.isinf(self.link_bytes_per_s) or source in self.agents:
            return 0.0
        size = len(wire.encode(message)) + HEADER_BYTES
        free_at = max(self.now, self.link_free_at.get(source, 0.0))
        free_at += size / self.link_bytes_per_s
        self.link_free_at[source] = free_at
        return free_at - self.now

    def _carry(
        self,
        stream: Stream,
        source: str,
        target: str,
        act: abc.Callable[[], None],
        wait_s: float = 0.0,
    ) -> None:
        way = (source, target)
        late_s = stream.late_s if source == stream.agent else 0.0
        life = self.nodes[target].life

        def arrive() -> None:
            if stream.silent or self.nodes[target].life != life:
                return
            if way in self.cuts or self.held[way]:
                self.held[way].append((stream, act))
            elif stream.open or late_s:
                act()

        self.at(wait_s + HOP_S + late_s, arrive)

    def _dial_loop(self, agent: str, entry: str) -> None:
        def loop() -> None:
            if (agent, entry) in self.dialled:
                self._dial(agent, entry)
            self.at(0.05 + 0.1 * self.rng.random(), loop)

        self.at(0.01, loop)

    def _dial(self, agent: str, entry: str) -> None:
        nodes = self.nodes[agent], self.nodes[entry]
        if any(node.paused or not node.alive for node in nodes):
            return
        if (agent, entry) in self.cuts or (entry, agent) in self.cuts:
            return
        stream = self.streams.get((agent, entry))
        if stream is not None and stream.open:
            return
        self._greet(Stream(agent, entry))

    def _greet(self, stream: Stream) -> None:
        """Let both sides greet each other, and then use a stream."""
        self.streams[stream.agent, stream.entry] = stream
        numbers = {
            name: self.nodes[name].stream_order.next_number()
            for name in (stream.agent, stream.entry)
        }
        for own, peer in (
            (stream.agent, stream.entry),
            (stream.entry, stream.agent),
        ):
            hello = self.nodes[peer].core.hello()
            if peer == stream.agent:
                hello = msgspec.structs.replace(
                    hello, stream=numbers[stream.agent]
                )
            up = wire.PeerUp(hello)
            use = functools.partial(
                self._use, stream, numbers[own], own, peer, up
            )
            self._carry(stream, peer, own, use)

    def _use(
        self,
        stream: Stream,
        number: int,
        own: str,
        peer: str,
        up: wire.PeerUp,
    ) -> None:
        """Use a stream from now on, and close the one before.

        If a newer one is used already, this one is closed instead.

        :param stream: the stream
        :param number: its number at the process that uses it
        :param own: name of that process
        :param peer: name of the other one
        :param up: the event that brings the peer's greeting
        """
        order = self.nodes[own].stream_order
        if not order.admit(up.hello, number, own == stream.agent):
            stream.open = False
            return
        old = self.used.get((own, peer))
        self.used[own, peer] = stream
        if old is not None and old.open:
            old.open = False
            self.post(own, wire.PeerDown(peer, up.hello.incarnation))
        self.post(own, up)

    def _reopen(self, agent: str, entry: str) -> None:
        """Open a stream beside a silent one, as soon as both sides can."""
        key = (agent, entry)
        if key in self.reopening:
            return
        if agent in self.entries and entry < agent:
            return  # The other entry dials.
        self.reopened += 1
        stream = self.reopening[key] = Stream(agent, entry)
        stream.late_s = self.late_greetings.pop(key, 0.0)

        def try_it() -> None:
            if self.reopening.get(key) is not stream:
                return
            lives = [self.nodes[one] for one in key]
            reached = key not in self.cuts and key[::-1] not in self.cuts
            if not reached or not all(one.alive for one in lives):
                del self.reopening[key]
            elif any(one.paused for one in lives):
                self.at(0.01, try_it)
            else:
                del self.reopening[key]
                self._greet(stream)

        self.at(HANDSHAKE_S, try_it)

    def break_stream(self, one: str, other: str) -> None:
        """Break the stream between two processes, for both."""
        key = self._key(one, other)
        stream = self.streams.pop(key, None) or self.used.get((one, other))
        if stream is None:
            return
        stream.open = False
        for name, peer in (key, key[::-1]):
            unheard = (peer, name) in self.cuts or stream.silent
            if unheard and name != one:
                continue  # The other side does not learn of it.
            if self.used.pop((name, peer), None) is None:
                continue  # It closed the stream before.
            incarnation = f"{peer}.{self.nodes[peer].life}"
            self.post(name, wire.PeerDown(peer, incarnation))

    def silence_stream(self, agent: str, entry: str) -> None:
        """Let nothing arrive on an open stream any more; new ones work."""
        stream = self.streams.get((agent, entry))
        if stream is not None:
            stream.silent = True

    def silence_all_streams(self) -> None:
        """Let nothing arrive on any stream that is open now."""
        for key in list(self.streams):
            self.silence_stream(*key)

    # Calls to endpoints.

    def _order(
        self, agent: str, order: leases.StartRun | leases.StopRun
    ) -> None:
        if isinstance(order, leases.StopRun) and agent in self.lost_stops:
            self._lose_stop(agent, order)
            return
        node = self.nodes[agent]
        endpoint = self.endpoints[agent]
        life = node.life
        late = self.rng.random() < self.late_orders
        delay = self.rng.uniform(2.0, 12.0) if late else CALL_S

        def carry_out() -> None:
            if not endpoint.up:
                answer(down=True)
            elif isinstance(order, leases.StartRun):
                answer(endpoint.start(self.now, order))
            else:
                answer(endpoint.stop(self.now, order))

        def answer(result: typing.Any = None, down: bool = False) -> None:
            if late or node.life != life:
                return
            if isinstance(order, leases.StopRun):
                event: typing.Any = leases.StopAnswered(
                    order.key, order.incarnation, bool(result)
                )
            else:
                if down:
                    result = leases.StartResult.DOWN
                event = leases.StartAnswered(
                    order.key,
                    result,
                    order.incarnation,
                    endpoint.clock_ms(self.now),
                )
            self.at(CALL_S, lambda: self.post(agent, event))

        self.at(delay, carry_out)
        if late and isinstance(order, leases.StartRun):
            silent = leases.StartAnswered(
                order.key, leases.StartResult.SILENT, order.incarnation
            )
            self.at(order.answer_timeout_s, lambda: self.post(agent, silent))

    def _lose_stop(self, agent: str, order: leases.StopRun) -> None:
        """Report to the agent that a stop got no answer."""
        event = leases.StopAnswered(order.key, order.incarnation, False)
        self.at(order.answer_timeout_s, lambda: self.post(agent, event))

    def _list_runs(self, agent: str, renewal: leases.Renewal) -> None:
        endpoint = self.endpoints[agent]
        life = self.nodes[agent].life
        sent_at = self.now

        def carry_out() -> None:
            if not endpoint.up or self.rng.random() < self.late_orders:
                return
            event = endpoint.renew(self.now, sent_at, renewal)
            self.at(CALL_S, lambda: answer(event))

        def answer(event: typing.Any) -> None:
            if self.nodes[agent].life == life:
                self.post(agent, event)

        self.at(CALL_S, carry_out)

    def _renew_loop(self, agent: str, life: int) -> None:
        node = self.nodes[agent]
        endpoint = self.endpoints[agent]

        def again(delay: float) -> None:
            self.at(delay, lambda: self._renew_loop(agent, life))

        if node.life != life or not node.alive:
            return
        if node.paused:
            node.waiting.append(lambda: self._renew_loop(agent, life))
            return
        renewal = node.core.renewal(self.now)
        sent_at = self.now
        late = self.rng.random() < self.late_orders
        fault = leases.CallFault

        def carry_out() -> None:
            if not endpoint.up:
                event: typing.Any = leases.LeaseNotRenewed(
                    fault.DOWN, renewal.incarnation
                )
            else:
                event = endpoint.renew(self.now, sent_at, renewal)
            if late:
                return
            self.at(CALL_S, lambda: self.post(agent, event))
            again(CALL_S + 0.02)

        self.at(self.rng.uniform(2, 12) if late else CALL_S, carry_out)
        if late:
            silent = leases.LeaseNotRenewed(fault.SILENT, renewal.incarnation)
            wait_s = renewal.wait_ms / 1000.0 + renewal.timeout_slack_s
            self.at(wait_s, lambda: self.post(agent, silent))
            again(wait_s + 0.03)

    def _heartbeat_loop(self, agent: str) -> None:
        endpoint = self.endpoints[agent]

        def beat() -> None:
            if endpoint.up:
                self.heartbeat(agent)
            self.at(HEARTBEAT_S, beat)

        self.at(0.2 * self.rng.random(), beat)

    def heartbeat(self, agent: str) -> None:
        """Let an endpoint report to its agent."""
        endpoint = self.endpoints[agent]
        node = self.nodes[agent]
        heard = node.alive and not node.paused
        if endpoint.draining and heard:
            self.drains.setdefault(endpoint.incarnation, self.now)
        if heard:
            self.rooms[agent] = endpoint.capacity
        self.post(agent, self.report_of(agent, endpoint.next_heartbeat()))

    def report_of(self, agent: str, number: int) -> leases.EndpointHeartbeat:
        """Return what the endpoint beside an agent says of itself."""
        endpoint = self.endpoints[agent]
        return leases.EndpointHeartbeat(
            endpoint.endpoint_id,
            "desk",
            "127.0.0.1:1",
            endpoint.capacity,
            self.labels.get(agent, ()),
            endpoint.draining,
            0.0,
            endpoint.clock_ms(self.now),
            number,
            endpoint.born_ms,
            max(0.0, self.cold_until.get(agent, 0.0) - self.now),
        )

    # Clients.

    def submit(
        self,
        entry: str,
        name: str,
        count: int = 2,
        work_s: float = 0.2,
        cpu: int = 1000,
        deadline_s: float = 5.0,
        steps: tuple[leases.JobStep, ...] = (),
        spec: str = "spec",
        estimate_s: float | None = None,
        job_class: leases.JobClass = JOB_CLASS,
    ) -> int:
        """Send a job to an entry.

        :return: its token
        """
        token = next(self._tokens)
        guess_s = work_s if estimate_s is None else estimate_s
        step = leases.JobStep(count, wire.Resources(cpu, 100, 0), guess_s)
        job = leases.LeasedJob(
            name, job_class, spec, steps or (step,), deadline_s
        )
        self.jobs[token] = job
        self.work_s[name] = work_s
        self.caller_zone[name] = self.entry_zone_of[entry]
        self.answers[token] = []
        self.post(entry, leases.JobSubmitted(token, job))
        return token

    def cancel(self, entry: str, name: str) -> int:
        """Cancel a job at an entry.

        :return: the token of the request
        """
        token = next(self._tokens)
        self.post(entry, leases.JobCancelled(name, token))
        return token

    def look_up(self, entry: str, name: str) -> int:
        """Ask an entry whether a job exists.

        :return: the token of the request
        """
        token = next(self._tokens)
        self.post(entry, leases.JobLookedUp(name, token))
        return token

    def outcome(self, token: int) -> outcomes.JobOutcome | None:
        """Return the answer to a job, if there is one."""
        answers = self.answers[token]
        return answers[0] if answers else None

    # Faults.

    def kill(self, name: str, down_s: float = 0.3) -> None:
        """End a process; it starts again as another incarnation."""
        node = self.nodes[name]
        for key in [key for key in self.streams if name in key]:
            other = key[1] if key[0] == name else key[0]
            self.streams.pop(key).open = False
            self.used.pop(key, None)
            self.used.pop(key[::-1], None)
            incarnation = f"{name}.{node.life}"
            if (name, other) not in self.cuts:
                self.post(other, wire.PeerDown(name, incarnation))
        node.alive = False
        node.life += 1

        def restart() -> None:
            self._boot(name)
            if name in self.agents:
                self._renew_loop(name, node.life)

        self.at(down_s, restart)

    def pause(self, name: str, for_s: float) -> None:
        """Stop a process for a while."""
        node = self.nodes[name]
        life = node.life
        node.paused = True

        def wake() -> None:
            if node.life != life:
                return
            node.paused = False
            waiting, node.waiting = node.waiting, []
            self._tick(name)
            for act in waiting:
                act()

        self.at(for_s, wake)

    def cut(
        self, source: str, target: str, for_s: float, both: bool = True
    ) -> None:
        """Hold up what one process sends to another."""
        ways = [(source, target)]
        if both:
            ways.append((target, source))
        for way in ways:
            self.cuts.add(way)
        self.at(for_s, lambda: self._heal(ways))

    def _heal(self, ways: list[tuple[str, str]]) -> None:
        for way in ways:
            self.cuts.discard(way)
            held = self.held.pop(way, [])
            for stream, act in held:
                if stream.open:
                    act()

    def crash_endpoint(
        self, agent: str, down_s: float | None = 0.5, same_id: bool = False
    ) -> None:
        """End an endpoint; it starts again unless that is none.

        :param agent: the agent beside it
        :param down_s: seconds until it starts again
        :param same_id: whether it then keeps its id
        """
        endpoint = self.endpoints[agent]
        endpoint.crash()
        if down_s is None:
            return

        def restart() -> None:
            if endpoint.up:
                return  # Another crash's restart came first.
            endpoint.restart(self.now, same_id)
            self.heartbeat(agent)

        self.at(down_s, restart)


def _pass_over(_token: int, _outcome: outcomes.JobOutcome) -> None:
    """Do nothing with an answer."""
