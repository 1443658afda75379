"""A region in virtual time: entries, agents, clients, the log."""

from collections import abc
import dataclasses
import functools
import itertools
import random
import typing

from ferryledge import configlog
from ferryledge import core
from ferryledge.harness import _clients
from ferryledge.harness import _clock
from ferryledge.harness import _endpoints
from ferryledge.harness import _journal
from ferryledge.harness import _log
from ferryledge.harness import _nodes
from ferryledge import outcomes
from ferryledge import wire

_REDIAL_S = 0.06
_RESTART_S = 1.0
_LIST_EVERY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class WorldOptions:
    """How large a world is, and how far apart its parts are."""

    entries: int = 3
    agents: int = 11
    slots: int = 8
    zones: tuple[str, ...] = ("north", "south", "west")
    #: Seconds that a message takes one way.
    hop_s: float = 0.0005
    #: Seconds between a client and an entry one way.
    client_hop_s: float = 0.003
    entry: core.EntryOptions = dataclasses.field(
        default_factory=core.EntryOptions
    )
    agent: core.AgentOptions = dataclasses.field(
        default_factory=core.AgentOptions
    )
    checkpoints: configlog.CheckpointPolicy = dataclasses.field(
        default_factory=configlog.CheckpointPolicy
    )
    seed: int = 1


