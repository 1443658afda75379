"""Settings from flags and ``FERRYLEDGE_*`` variables, validated at start.

The options of a command are generated from the fields of a model, which
define the name, default, allowed values and help text of each setting.
"""

from collections import abc
import sys
import typing

import click
import pydantic

ENV_PREFIX = "FERRYLEDGE_"
#: Exit code for an invalid setting.
EXIT_USAGE = 2

Port = typing.Annotated[int, pydantic.Field(ge=0, le=65535)]
Name = typing.Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$")
]
LogLevel = typing.Literal["debug", "info", "warning", "error"]


class ProcessSettings(pydantic.BaseModel):
    """Settings that all daemons have in common."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    name: Name = pydantic.Field(
        description="This VM's name in the platform's list."
    )
    zone: Name = pydantic.Field(
        validation_alias=pydantic.AliasChoices("zone", "hall"),
        description="The availability zone that this process runs in.",
    )
    region: Name = pydantic.Field(
        default="main", description="The region; schedulers serve their own."
    )
    host: str = pydantic.Field(
        default="127.0.0.1", description="IP number to listen on."
    )
    peer_port: Port = pydantic.Field(
        default=0, description="TCP port for other processes; 0 picks one."
    )
    http_port: Port = pydantic.Field(
        default=0, description="TCP port for HTTP; 0 picks one."
    )
    peer_keys: str = pydantic.Field(
        min_length=16,
        description=(
            "Keys shared by all processes, separated by commas; the first "
            "is used, all are accepted. At least 16 characters each."
        ),
    )
    log_level: LogLevel = pydantic.Field(
        default="info", description="Least level that is logged."
    )

    @pydantic.field_validator("peer_keys")
    @classmethod
    def _check_key_length(cls, value: str) -> str:
        if any(len(key.strip()) < 16 for key in value.split(",")):
            raise ValueError("each key needs at least 16 characters")
        return value

    @property
    def keys(self) -> tuple[str, ...]:
        """The accepted keys; the first authenticates outgoing connections."""
        return tuple(key.strip() for key in self.peer_keys.split(","))


def _option(
    name: str, field: pydantic.fields.FieldInfo
) -> abc.Callable[[typing.Any], typing.Any]:
    help_text = field.description or ""
    if not field.is_required() and field.default is not None:
        help_text += f"  [default: {field.default}]"
    names = _setting_names(name, field)
    return click.option(
        *("--" + alias.replace("_", "-") for alias in names),
        name,
        envvar=[ENV_PREFIX + alias.upper() for alias in names],
        show_envvar=True,
        help=help_text,
        metavar="VALUE",
    )


def _setting_names(name: str, field: pydantic.fields.FieldInfo) -> list[str]:
    """Return the current name of a setting and its earlier names."""
    match field.validation_alias:
        case pydantic.AliasChoices(choices=choices):
            return [choice for choice in choices if isinstance(choice, str)]
    return [name]


def settings_options(
    model: type[pydantic.BaseModel],
) -> abc.Callable[[typing.Any], typing.Any]:
    """Return a decorator that adds an option for each field of a model."""

    def decorate(function: typing.Any) -> typing.Any:
        for name, field in reversed(model.model_fields.items()):
            function = _option(name, field)(function)
        return function

    return decorate


ModelT = typing.TypeVar("ModelT", bound=pydantic.BaseModel)


def load_settings(
    model: type[ModelT], values: abc.Mapping[str, str | None]
) -> ModelT:
    """Return the validated settings, or exit if one is invalid.

    An invalid setting ends the program with exit code 2 and with one line on
    standard error that names the setting, its value and the allowed values.

    :param model: model of the settings
    :param values: the value of each option; ``None`` if it was not given
    """
    given = {key: val for key, val in values.items() if val is not None}
    try:
        return model.model_validate(given)
    except pydantic.ValidationError as exc:
        print(_describe(model, exc), file=sys.stderr)
        sys.exit(EXIT_USAGE)


def _describe(
    model: type[pydantic.BaseModel], error: pydantic.ValidationError
) -> str:
    first = error.errors(include_url=False)[0]
    name = str(first["loc"][0]) if first["loc"] else "settings"
    flag = "--" + name.replace("_", "-")
    variable = ENV_PREFIX + name.upper()
    if first["type"] == "missing":
        field = model.model_fields[name]
        return (
            f"error: setting {flag} ({variable}) is missing: "
            f"{field.description}"
        )
    return (
        f"error: setting {flag} ({variable}) is {first['input']!r}: "
        f"{first['msg']}"
    )
