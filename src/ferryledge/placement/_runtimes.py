"""Learned run times of services and speeds of endpoints.

Run times vary by a factor rather than by an amount, so all averages are of
logarithms, with exponential decay.
"""

import math

import msgspec

#: Run time assumed of a service that never ran, in seconds.
DEFAULT_RUN_S = 0.3
#: Spread assumed of a service that never ran: half to double.
DEFAULT_SPREAD = 0.7
_SHORTEST_S = 1e-4
_SERVICE_DECAY = 0.02
_SPEED_DECAY = 0.06
#: Weight of the assumption against the first measurements.
_PRIOR_SAMPLES = 4
_ERROR_START = 1.0


class _Average(msgspec.Struct):
    """A decaying average of logarithms with a quick start."""

    decay: float
    value: float = 0.0
    samples: int = 0

    def add(self, sample: float) -> None:
        self.samples += 1
        weight = max(self.decay, 1.0 / (self.samples + 1))
        self.value += weight * (sample - self.value)


class _Service(msgspec.Struct):
    log_mean: _Average
    declared_bias: _Average
    mean_error: _Average
    declared_error: _Average


def _new_service() -> _Service:
    return _Service(
        _Average(_SERVICE_DECAY, math.log(DEFAULT_RUN_S)),
        _Average(_SERVICE_DECAY),
        _Average(_SERVICE_DECAY, _ERROR_START),
        _Average(_SERVICE_DECAY, _ERROR_START),
    )


class RunTimes:
    """Predicts how long tasks take and how fast endpoints are."""

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}
        self._speeds: dict[str, _Average] = {}

    def predict(self, service: str, declared_s: float = 0.0) -> float:
        """Return the expected run time in seconds at normal speed.

        The client's declaration is used, corrected by its usual error, as
        far as it has told run times better than the service's average.

        :param service: the task's service
        :param declared_s: what the client declared; 0 is nothing
        """
        row = self._services.get(service)
        if row is None:
            return declared_s or DEFAULT_RUN_S
        learned = row.log_mean.value
        if declared_s <= 0:
            return math.exp(learned)
        corrected = math.log(declared_s) + row.declared_bias.value
        own = 1.0 / (row.mean_error.value + 1e-3)
        told = 1.0 / (row.declared_error.value + 1e-3)
        weight = told * told / (own * own + told * told)
        return math.exp(learned + weight * (corrected - learned))

    def spread(self, service: str) -> float:
        """Return by how much expected run times are off.

        The standard deviation of the logarithm of what tasks took against
        what was expected.

        :param service: the task's service
        """
        row = self._services.get(service)
        if row is None:
            return DEFAULT_SPREAD
        error = min(row.mean_error.value, row.declared_error.value)
        return min(DEFAULT_SPREAD, math.sqrt(error))

    def slowness(self, endpoint: str) -> float:
        """Return how many times as long tasks take there; 1 is normal."""
        row = self._speeds.get(endpoint)
        if row is None:
            return 1.0
        certainty = row.samples / (row.samples + _PRIOR_SAMPLES)
        return math.exp(row.value * certainty)

    def learn(
        self, service: str, endpoint: str, run_s: float, declared_s: float
    ) -> None:
        """Take in one finished task.

        :param service: the task's service
        :param endpoint: where it ran
        :param run_s: seconds that it ran
        :param declared_s: what the client declared; 0 is nothing
        """
        row = self._services.get(service)
        if row is None:
            row = self._services[service] = _new_service()
        speed = self._speeds.get(endpoint)
        if speed is None:
            speed = self._speeds[endpoint] = _Average(_SPEED_DECAY)
        taken = math.log(max(run_s, _SHORTEST_S))
        if row.log_mean.samples >= _PRIOR_SAMPLES:
            speed.add(taken - row.log_mean.value)
        normal = taken - math.log(self.slowness(endpoint))
        row.mean_error.add((normal - row.log_mean.value) ** 2)
        row.log_mean.add(normal)
        if declared_s > 0:
            bias = normal - math.log(declared_s)
            error = bias - row.declared_bias.value
            row.declared_error.add(error * error)
            row.declared_bias.add(bias)

    def forget_endpoint(self, endpoint: str) -> None:
        """Drop what was learned of an endpoint that was replaced."""
        self._speeds.pop(endpoint, None)
