"""The configuration in force, prepared for quick decisions."""

import dataclasses

from ferryledge import configlog
from ferryledge import policy


class Rulebook:
    """One version of the configuration.

    A policy that does not compile counts as absent; :attr:`failures`
    names it.

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
            one.name for one in snapshot.of_kind("cordon")
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
        """The configuration's version; 0 if none is known."""
        return self._snapshot.version

    @property
    def snapshot(self) -> configlog.Snapshot:
        """The configuration itself."""
        return self._snapshot

    @property
    def failures(self) -> dict[str, int]:
        """How often each policy's programs failed."""
        return dict(self._failures)

    def service(self, name: str) -> configlog.Service | None:
        """Return a service, or none."""
        return self._services.get(name)

    def workspace(self, name: str) -> configlog.Workspace | None:
        """Return a workspace, or none."""
        return self._workspaces.get(name)

    def has_quota(self, name: str) -> bool:
        """Return whether a workspace's slots are limited."""
        workspace = self._workspaces.get(name)
        return workspace is not None and workspace.quota_slots > 0

    def weight(self, name: str) -> float:
        """Return a workspace's weight under contention."""
        workspace = self._workspaces.get(name)
        return 1.0 if workspace is None else workspace.weight

    def place(self, name: str) -> configlog.Place | None:
        """Return a place, or none."""
        return self._places.get(name)

    def quotas(self) -> dict[str, int]:
        """Return the quota of each workspace in slots; 0 is no limit."""
        return {t.name: t.quota_slots for t in self._workspaces.values()}

    def evaluate(
        self, service: configlog.Service, facts: policy.Facts
    ) -> policy.Decision:
        """Let the service's policy weigh a job."""
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
        """Return the zones in which a job may run; none is anywhere.

        :param service: the job's service
        :param facts: what its policy sees
        :param places: the places that the client asked for
        :param known: the zones that have endpoints
        """
        wished = self._wished(places)
        rules = self._rules.get(service.policy)
        if rules is None or not rules.limits_zones:
            return wished
        zones = known if wished is None else known & wished
        try:
            return frozenset(
                zone
                for zone in zones
                if rules.allows(dataclasses.replace(facts, zone=zone))
            )
        except policy.PolicyError:
            self._note_failure(service.policy)
            return wished

    def _wished(self, places: tuple[str, ...]) -> frozenset[str] | None:
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
