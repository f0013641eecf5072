"""The declaration: every object that operators keep in the catalogue."""

from __future__ import annotations

import enum

import pydantic

from yuccapitch.catalogue import ids


class RequestClass(enum.Enum):
    """How often a request may run."""

    READ_ONLY = "read-only"
    KEPT_ONCE = "kept-once"
    AT_MOST_ONCE = "at-most-once"


class Patience(enum.Enum):
    """Whether a caller waits in person or in the background."""

    IMPATIENT = "impatient"
    PATIENT = "patient"


class Role(enum.Enum):
    """What an instance runs."""

    CONTROL = "control"
    ENTRY = "entry"


class DrainKind(enum.Enum):
    """What kind of object a drain names."""

    ENDPOINT = "endpoint"
    INSTANCE = "instance"
    FAILURE_DOMAIN = "failure-domain"
    REGION = "region"


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, populate_by_name=True, allow_inf_nan=False
    )


class Owner(_Model):
    """A partner or workshop that owns part of the catalogue."""

    public_keys: tuple[str, ...] = ()
    """Ed25519 public keys of the owner's operators, hexadecimal."""


class Turns(_Model):
    """The order in which owners hold the final say, one UTC month each."""

    first_month: str = pydantic.Field(pattern=r"^\d{4}-(0[1-9]|1[0-2])$")
    order: tuple[ids.OwnerId, ...] = pydantic.Field(min_length=1)


class Region(_Model):
    """A group of failure domains with a shared capacity."""

    capacity: int = pydantic.Field(gt=0)
    """Requests that may be in flight in the region at once."""


class FailureDomain(_Model):
    """A part of a region that fails as one."""

    region: ids.RegionId


class Link(_Model):
    """A one-way link between two regions."""

    source: ids.RegionId
    target: ids.RegionId
    mbit_per_s: float = pydantic.Field(gt=0)
    delay_ms: float = pydantic.Field(ge=0)


class Instance(_Model):
    """A machine that runs yuccapitchd."""

    failure_domain: ids.FailureDomainId
    host: str
    http_port: int = pydantic.Field(gt=0, lt=65536)
    inner_port: int = pydantic.Field(gt=0, lt=65536)
    roles: tuple[Role, ...] = (Role.ENTRY,)


class Service(_Model):
    """A named service that endpoints serve."""

    owner: ids.OwnerId
    answer_ttl_s: float = pydantic.Field(default=5.0, gt=0)
    probe_path: str | None = None
    probe_interval_s: float = pydantic.Field(default=5.0, gt=0)
    platform_list_url: str | None = None


class Endpoint(_Model):
    """A back end that serves one service."""

    owner: ids.OwnerId
    service: ids.ServiceId
    failure_domain: ids.FailureDomainId
    host: str
    port: int = pydantic.Field(gt=0, lt=65536)
    slots: int = pydantic.Field(gt=0)
    connections: int = pydantic.Field(gt=0)


class Limits(_Model):
    """What one request of a route may use."""

    deadline_ms: int = pydantic.Field(gt=0)
    body_bytes: int = pydantic.Field(gt=0)
    concurrency: int = pydantic.Field(gt=0)
    patience: Patience = Patience.IMPATIENT


class Route(_Model):
    """A catalogue entry: the requests that it covers, their class and limits."""

    owner: ids.OwnerId
    service: ids.ServiceId
    methods: tuple[str, ...] = pydantic.Field(min_length=1)
    path_prefix: str = pydantic.Field(pattern=r"^/")
    request_class: RequestClass
    limits: Limits


class Shift(_Model):
    """A movement of a service's traffic to an owner's endpoints in another region."""

    service: ids.ServiceId
    source: ids.RegionId
    target: ids.RegionId
    endpoint_owner: ids.OwnerId
    cap_per_s: float = pydantic.Field(gt=0)
    """Requests a second that may arrive at the target owner's endpoints."""
    fraction: float = pydantic.Field(default=0.0, ge=0, le=1)
    """Share of the source's traffic moved even while the source has capacity."""


class Drain(_Model):
    """An operator's statement that an object takes no new work."""

    kind: DrainKind
    target: str
    reason: str = ""


class Declaration(_Model):
    """Everything the system does, as kept under version control."""

    owners_by_id: dict[ids.OwnerId, Owner] = pydantic.Field(alias="owners")
    turns: Turns
    regions_by_id: dict[ids.RegionId, Region] = pydantic.Field(alias="regions")
    failure_domains_by_id: dict[ids.FailureDomainId, FailureDomain] = pydantic.Field(
        alias="failure_domains"
    )
    links_by_id: dict[ids.LinkId, Link] = pydantic.Field(
        alias="links", default_factory=dict
    )
    instances_by_id: dict[ids.InstanceId, Instance] = pydantic.Field(alias="instances")
    services_by_id: dict[ids.ServiceId, Service] = pydantic.Field(
        alias="services", default_factory=dict
    )
    endpoints_by_id: dict[ids.EndpointId, Endpoint] = pydantic.Field(
        alias="endpoints", default_factory=dict
    )
    routes_by_id: dict[ids.RouteId, Route] = pydantic.Field(
        alias="routes", default_factory=dict
    )
    shifts_by_id: dict[ids.ShiftId, Shift] = pydantic.Field(
        alias="shifts", default_factory=dict
    )
    drains_by_id: dict[str, Drain] = pydantic.Field(
        alias="drains", default_factory=dict
    )
    regions_by_client_block: dict[str, ids.RegionId] = pydantic.Field(
        alias="client_blocks", default_factory=dict
    )
    """Region of each block of client addresses, by its CIDR notation."""
    default_region: ids.RegionId
    """Region of clients that no block covers."""