class World:
    """Runs cores over fakes in virtual time.

    :param options: its size
    :param entities: the configuration in force at the start
    """

    def __init__(
        self,
        options: WorldOptions,
        entities: tuple[configlog.Entity, ...],
    ) -> None:
        self.options = options
        self.clock = _clock.Clock()
        self.journal = _journal.Journal()
        self.log = _log.VirtualLog(self.clock)
        self.endpoints = _endpoints.Endpoints(self.clock, self.journal)
        self.records: list[_clients.ClientRecord] = []
        #: Messages between processes, without keep-alives.
        self.messages = 0
        #: Of these, messages that came to nothing.
        self.wasted = 0
        #: Called before anything happens; true stops it.
        self.hook: _nodes.Hook | None = None
        self._rng = random.Random(options.seed)
        self._tokens = itertools.count(1)
        self._waiting: dict[int, _clients.ClientRecord] = {}
        self._streams: dict[frozenset[str], _nodes.Stream] = {}
        self._by_node: dict[str, list[_nodes.Stream]] = {}
        self.nodes: dict[str, _nodes.Node] = {}
        self.readers: dict[str, _log.LogReader] = {}
        #: Names of VMs that the platform lists as leaving.
        self.leaving: set[str] = set()
        #: Whether the list of VMs comes empty, or no longer changes.
        self.list_empty = False
        self.list_stale = False
        self._listed = core.VmsListed(frozenset(), frozenset())
        self._build()
        self._list_vms()
        self.publish(entities, "start", 0)
        self.clock.run(1.0)

    @property
    def now(self) -> float:
        """The virtual time in seconds."""
        return self.clock.now

    @property
    def entry_names(self) -> list[str]:
        """The entries' names."""
        return [f"entry-{n + 1}" for n in range(self.options.entries)]

    @property
    def agent_names(self) -> list[str]:
        """The agents' names."""
        return [f"agent-{n + 1}" for n in range(self.options.agents)]

    @property
    def scheduler(self) -> str:
        """The entry that schedules the most jobs now."""
        cores = {
            name: typing.cast(core.EntryCore, self.nodes[name].core)
            for name in self.entry_names
            if self.nodes[name].alive
        }
        return max(cores, key=lambda name: cores[name].scheduler.placed)

    # Building.

    def _build(self) -> None:
        for number, name in enumerate(self.agent_names):
            self.endpoints.states[name] = _endpoints.EndpointState()
            self._add(name, self._new_agent(name, number))
        for number, name in enumerate(self.entry_names):
            node = self._add(name, self._new_entry(name, number))
            self.readers[name] = _log.LogReader(
                node,
                self.log,
                self.clock,
                self.options.checkpoints,
                self._rng,
                self._stopped,
            )
        for name in self.entry_names:
            for other in self.agent_names:
                self._connect(name, other)
        for first, second in itertools.combinations(self.entry_names, 2):
            self._connect(first, second)

    def _add(self, name: str, driven: _nodes.Core) -> _nodes.Node:
        node = _nodes.Node(name, self.clock, driven, self._perform)
        self.nodes[name] = node
        self._by_node[name] = []
        return node

    def _zone(self, number: int) -> str:
        return self.options.zones[number % len(self.options.zones)]

    def _identity(self, name: str, number: int) -> core.Identity:
        incarnation = f"{self._rng.getrandbits(40):x}"
        return core.Identity(name, incarnation, self._zone(number))

    def _new_agent(self, name: str, number: int) -> core.AgentCore:
        options = dataclasses.replace(
            self.options.agent, slots=self.options.slots
        )
        return core.AgentCore(self._identity(name, number), options)

    def _new_entry(self, name: str, number: int) -> core.EntryCore:
        rng = random.Random(self._rng.getrandbits(64))
        return core.EntryCore(
            self._identity(name, number), self.options.entry, rng
        )

    def _connect(self, first: str, second: str) -> None:
        stream = _nodes.Stream(
            self.nodes[first], self.nodes[second], self.options.hop_s
        )
        self._streams[frozenset((first, second))] = stream
        self._by_node[first].append(stream)
        self._by_node[second].append(stream)
        self._open(stream)

    def _list_vms(self) -> None:
        """Tell the entries the platform's list, as it does now and then."""
        if self.list_empty:
            self._listed = core.VmsListed(frozenset(), frozenset())
        elif not self.list_stale:
            self._listed = core.VmsListed(
                frozenset(self.agent_names), frozenset(self.leaving)
            )
        for name in self.entry_names:
            self.nodes[name].post(self._listed)
        self.clock.after(_LIST_EVERY_S, self._list_vms)

    def _stopped(
        self,
        moment: _nodes.Moment,
        node: _nodes.Node | None,
        peer: _nodes.Node | None = None,
        subject: object = None,
    ) -> bool:
        if self.hook is None:
            return False
        return self.hook(_nodes.Happening(moment, node, peer, subject))

    # Streams.

    @property
    def pairs(self) -> frozenset[frozenset[str]]:
        """The pairs of nodes that have streams."""
        return frozenset(self._streams)

    def stream(self, first: str, second: str) -> _nodes.Stream:
        """Return the stream between two nodes."""
        return self._streams[frozenset((first, second))]

    def _open(self, stream: _nodes.Stream) -> None:
        ends = (stream.first, stream.second)
        ready = all(node.running for node in ends)
        if stream.up:
            return
        if not ready or self.now < stream.closed_until:
            self.clock.after(_REDIAL_S, lambda: self._open(stream))
            return
        first, second = ends
        if self._stopped(_nodes.Moment.JOINED, first, second):
            self.clock.after(_REDIAL_S, lambda: self._open(stream))
            return
        if not all(node.running for node in ends):
            self.clock.after(_REDIAL_S, lambda: self._open(stream))
            return
        stream.up = True
        hello_first = first.core.hello()
        hello_second = second.core.hello()
        first.post(core.PeerUp(hello_second))
        second.post(core.PeerUp(hello_first))

    def cut(self, first: str, second: str, seconds: float = 0.0) -> None:
        """Break a stream and keep it broken for a while."""
        stream = self.stream(first, second)
        stream.closed_until = max(stream.closed_until, self.now + seconds)
        self._break(stream, stream.first, stream.second)

    def half_open(self, noticing: str, late: str, seconds: float) -> None:
        """Break a stream so that one end notices only after a while."""
        stream = self.stream(noticing, late)
        if not stream.up:
            return
        other = self.nodes[late]
        hello = self.nodes[noticing].core.hello()
        stream.closed_until = max(stream.closed_until, self.now + seconds)
        self._break(stream, self.nodes[noticing])
        epoch = stream.epoch

        def notice() -> None:
            if stream.epoch == epoch and not stream.up:
                other.post(core.PeerDown(hello.name, hello.incarnation))

        self.clock.after(seconds, notice)

    def _break(self, stream: _nodes.Stream, *told: _nodes.Node) -> None:
        if not stream.up:
            return
        stream.up = False
        stream.epoch += 1
        for node in told:
            other = stream.other(node)
            hello = other.core.hello()
            event = core.PeerDown(hello.name, hello.incarnation)
            self.clock.after(stream.delay, functools.partial(node.post, event))
        self.clock.after(_REDIAL_S, lambda: self._open(stream))

    def _send(
        self, node: _nodes.Node, peer: str, message: wire.Message
    ) -> None:
        stream = self._streams.get(frozenset((node.name, peer)))
        if stream is None:
            return
        other = stream.other(node)
        if not isinstance(message, wire.KeepAlive):
            self.messages += 1
            if isinstance(message, wire.TasksReleased):
                self.wasted += 2
        if self._stopped(_nodes.Moment.SENT, node, other, message):
            return
        if stream.up and node.alive:
            self.deliver(stream, node, message)

    def deliver(
        self,
        stream: _nodes.Stream,
        node: _nodes.Node,
        message: wire.Message,
        extra: float = 0.0,
        in_order: bool = True,
    ) -> None:
        """Deliver a message from a node after the stream's delay."""
        epoch = stream.epoch
        other = stream.other(node)
        when = self.now + stream.delay + stream.slow + extra
        if in_order:
            when = max(when, stream.last_delivery)
            stream.last_delivery = when

        def arrive() -> None:
            if stream.epoch != epoch:
                return
            if self._stopped(_nodes.Moment.DELIVERED, node, other, message):
                return
            if stream.epoch == epoch:
                other.post(core.Received(node.name, message))

        self.clock.at(when, arrive)

    # Processes.

    def kill(self, name: str, restart_s: float | None = _RESTART_S) -> None:
        """Kill a process and start it anew later, if at all."""
        node = self.nodes[name]
        if not node.alive:
            return
        node.kill()
        self._lose_clients(name)
        if name in self.endpoints.states:
            self.endpoints.lose(name)
        for stream in self._by_node[name]:
            if stream.up:
                self._break(stream, stream.other(node))
        if restart_s is not None:
            self.clock.after(restart_s, lambda: self.restart(name))

    def restart(self, name: str) -> None:
        """Start a killed process with a fresh core."""
        node = self.nodes[name]
        if node.alive:
            return
        if name in self.endpoints.states:
            number = self.agent_names.index(name)
            node.start(self._new_agent(name, number))
        else:
            number = self.entry_names.index(name)
            node.start(self._new_entry(name, number))
            # An entry learns of the others from the list.
            node.post(self._listed)
            self.readers[name].read()

    def freeze(self, name: str, seconds: float) -> None:
        """Freeze a process and resume it later."""
        node = self.nodes[name]
        node.freeze()
        self.clock.after(seconds, node.resume)

    def drain(self, name: str) -> None:
        """Ask a process to stop as planned."""
        self.nodes[name].post(core.DrainRequested())

    # Clients.

    def submit(
        self, request: core.JobRequest, entry: str
    ) -> _clients.ClientRecord:
        """Send a job to an entry now."""
        record = _clients.ClientRecord(
            next(self._tokens), request, entry, self.now
        )
        self.records.append(record)
        node = self.nodes[entry]
        if self._stopped(_nodes.Moment.SUBMITTED, node, None, request):
            record.lost = True
            return record
        self.clock.after(
            self.options.client_hop_s, lambda: self._arrive(record)
        )
        return record

    def cancel(self, request: core.JobRequest, entry: str) -> None:
        """Cancel a job at an entry now."""
        event = core.ClientCancelled(request.workspace, request.request_id)
        self.clock.after(
            self.options.client_hop_s,
            lambda: self.nodes[entry].post(event),
        )

    def _arrive(self, record: _clients.ClientRecord) -> None:
        node = self.nodes[record.entry]
        if not node.alive:
            record.lost = True
            return
        self._waiting[record.token] = record
        node.post(core.ClientSubmitted(record.token, record.request))

    def _answer(self, action: core.AnswerClient) -> None:
        record = self._waiting.pop(action.token, None)
        if record is None:
            return

        def arrive() -> None:
            record.answers += 1
            record.answer = action.answer
            record.answered_at = self.now

        self.clock.after(self.options.client_hop_s, arrive)

    def _lose_clients(self, entry: str) -> None:
        for token, record in list(self._waiting.items()):
            if record.entry == entry:
                record.lost = True
                del self._waiting[token]

    def submit_until_told(
        self,
        request: core.JobRequest,
        entries: abc.Sequence[str],
        tries: int = 6,
        retry_s: float = 1.0,
    ) -> list[_clients.ClientRecord]:
        """Submit as a careful client does: with a ticket, again if lost.

        :return: the records of all submissions, filled in as they come
        """
        made: list[_clients.ClientRecord] = []
        rotation = itertools.cycle(entries)

        def attempt(current: core.JobRequest, left: int) -> None:
            record = self.submit(current, next(rotation))
            made.append(record)
            self._watch(record, lambda: look(record, current, left))

        def look(
            record: _clients.ClientRecord,
            current: core.JobRequest,
            left: int,
        ) -> None:
            match record.outcome:
                case outcomes.TicketRequired(ticket) if left:
                    ticketed = dataclasses.replace(current, ticket=ticket)
                    attempt(ticketed, left - 1)
                case outcomes.InProgress() | outcomes.Refused() if left:
                    self.clock.after(
                        retry_s, lambda: attempt(current, left - 1)
                    )
                case None if left and (current.repeatable or current.ticket):
                    attempt(current, left - 1)
                case _:
                    pass

        attempt(request, tries)
        return made

    def _watch(
        self, record: _clients.ClientRecord, then: abc.Callable[[], None]
    ) -> None:
        """Call once a record is answered or lost."""

        def look() -> None:
            if record.answer is not None or record.lost:
                then()
            else:
                self.clock.after(0.01, look)

        look()

    # Configuration.

    def publish(
        self,
        entities: tuple[configlog.Entity, ...],
        change_id: str,
        base: int,
        done: abc.Callable[[int | None], None] = lambda _: None,
    ) -> None:
        """Append a change of the configuration."""
        change = configlog.Change(
            change_id, base, "operator", "because", self.now, entities
        )
        data = configlog.encode_record(change)
        if self._stopped(_nodes.Moment.APPENDED, None, None, change):
            return
        self.log.append(data, done)

    # Actions.

    def _perform(self, node: _nodes.Node, action: core.Action) -> None:
        if isinstance(action, core.Send):
            self._send(node, action.peer, action.message)
            return
        if self._stopped(_nodes.Moment.ACTED, node, None, action):
            return
        match action:
            case core.RunTask():
                self.endpoints.run(node, action)
            case core.StopTask():
                self.endpoints.stop(node, action)
            case core.AnswerClient():
                self._answer(action)
            case core.AdoptConfig(_, data):
                snapshot = configlog.decode_snapshot(data)
                self.readers[node.name].adopt(snapshot)

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.clock.run(self.now + seconds)
