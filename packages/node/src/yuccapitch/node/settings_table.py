"""Definitions of yuccapitchd's settings, used by parsing, checks, help and docs."""

from __future__ import annotations

import dataclasses
import enum
import functools
import ipaddress
import pathlib
import typing
from collections.abc import Callable, Mapping

import pydantic

from yuccapitch.catalogue import ids

VARIABLE_PREFIX = "YUCCAPITCH_"


class Role(enum.Enum):
    """The roles that the process runs."""

    CONTROL = "control"
    ENTRY = "entry"
    BOTH = "both"


class LogLevel(enum.Enum):
    """The minimum level of logged events."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclasses.dataclass(frozen=True)
class Peer:
    """A control instance and the address of its port for other instances."""

    instance_id: ids.InstanceId
    host: str
    inner_port: int


def parse_host(text: str) -> str:
    """Return the normalized IP address, or raise ``ValueError`` if it is none."""
    return str(ipaddress.ip_address(text))


def parse_peers(text: object) -> object:
    """Return the peers of a comma-separated list of `id=host:port`."""
    if not isinstance(text, str):
        return text
    return tuple(_parse_peer(part.strip()) for part in text.split(",") if part.strip())


def _parse_peer(text: str) -> Peer:
    instance_id, _, address = text.partition("=")
    host, _, port = address.rpartition(":")
    if not (instance_id and host and port.isascii() and port.isdigit()):
        raise ValueError(f"{text!r} is not id=host:port")
    if not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} has a port outside 1 to 65535")
    return Peer(ids.InstanceId(instance_id), parse_host(host.strip("[]")), int(port))


@dataclasses.dataclass(frozen=True)
class ValueDescription:
    """Description of valid values where bounds and choices do not show them."""

    text: str


_INSTANCE_ID_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"
_Name = typing.Annotated[
    str,
    pydantic.Field(pattern=_INSTANCE_ID_PATTERN),
    ValueDescription("1 to 64 letters, digits, dots, dashes and underscores"),
]
_Host = typing.Annotated[
    str,
    pydantic.AfterValidator(parse_host),
    ValueDescription("an IP address, such as 127.0.0.1"),
]
_Port = typing.Annotated[int, pydantic.Field(ge=0, le=65535)]
_Peers = typing.Annotated[
    tuple[Peer, ...],
    pydantic.BeforeValidator(parse_peers),
    ValueDescription("a comma-separated list of id=host:port, hosts as IP addresses"),
]
_Duration = typing.Annotated[float, pydantic.Field(gt=0, le=3600)]
_File = typing.Annotated[
    pydantic.FilePath, ValueDescription("the path of an existing file")
]
_Folder = typing.Annotated[
    pydantic.DirectoryPath, ValueDescription("the path of an existing folder")
]


def _setting(default: object, help_text: str, unit: str = "") -> typing.Any:
    return dataclasses.field(
        default=default, metadata={"help": help_text, "unit": unit}
    )


@dataclasses.dataclass(frozen=True)
class Settings:
    """The settings of one yuccapitchd process."""

    role: Role = _setting(Role.BOTH, "Roles that the process runs.")
    instance_id: _Name = _setting(
        "local", "Id of this instance, the same as in the catalogue."
    )
    failure_domain: _Name = _setting(
        "local", "Failure domain of this instance, the same as in the catalogue."
    )
    http_host: _Host = _setting(
        "127.0.0.1", "Address to listen on for clients and operators."
    )
    http_port: _Port = _setting(
        8080, "Port for clients and operators; 0 lets the system choose one."
    )
    inner_host: _Host = _setting(
        "127.0.0.1", "Address to listen on for other instances."
    )
    inner_port: _Port = _setting(
        7080, "Port for other instances; 0 lets the system choose one."
    )
    control_peers: _Peers = _setting(
        (),
        "All control instances with their addresses for other instances, including"
        " this one if it has the control role; empty if it is the only instance.",
    )
    data_dir: pathlib.Path = _setting(
        pathlib.Path("yuccapitch-data"),
        "Folder for the replicated log and the identity of the instance.",
    )
    allow_unsigned: bool | None = _setting(
        None,
        "Accept changes without an operator's signature; by default only while"
        " control_peers is empty.",
    )
    tls_cert: _File | None = _setting(
        None, "Certificate of this instance for links between instances, PEM."
    )
    tls_key: _File | None = _setting(None, "Private key of the certificate, PEM.")
    tls_trust_dir: _Folder | None = _setting(
        None, "Folder with the certificates of trusted peers, one *.pem file each."
    )
    lease_duration_s: _Duration = _setting(
        4.0, "Duration of configuration leases and limit shares.", "s"
    )
    renew_interval_s: _Duration = _setting(1.0, "Time between lease renewals.", "s")
    heartbeat_interval_s: _Duration = _setting(
        0.2,
        "Time between heartbeats, of the leader and on links between instances.",
        "s",
    )
    election_timeout_s: _Duration = _setting(
        1.0,
        "Time without contact to the leader after which an election may start.",
        "s",
    )
    link_timeout_s: _Duration = _setting(
        2.0,
        "Time without data after which a link between instances is reconnected.",
        "s",
    )
    drain_linger_s: typing.Annotated[float, pydantic.Field(ge=0, le=3600)] = _setting(
        0.5,
        "Time for which a stopping instance accepts requests after cached lookup"
        " responses have expired, to serve requests that are in transit.",
        "s",
    )
    max_header_bytes: typing.Annotated[int, pydantic.Field(ge=1024, le=1_048_576)] = (
        _setting(16_384, "Maximum size of a request head from a client.", "bytes")
    )
    max_in_flight: typing.Annotated[int, pydantic.Field(ge=1, le=1_000_000)] = _setting(
        4096, "Maximum number of requests in flight in the instance.", "requests"
    )
    log_level: LogLevel = _setting(LogLevel.INFO, "Minimum level of logged events.")
    seed: int | None = _setting(
        None, "Seed of the random number generator; by default taken from the system."
    )

    @property
    def runs_control(self) -> bool:
        """Whether the process has the control role."""
        return self.role is not Role.ENTRY

    @property
    def runs_entry(self) -> bool:
        """Whether the process has the entry role."""
        return self.role is not Role.CONTROL


@dataclasses.dataclass(frozen=True)
class Row:
    """Definition of one setting."""

    name: str
    annotation: typing.Any
    default: object
    unit: str
    help_text: str

    @property
    def flag(self) -> str:
        """The command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """The environment variable."""
        return VARIABLE_PREFIX + self.name.upper()

    @property
    def is_switch(self) -> bool:
        """Whether the flag may be given without a value."""
        return self.base_type is bool

    @property
    def base_type(self) -> typing.Any:
        """The value's type without annotations and ``None``."""
        return _base_type(self.annotation)

    @property
    def default_text(self) -> str:
        """The default as shown in help and docs."""
        if self.default is None or self.default == ():
            return ""
        if isinstance(self.default, enum.Enum):
            return str(self.default.value)
        return str(self.default)

    @property
    def value_description(self) -> str:
        """A description of valid values."""
        base = self.base_type
        for description in _metadata(self.annotation):
            if isinstance(description, ValueDescription):
                return description.text
        if isinstance(base, type) and issubclass(base, enum.Enum):
            return "one of " + ", ".join(member.value for member in base)
        if base is bool:
            return "true or false"
        if base is pathlib.Path:
            return "a path"
        return _DESCRIPTIONS_BY_TYPE[base] + _bounds_text(self.annotation)

    @functools.cached_property
    def adapter(self) -> pydantic.TypeAdapter[typing.Any]:
        """The pydantic validator of the value."""
        return pydantic.TypeAdapter(self.annotation)


