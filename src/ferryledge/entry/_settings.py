"""Settings of an entry."""

import pydantic

from ferryledge import core
from ferryledge import runtime

_DEFAULTS = core.EntryOptions()


class EntrySettings(runtime.ProcessSettings):
    """Settings of ``ferryledge-entry``."""

    platform_url: str = pydantic.Field(
        pattern=r"^http://[^/\s]+$",
        description="Base address of the platform, http://HOST:PORT.",
    )
    guards: bool = pydantic.Field(
        default=_DEFAULTS.guards,
        description="Refuse jobs that are expected to miss their deadline.",
    )
    max_waiting_tasks: int = pydantic.Field(
        default=_DEFAULTS.max_waiting_tasks,
        ge=1,
        description="Maximum number of tasks that wait for a slot.",
    )
    pool_size: int = pydantic.Field(
        default=_DEFAULTS.pool_size,
        ge=1,
        description="Maximum number of endpoints in a pool.",
    )
    age_bound_s: float = pydantic.Field(
        default=_DEFAULTS.age_bound_s,
        gt=0,
        description="Seconds of waiting after which a job takes precedence.",
    )
    report_together_free: float = pydantic.Field(
        default=_DEFAULTS.report_together_free,
        ge=0,
        le=1.01,
        description=(
            "Share of slots that must be free for results to be reported "
            "together, which saves messages; 1.01 reports each alone."
        ),
    )
    silence_s: float = pydantic.Field(
        default=_DEFAULTS.silence_s,
        gt=0,
        description="Seconds of silence after which a peer is suspect.",
    )
    vms_poll_s: float = pydantic.Field(
        default=1.0, gt=0, description="Seconds between reads of the VM list."
    )
    log_wait_s: float = pydantic.Field(
        default=5.0,
        gt=0,
        le=60,
        description="Seconds that a read of the log waits for new records.",
    )
    checkpoint_records: int = pydantic.Field(
        default=200,
        ge=1,
        description="Records after which a checkpoint is due.",
    )
    checkpoint_age_s: float = pydantic.Field(
        default=600.0,
        gt=0,
        description="Seconds after which a checkpoint is due.",
    )
    drain_s: float = pydantic.Field(
        default=60.0,
        gt=0,
        description="Maximum duration of a drain in seconds.",
    )

    def options(self) -> core.EntryOptions:
        """Return the options that these settings give the core."""
        return core.EntryOptions(
            guards=self.guards,
            max_waiting_tasks=self.max_waiting_tasks,
            pool_size=self.pool_size,
            age_bound_s=self.age_bound_s,
            report_together_free=self.report_together_free,
            silence_s=self.silence_s,
        )
