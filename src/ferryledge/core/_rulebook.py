"""One version of the configuration, indexed and with compiled policies."""

import dataclasses

from ferryledge import configlog
from ferryledge import policy


class Rulebook:
    """Looks up the entities of a configuration and evaluates its policies.

    A policy that does not compile is ignored and counted in
    :attr:`failures`.

    :param snapshot: the configuration
    """

    def __init__(self, snapshot: configlog.Snapshot) -> None:
        self._snapshot = snapshot
        self._services: dict[str, configlog.Service] = {}
        self._places: dict[str, configlog.Place] = {}
        self._workspaces: dict[str, configlog.Workspace] = {}
        self._rules: dict[str, policy.CompiledPolicy] = {}
        #: Availability zones that take no new work.
        self.cordons = frozenset(
            cordon.name for cordon in snapshot.of_kind("cordon")
        )
        self._failures: dict[str, int] = {}
        for entity in snapshot.entities:
            match entity:
                case configlog.Service():
                    self._services[entity.name] = entity
                case configlog.Place():
                    self._places[entity.name] = entity
                case configlog.Workspace():
                    self._workspaces[entity.name] = entity
                case configlog.Policy():
                    self._compile(entity)

    @property
    def version(self) -> int:
        """Version of the configuration; 0 if none has been received."""
        return self._snapshot.version

    @property
    def snapshot(self) -> configlog.Snapshot:
        """The configuration that this was built from."""
        return self._snapshot

    @property
    def failures(self) -> dict[str, int]:
        """Number of failures of each policy, to compile or when evaluated."""
        return dict(self._failures)

    def service(self, name: str) -> configlog.Service | None:
        """Return a service, or ``None``."""
        return self._services.get(name)

    def workspace(self, name: str) -> configlog.Workspace | None:
        """Return a workspace, or ``None``."""
        return self._workspaces.get(name)

    def has_quota(self, name: str) -> bool:
        """Return whether a workspace's slots are limited."""
        workspace = self._workspaces.get(name)
        return workspace is not None and workspace.quota_slots > 0

    def weight(self, name: str) -> float:
        """Return a workspace's weight in fair sharing."""
        workspace = self._workspaces.get(name)
        return 1.0 if workspace is None else workspace.weight

    def place(self, name: str) -> configlog.Place | None:
        """Return a place, or ``None``."""
        return self._places.get(name)

    def quotas(self) -> dict[str, int]:
        """Return the quota of each workspace in slots; 0 for no limit."""
        return {
            workspace.name: workspace.quota_slots
            for workspace in self._workspaces.values()
        }

    def evaluate(
        self, service: configlog.Service, facts: policy.Facts
    ) -> policy.Decision:
        """Evaluate the policy of a service for a job.

        :param service: the job's service
        :param facts: the properties of the job that policies can use
        :return: the decision; without a policy the urgency stays as it is
        """
        rules = self._rules.get(service.policy)
        if rules is None:
            return policy.Decision(facts.urgency)
        ruling = rules.evaluate(facts)
        if ruling.failures:
            self._note_failure(service.policy)
        return ruling

    def zones(
        self,
        service: configlog.Service,
        facts: policy.Facts,
        places: tuple[str, ...],
        known: frozenset[str],
    ) -> frozenset[str] | None:
        """Return the zones in which a job may run; ``None`` for any zone.

        A policy that fails here does not restrict the zones.

        :param service: the job's service
        :param facts: the properties of the job that policies can use
        :param places: names of the places that the client requested
        :param known: the zones that have endpoints
        """
        requested = self._requested_zones(places)
        rules = self._rules.get(service.policy)
        if rules is None or not rules.limits_zones:
            return requested
        zones = known if requested is None else known & requested
        try:
            return frozenset(
                zone
                for zone in zones
                if rules.allows(dataclasses.replace(facts, zone=zone))
            )
        except policy.PolicyError:
            self._note_failure(service.policy)
            return requested

    def _requested_zones(
        self, places: tuple[str, ...]
    ) -> frozenset[str] | None:
        if not places:
            return None
        zones: set[str] = set()
        for name in places:
            place = self._places.get(name)
            if place is not None:
                zones.update(place.zones)
        return frozenset(zones)

    def _compile(self, entity: configlog.Policy) -> None:
        try:
            self._rules[entity.name] = policy.CompiledPolicy(entity)
        except policy.PolicyError:
            self._note_failure(entity.name)

    def _note_failure(self, name: str) -> None:
        self._failures[name] = self._failures.get(name, 0) + 1
