"""Settings of an agent."""

import pydantic

from ferryledge import runtime


class AgentSettings(runtime.ProcessSettings):
    """Settings of ``ferryledge-agent``."""

    endpoint_url: str = pydantic.Field(
        pattern=r"^http://[^/\s]+$",
        description="Base address of the endpoint, http://HOST:PORT.",
    )
    slots: int = pydantic.Field(
        default=8,
        ge=1,
        le=4096,
        description="Maximum number of tasks that run at once.",
    )
    connections: int = pydantic.Field(
        default=64,
        ge=1,
        le=4096,
        description="Maximum number of HTTP connections to the endpoint.",
    )
    memory_mb: int = pydantic.Field(
        default=0,
        ge=0,
        description="Memory for tasks in MB; 0 is unlimited.",
    )
    ticket_life_s: float = pydantic.Field(
        default=900.0,
        gt=0,
        description="Seconds for which a ticket and its outcome are kept.",
    )
    result_retention_s: float = pydantic.Field(
        default=30.0,
        gt=0,
        description="Seconds for which finished results are kept.",
    )
    ticket_linger_s: float = pydantic.Field(
        default=2.0,
        ge=0,
        description="Seconds of a drain in which tickets stay valid.",
    )
    drain_s: float = pydantic.Field(
        default=60.0,
        gt=0,
        description="Maximum duration of a drain in seconds.",
    )
