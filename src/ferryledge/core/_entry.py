"""The decision core of an entry process.

Events are passed to :meth:`EntryCore.receive`; :meth:`EntryCore.tick` returns
the actions to perform. The core does no input or output of its own.
"""

import random

from ferryledge import configlog
from ferryledge.core import _actions
from ferryledge.core import _convert
from ferryledge.core import _events
from ferryledge.core import _front
from ferryledge.core import _front_jobs
from ferryledge.core import _options
from ferryledge.core import _peers
from ferryledge.core import _reachable_agents
from ferryledge.core import _requests
from ferryledge.core import _routing
from ferryledge.core import _rulebook
from ferryledge.core import _scheduler
from ferryledge.core import _ticket_stock
from ferryledge.core import _trace
from ferryledge import wire

#: Seconds between checks for silent schedulers and for expired deadlines.
_SWEEP_S = 0.1


class EntryCore:
    """Accepts jobs from clients, and schedules its own and its peers' jobs.

    :param identity: name, incarnation and zone of this process
    :param options: settings of the scheduler and the front
    :param rng: the only source of randomness
    """

    def __init__(
        self,
        identity: _options.Identity,
        options: _options.EntryOptions,
        rng: random.Random,
    ) -> None:
        self._identity = identity
        self._options = options
        self._peers = _peers.Peers(
            options.keepalive_s, options.busy_keepalive_s
        )
        self._trace = _trace.Trace()
        self._front = _front.Front(
            identity, options, self._peers, rng, self._trace
        )
        self._scheduler = _scheduler.Scheduler(
            identity, options, self._peers, rng, self._trace
        )
        self._routing = _routing.Routing(
            identity, options, self._peers, self._scheduler, rng
        )
        self._tickets = _ticket_stock.TicketStock(
            options, self._peers, self._front, self._scheduler, rng
        )
        self._rulebook = _rulebook.Rulebook(configlog.EMPTY_SNAPSHOT)
        #: The agents reported to each scheduler, by its name.
        self._reach_by_scheduler: dict[
            str, _reachable_agents.ReachableAgents
        ] = {}
        #: Empty group for the parts that this entry schedules itself.
        self._own_group = _reachable_agents.Group(set())
        self._reachable_cache: frozenset[str] | None = None
        self._leaving_vms: frozenset[str] = frozenset()
        self._draining = False
        self._next_sweep = 0.0

    @property
    def idle(self) -> bool:
        """Whether there are no open jobs, from clients or other entries."""
        return not self._front.jobs and not self._scheduler.jobs

    @property
    def draining(self) -> bool:
        """Whether the entry is shutting down and refuses new jobs."""
        return self._draining

    @property
    def ready(self) -> bool:
        """Whether there is a configuration and a usable endpoint."""
        usable = any(row.usable for row in self._scheduler.table)
        return bool(self._rulebook.version) and usable and not self._draining

    @property
    def rulebook(self) -> _rulebook.Rulebook:
        """The configuration in force."""
        return self._rulebook

    @property
    def front(self) -> _front.Front:
        """The jobs of this entry's clients."""
        return self._front

    @property
    def scheduler(self) -> _scheduler.Scheduler:
        """The jobs that this entry schedules."""
        return self._scheduler

    @property
    def trace(self) -> _trace.Trace:
        """The trace of decisions about recent jobs."""
        return self._trace

    @property
    def peers(self) -> _peers.Peers:
        """The connected peers."""
        return self._peers

    def hello(self) -> wire.Hello:
        """Return the first message to send on a new stream."""
        return wire.Hello(
            wire.Role.ENTRY,
            self._identity.name,
            self._identity.incarnation,
            self._identity.zone,
            leaving=self._draining,
            config_version=self._rulebook.version,
        )

    def receive(self, now: float, event: _events.Event) -> None:
        """Process one event; :meth:`tick` returns the resulting actions.

        :param now: current time in monotonic seconds
        :param event: the event
        :raises TypeError: if the event is of a type that entries do not
            process
        """
        match event:
            case _events.Received(peer, message):
                self._on_message(now, peer, message)
            case _events.ClientSubmitted(token, request):
                self._on_submit(now, token, request)
            case _events.ClientCancelled():
                self._on_cancel(now, event)
            case _events.PeerUp(hello):
                self._on_peer_up(now, hello)
            case _events.PeerDown(name, incarnation):
                self._on_peer_down(now, name, incarnation)
            case _events.ConfigChanged(snapshot):
                self._on_config(now, snapshot)
            case _events.VmsListed():
                self._on_vms(event)
            case _events.DrainRequested():
                self._on_drain(now)
            case _:
                raise TypeError(f"not an event for an entry: {event!r}")

    def tick(self, now: float) -> list[_actions.Action]:
        """Schedule tasks, run the periodic checks and return the actions.

        :param now: current time in monotonic seconds
        """
        if now >= self._next_sweep:
            self._sweep(now)
        self._scheduler.run_systems(now)
        for moved in self._scheduler.task_ends.take_returned():
            removed = self._front.take_back(moved.submission, moved.indices)
            if removed is not None:
                self._assign_tasks(now, *removed, direct=False)
        for answered in self._scheduler.answering.pop_answers():
            self._front.on_answer(answered.submission, "", answered.answer)
        self._peers.send_keepalives(
            now,
            self._rulebook.version,
            self._scheduler.waiting,
            round(self._scheduler.table.load, 3),
        )
        return self._peers.pop_actions()

    def wake_at(self) -> float:
        """Return when :meth:`tick` is due next, in monotonic seconds."""
        due = min(self._peers.wake_at(), self._scheduler.wake_at())
        if self._front.jobs:
            due = min(due, self._next_sweep)
        return due

    # Clients.

    def _on_submit(
        self, now: float, token: int, request: _requests.JobRequest
    ) -> None:
        job = self._front.submit(now, token, request)
        if job is not None:
            indices = tuple(range(len(request.tasks)))
            self._assign_tasks(now, job, indices)
        self._tickets.refill(now)

    def _assign_tasks(
        self,
        now: float,
        job: _front_jobs.FrontJob,
        indices: tuple[int, ...],
        direct: bool = True,
    ) -> None:
        """Assign tasks of a job to a scheduler: this entry or a peer.

        :param now: current time in monotonic seconds
        :param job: the job
        :param indices: indices of the tasks in the job
        :param direct: whether this entry may schedule the tasks although
            routing chose another entry; ignored for a workspace with a
            quota
        """
        peer = self._routing.choose_scheduler(job.request)
        has_quota = self._rulebook.has_quota(job.request.workspace)
        direct = direct and not has_quota
        if (
            direct
            and peer
            and self._routing.should_place_locally(peer, len(indices))
        ):
            peer = None
        group = self._own_group
        if peer is not None:
            group = self._send_agent_set(now, peer)
        message = self._front.make_part(now, job, peer, indices, group)
        self._trace.note(
            now,
            job.name,
            _trace.Mechanism.ROUTING,
            f"submission {message.submission} of {len(indices)} tasks to "
            + (
                f"scheduler {peer.name} at load {peer.load:.2f}"
                if peer
                else "this entry"
            ),
        )
        if peer is None:
            self._scheduler.place(now, "", message)
            return
        peer.busy = True
        self._peers.send(now, peer.name, message)

    def _on_cancel(self, now: float, event: _events.ClientCancelled) -> None:
        submissions = self._front.local_parts(
            event.workspace, event.request_id
        )
        if self._front.cancel(now, event.workspace, event.request_id):
            for submission in submissions:
                self._scheduler.cancel(now, "", submission)
            return
        if not event.forward:
            return
        message = wire.CancelRequest(event.workspace, event.request_id)
        for peer in self._peers.of_role(wire.Role.ENTRY):
            self._peers.send(now, peer.name, message)

    # Peers.

    def _on_peer_up(self, now: float, hello: wire.Hello) -> None:
        previous = self._peers.find(hello.name)
        if previous is not None:
            self._on_peer_down(now, hello.name, previous.incarnation)
        self._reachable_cache = None
        peer = self._peers.up(hello, now)
        if hello.name in self._leaving_vms:
            peer.leaving = True
        if hello.role is wire.Role.AGENT:
            self._scheduler.endpoints.agent_up(now, hello)
            process = wire.process_key(hello.name, hello.incarnation)
            self._front.recovery.agent_up(now, hello.name, process)
            if peer.leaving:
                self._scheduler.endpoints.agent_leaving(hello.name)
            self._update_schedulers(now)
            self._tickets.refill(now)
        elif not self._rulebook.version:
            self._peers.send(now, hello.name, wire.ConfigRequest())
        self._routing.share_endpoints()

    def _on_peer_down(self, now: float, name: str, incarnation: str) -> None:
        peer = self._peers.down(name, incarnation)
        if peer is None:
            return
        self._reachable_cache = None
        if peer.hello.role is wire.Role.AGENT:
            self._scheduler.endpoints.agent_down(now, name)
            process = wire.process_key(name, incarnation)
            self._front.recovery.agent_lost(now, process)
            self._front.drop_tickets(name)
            return
        self._scheduler.front_lost(now, name)
        self._scheduler_lost(now, peer)
        self._routing.share_endpoints()

    def _scheduler_lost(self, now: float, peer: _peers.Peer) -> None:
        self._front.recovery.scheduler_lost(now, peer.name, peer.incarnation)
        self._reach_by_scheduler.pop(peer.name, None)

    def _send_agent_set(
        self, now: float, peer: _peers.Peer
    ) -> _reachable_agents.Group:
        """Send a scheduler the agents that this entry can reach, if changed.

        :return: the group of agents for parts assigned to it from now on
        """
        reach = self._reach_by_scheduler.setdefault(
            peer.name, _reachable_agents.ReachableAgents()
        )
        agents = self._reachable()
        if reach.update(agents):
            reach.keep_only(self._front.groups_at(peer.name))
            message = wire.AgentSet(tuple(sorted(agents)))
            self._peers.send(now, peer.name, message)
        return reach.group

    def _update_schedulers(self, now: float) -> None:
        """Send the agents to all schedulers that hold tasks of this entry.

        Their tasks may be waiting for an agent that has just reconnected.
        """
        for name in list(self._reach_by_scheduler):
            peer = self._peers.find(name)
            if peer is not None and self._front.outstanding(name):
                self._send_agent_set(now, peer)

    def _reachable(self) -> frozenset[str]:
        """Return the process keys of the connected agents."""
        if self._reachable_cache is None:
            self._reachable_cache = frozenset(
                wire.process_key(agent.name, agent.incarnation)
                for agent in self._peers.of_role(wire.Role.AGENT)
            )
        return self._reachable_cache

    # Messages.

    def _on_message(
        self, now: float, name: str, message: wire.Message
    ) -> None:
        peer = self._peers.find(name)
        if peer is None:
            return
        peer.last_received = now
        if peer.is_suspect:
            peer.is_suspect = False
            self._routing.share_endpoints()
        if peer.hello.role is wire.Role.AGENT:
            self._on_agent_message(now, peer, message)
        else:
            self._on_entry_message(now, peer, message)

    def _on_agent_message(
        self, now: float, peer: _peers.Peer, message: wire.Message
    ) -> None:
        name = peer.name
        match message:
            case wire.TasksFinished():
                self._scheduler.task_ends.on_finished(now, name, message)
            case wire.TasksReleased():
                self._scheduler.task_ends.on_released(now, name, message)
            case wire.KeepAlive(version):
                peer.config_version = version
            case wire.Leaving():
                peer.leaving = True
                self._scheduler.endpoints.agent_leaving(name)
                self._front.drop_tickets(name)
                self._peers.send(now, name, wire.Leaving(confirms=True))
            case wire.Tickets(tickets):
                self._tickets.add(tickets)
            case wire.Verdict():
                self._scheduler.ticketing.on_verdict(now, message)
            case wire.FenceReport():
                process = wire.process_key(name, peer.incarnation)
                for job, unstarted in self._front.recovery.on_report(
                    process, message
                ):
                    self._assign_tasks(now, job, unstarted)
            case _:
                return

    def _on_entry_message(
        self, now: float, peer: _peers.Peer, message: wire.Message
    ) -> None:
        name = peer.name
        match message:
            case wire.PlaceJob():
                peer.busy = True
                self._scheduler.place(now, name, message)
            case wire.JobAnswered(submission, record, waiting, load):
                peer.waiting = waiting
                peer.load = load
                answer = _convert.job_answer(record)
                self._front.on_answer(submission, name, answer)
            case wire.CancelJob(submission):
                self._scheduler.cancel(now, name, submission)
            case wire.CancelRequest(workspace, request_id):
                event = _events.ClientCancelled(
                    workspace, request_id, forward=False
                )
                self._on_cancel(now, event)
            case wire.AbandonJobs(through):
                self._scheduler.abandon(now, name, through)
            case wire.AgentSet(agents):
                self._scheduler.allow_agents(name, frozenset(agents))
            case wire.KeepAlive(version, waiting, load):
                peer.config_version = version
                peer.waiting = waiting
                peer.load = load
            case wire.Leaving():
                peer.leaving = True
                self._routing.share_endpoints()
            case _:
                self._on_config_message(now, name, message)

    def _on_config_message(
        self, now: float, name: str, message: wire.Message
    ) -> None:
        match message:
            case wire.ConfigRequest() if self._rulebook.version:
                snapshot = configlog.encode_snapshot(self._rulebook.snapshot)
                reply = wire.ConfigReply(self._rulebook.version, snapshot)
                self._peers.send(now, name, reply)
            case wire.ConfigReply(version, data):
                if version > self._rulebook.version:
                    self._peers.do(_actions.AdoptConfig(name, data))
            case _:
                return

    # Configuration, membership and draining.

    def _on_config(self, now: float, snapshot: configlog.Snapshot) -> None:
        if snapshot.version <= self._rulebook.version:
            return
        self._rulebook = _rulebook.Rulebook(snapshot)
        self._trace.version = snapshot.version
        self._front.configure(self._rulebook)
        self._scheduler.configure(self._rulebook)
        alive = wire.KeepAlive(snapshot.version, self._scheduler.waiting)
        for peer in list(self._peers):
            self._peers.send(now, peer.name, alive)

    def _on_vms(self, event: _events.VmsListed) -> None:
        if not event.agents and not event.leaving:
            return
        self._leaving_vms = event.leaving
        for name in event.leaving:
            peer = self._peers.find(name)
            if peer is None:
                continue
            peer.leaving = True
            if peer.hello.role is wire.Role.AGENT:
                self._scheduler.endpoints.agent_leaving(name)

    def _on_drain(self, now: float) -> None:
        if self._draining:
            return
        self._draining = True
        self._routing.draining = True
        self._front.drain()
        for peer in list(self._peers):
            self._peers.send(now, peer.name, wire.Leaving())

    def _sweep(self, now: float) -> None:
        delay_s = now - self._next_sweep
        self._next_sweep = now + _SWEEP_S
        if self._front.jobs and delay_s > _peers.PAUSE_THRESHOLD_S:
            # This process was paused, so the peers may not have been silent.
            self._peers.reset_silence_timers(now)
        self._front.sweep(now)
        for peer in self._peers.of_role(wire.Role.ENTRY):
            self._check_silence(now, peer)

    def _check_silence(self, now: float, peer: _peers.Peer) -> None:
        """Recover the tasks of a scheduler that was silent for too long."""
        if not peer.busy or not self._front.outstanding(peer.name):
            return
        if now - peer.last_received <= self._options.silence_s:
            return
        peer.is_suspect = True
        abandon = wire.AbandonJobs(self._front.last_number)
        self._peers.send(now, peer.name, abandon)
        self._scheduler_lost(now, peer)
        self._routing.share_endpoints()