_DESCRIPTIONS_BY_TYPE = {int: "a whole number", float: "a number", str: "text"}


def _base_type(annotation: typing.Any) -> typing.Any:
    if typing.get_origin(annotation) is typing.Annotated:
        return _base_type(typing.get_args(annotation)[0])
    options = [arg for arg in typing.get_args(annotation) if arg is not type(None)]
    if len(options) == 1 and type(None) in typing.get_args(annotation):
        return _base_type(options[0])
    return annotation


def _metadata(annotation: typing.Any) -> list[typing.Any]:
    if typing.get_origin(annotation) is typing.Annotated:
        return list(typing.get_args(annotation)[1:])
    return [item for arg in typing.get_args(annotation) for item in _metadata(arg)]


def _bounds_text(annotation: typing.Any) -> str:
    words = {"gt": "above", "ge": "from", "lt": "below", "le": "to"}
    parts = [
        f"{words[name]} {getattr(bound, name)}"
        for field in _metadata(annotation)
        for bound in getattr(field, "metadata", ())
        for name in words
        if hasattr(bound, name)
    ]
    return " ".join(["", *parts]) if parts else ""


def rows() -> tuple[Row, ...]:
    """Return the definitions of all settings in declaration order."""
    annotations = typing.get_type_hints(Settings, include_extras=True)
    return tuple(
        Row(
            name=field.name,
            annotation=annotations[field.name],
            default=field.default,
            unit=field.metadata["unit"],
            help_text=field.metadata["help"],
        )
        for field in dataclasses.fields(Settings)
    )


Check = Callable[[Mapping[str, typing.Any]], str | None]
CHECKS: list[tuple[tuple[str, ...], Check]] = []


def check(*names: str) -> Callable[[Check], Check]:
    """Register a check of the named settings.

    The check returns how to fix an error, or None if the values are valid.
    """

    def register(function: Check) -> Check:
        CHECKS.append((names, function))
        return function

    return register
