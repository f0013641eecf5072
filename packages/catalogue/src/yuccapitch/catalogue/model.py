"""The declaration: all objects that operators keep in the catalogue."""

from __future__ import annotations

import enum

import pydantic

from yuccapitch.catalogue import ids


class RequestClass(enum.Enum):
    """How often a request may be executed."""

    READ_ONLY = "read-only"
    KEPT_ONCE = "kept-once"
    AT_MOST_ONCE = "at-most-once"


class Patience(enum.Enum):
    """Whether a person waits for the response or a background task does."""

    IMPATIENT = "impatient"
    PATIENT = "patient"


class Role(enum.Enum):
    """The part of the system that an instance runs."""

    CONTROL = "control"
    ENTRY = "entry"


class DrainKind(enum.Enum):
    """The kind of object that a drain applies to."""

    ENDPOINT = "endpoint"
    INSTANCE = "instance"
    FAILURE_DOMAIN = "failure-domain"
    REGION = "region"


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        extra="forbid",
        frozen=True,
        populate_by_name=True,
        allow_inf_nan=False,
        use_attribute_docstrings=True,
    )


class Owner(_Model):
    """An organization, a partner or workshop, that owns part of the catalogue."""

    public_keys: tuple[str, ...] = ()
    """Ed25519 public keys of the owner's operators, hexadecimal."""


class Turns(_Model):
    """The rotation in which owners control shared entries, one UTC month each."""

    first_month: str = pydantic.Field(pattern=r"^\d{4}-(0[1-9]|1[0-2])$")
    """UTC month of the first owner in the order, `YYYY-MM`."""
    order: tuple[ids.OwnerId, ...] = pydantic.Field(min_length=1)
    """Owners in the order of their months; the rotation repeats after the last."""


class Region(_Model):
    """A group of failure domains with a shared capacity."""

    capacity: int = pydantic.Field(gt=0)
    """Maximum number of requests in flight in the region."""


class FailureDomain(_Model):
    """A part of a region that fails as a unit."""

    region: ids.RegionId
    """Region of the failure domain."""


class Link(_Model):
    """A one-way link between two regions."""

    source: ids.RegionId
    """Region that the traffic leaves."""
    target: ids.RegionId
    """Region that the traffic enters."""
    mbit_per_s: float = pydantic.Field(gt=0)
    """Capacity of the link in this direction in Mbit/s, shared by all traffic."""
    delay_ms: float = pydantic.Field(ge=0)
    """One-way delay in milliseconds."""


class Instance(_Model):
    """A machine that runs yuccapitchd."""

    failure_domain: ids.FailureDomainId
    """Failure domain of the instance."""
    host: str
    """IP address of the instance."""
    http_port: int = pydantic.Field(gt=0, lt=65536)
    """HTTP port for clients and operators."""
    inner_port: int = pydantic.Field(gt=0, lt=65536)
    """Port for connections from other instances."""
    roles: tuple[Role, ...] = (Role.ENTRY,)
    """Roles that the instance runs."""


class Service(_Model):
    """A named service that endpoints serve."""

    owner: ids.OwnerId
    """Owner of the service; no other owner may change it."""
    answer_ttl_s: float = pydantic.Field(default=5.0, gt=0)
    """Time for which clients may cache a lookup response, in seconds."""
    probe_path: str | None = None
    """Path of the health probes of endpoints; without it they are not probed."""
    probe_interval_s: float = pydantic.Field(default=5.0, gt=0)
    """Time between two probes of an endpoint, in seconds."""
    platform_list_url: str | None = None
    """URL of the platform's list of live and leaving endpoints."""


class Endpoint(_Model):
    """A server that handles requests of one service."""

    owner: ids.OwnerId
    """Owner of the endpoint; no other owner may change it."""
    service: ids.ServiceId
    """Service that the endpoint serves."""
    failure_domain: ids.FailureDomainId
    """Failure domain of the endpoint."""
    host: str
    """IP address of the endpoint."""
    port: int = pydantic.Field(gt=0, lt=65536)
    """Port of the endpoint."""
    slots: int = pydantic.Field(gt=0)
    """Maximum number of requests that the endpoint processes at once."""
    connections: int = pydantic.Field(gt=0)
    """Maximum number of open connections to the endpoint."""


