"""Estimates of services' run times and of endpoints' slowness.

Run times vary by factors, so the exponentially decaying averages are of
their logarithms.
"""

import math

import msgspec

#: Expected run time of a service without samples, in seconds.
DEFAULT_RUN_S = 0.3
#: Spread of a service without samples: between half and double.
DEFAULT_SPREAD = 0.7
#: Bounds in seconds of the run times that are learned from or declared.
_MIN_RUN_S = 1e-4
_MAX_RUN_S = 1e6
_SERVICE_DECAY = 0.02
_SLOWNESS_DECAY = 0.06
#: Weight, in samples, of the assumption that an endpoint has slowness 1. Also
#: the samples of a service from which on its runs show endpoints' slowness.
_PRIOR_SAMPLES = 4
_INITIAL_ERROR = 1.0


def _in_bounds(run_s: float) -> float:
    return max(_MIN_RUN_S, min(run_s, _MAX_RUN_S))


class _Average(msgspec.Struct):
    """An exponentially decaying average; the first samples weigh more."""

    decay: float
    value: float = 0.0
    samples: int = 0

    def add(self, sample: float) -> None:
        self.samples += 1
        weight = max(self.decay, 1.0 / (self.samples + 1))
        self.value += weight * (sample - self.value)


class _Service(msgspec.Struct):
    """Logarithms of a service's run times and of the errors of estimates."""

    log_mean: _Average
    declared_bias: _Average
    mean_error: _Average
    declared_error: _Average


def _new_service() -> _Service:
    return _Service(
        _Average(_SERVICE_DECAY, math.log(DEFAULT_RUN_S)),
        _Average(_SERVICE_DECAY),
        _Average(_SERVICE_DECAY, _INITIAL_ERROR),
        _Average(_SERVICE_DECAY, _INITIAL_ERROR),
    )


class RunTimes:
    """Learns and predicts run times of tasks and slowness of endpoints."""

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}
        self._endpoint_slowness: dict[str, _Average] = {}

    def predict(self, service: str, declared_s: float = 0.0) -> float:
        """Return the expected run time in seconds at normal speed.

        Combines the service's average with the declared run time, which is
        corrected by its mean bias. Each is weighted by its past accuracy.

        :param service: the task's service
        :param declared_s: run time that the client declared; 0 if none
        """
        row = self._services.get(service)
        if declared_s > 0:
            declared_s = _in_bounds(declared_s)
        if row is None:
            return declared_s if declared_s > 0 else DEFAULT_RUN_S
        learned = row.log_mean.value
        if declared_s <= 0:
            return math.exp(learned)
        corrected = math.log(declared_s) + row.declared_bias.value
        learned_precision = 1.0 / (row.mean_error.value + 1e-3)
        declared_precision = 1.0 / (row.declared_error.value + 1e-3)
        weight = (
            declared_precision
            * declared_precision
            / (
                learned_precision * learned_precision
                + declared_precision * declared_precision
            )
        )
        return math.exp(learned + weight * (corrected - learned))

    def spread(self, service: str) -> float:
        """Return the error of expected run times.

        The error is the standard deviation of the logarithm of actual over
        expected run times.

        :param service: the task's service
        """
        row = self._services.get(service)
        if row is None:
            return DEFAULT_SPREAD
        error = min(row.mean_error.value, row.declared_error.value)
        return min(DEFAULT_SPREAD, math.sqrt(error))

    def slowness(self, endpoint: str) -> float:
        """Return an endpoint's run times relative to normal; 1 is normal."""
        row = self._endpoint_slowness.get(endpoint)
        if row is None:
            return 1.0
        confidence = row.samples / (row.samples + _PRIOR_SAMPLES)
        return math.exp(row.value * confidence)

    def learn(
        self, service: str, endpoint: str, run_s: float, declared_s: float
    ) -> None:
        """Learn from a finished task.

        :param service: the task's service
        :param endpoint: the endpoint that ran the task
        :param run_s: run time in seconds
        :param declared_s: run time that the client declared; 0 if none
        """
        row = self._services.get(service)
        if row is None:
            row = self._services[service] = _new_service()
        average = self._endpoint_slowness.get(endpoint)
        if average is None:
            average = self._endpoint_slowness[endpoint] = _Average(
                _SLOWNESS_DECAY
            )
        log_run_s = math.log(_in_bounds(run_s))
        if row.log_mean.samples >= _PRIOR_SAMPLES:
            average.add(log_run_s - row.log_mean.value)
        log_run_at_normal_s = log_run_s - math.log(self.slowness(endpoint))
        row.mean_error.add((log_run_at_normal_s - row.log_mean.value) ** 2)
        row.log_mean.add(log_run_at_normal_s)
        if declared_s > 0:
            bias = log_run_at_normal_s - math.log(_in_bounds(declared_s))
            error = bias - row.declared_bias.value
            row.declared_error.add(error * error)
            row.declared_bias.add(bias)

    def forget_endpoint(self, endpoint: str) -> None:
        """Drop the slowness learned of an endpoint."""
        self._endpoint_slowness.pop(endpoint, None)