class Limits(_Model):
    """Limits on the requests of a route."""

    deadline_ms: int = pydantic.Field(gt=0)
    """Maximum duration of a request in milliseconds."""
    body_bytes: int = pydantic.Field(gt=0)
    """Maximum size of a request body."""
    concurrency: int = pydantic.Field(gt=0)
    """Maximum number of requests of the route in flight."""
    patience: Patience = Patience.IMPATIENT
    """Whether a person waits for the response or a background task does."""


class Route(_Model):
    """A set of requests of a service, with their class and limits."""

    owner: ids.OwnerId
    """Owner of the route; no other owner may change it."""
    service: ids.ServiceId
    """Service whose requests the route covers."""
    methods: tuple[str, ...] = pydantic.Field(min_length=1)
    """HTTP methods covered, in upper case."""
    path_prefix: str = pydantic.Field(pattern=r"^/")
    """Prefix of the paths covered; the longest matching prefix applies."""
    request_class: RequestClass
    """How often a request may be executed."""
    limits: Limits
    """Limits on the requests of the route."""


class Shift(_Model):
    """A shift of a service's traffic to an owner's endpoints in another region."""

    service: ids.ServiceId
    """Service whose traffic is shifted."""
    source: ids.RegionId
    """Region that the traffic leaves."""
    target: ids.RegionId
    """Region that the traffic is shifted to."""
    endpoint_owner: ids.OwnerId
    """Owner of the endpoints that receive the traffic."""
    cap_per_s: float = pydantic.Field(gt=0)
    """Maximum number of requests per second to the target owner's endpoints."""
    fraction: float = pydantic.Field(default=0.0, ge=0, le=1)
    """Fraction of the source's traffic shifted even while the source has capacity."""


class Drain(_Model):
    """An operator's instruction that an object receives no new work."""

    kind: DrainKind
    """Kind of the drained object."""
    target: str
    """Id of the drained object."""
    reason: str = ""
    """Reason for the drain, for other operators."""


class Declaration(_Model):
    """The complete configuration of the system, kept under version control."""

    owners_by_id: dict[ids.OwnerId, Owner] = pydantic.Field(alias="owners")
    """Owners by id."""
    turns: Turns
    """Rotation of the owners who control shared entries."""
    regions_by_id: dict[ids.RegionId, Region] = pydantic.Field(alias="regions")
    """Regions by id."""
    failure_domains_by_id: dict[ids.FailureDomainId, FailureDomain] = pydantic.Field(
        alias="failure_domains"
    )
    """Failure domains by id."""
    links_by_id: dict[ids.LinkId, Link] = pydantic.Field(
        alias="links", default_factory=dict
    )
    """One-way links between regions by id."""
    instances_by_id: dict[ids.InstanceId, Instance] = pydantic.Field(alias="instances")
    """Instances that run yuccapitchd by id."""
    services_by_id: dict[ids.ServiceId, Service] = pydantic.Field(
        alias="services", default_factory=dict
    )
    """Services by id."""
    endpoints_by_id: dict[ids.EndpointId, Endpoint] = pydantic.Field(
        alias="endpoints", default_factory=dict
    )
    """Endpoints by id."""
    routes_by_id: dict[ids.RouteId, Route] = pydantic.Field(
        alias="routes", default_factory=dict
    )
    """Routes by id."""
    shifts_by_id: dict[ids.ShiftId, Shift] = pydantic.Field(
        alias="shifts", default_factory=dict
    )
    """Shifts by id."""
    drains_by_id: dict[str, Drain] = pydantic.Field(
        alias="drains", default_factory=dict
    )
    """Drains by id."""
    regions_by_client_block: dict[str, ids.RegionId] = pydantic.Field(
        alias="client_blocks", default_factory=dict
    )
    """Region of each block of client addresses, by CIDR block."""
    default_region: ids.RegionId
    """Region of clients that are in no block."""
