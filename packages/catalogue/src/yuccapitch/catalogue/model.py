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
        extra="forbid",
        frozen=True,
        populate_by_name=True,
        allow_inf_nan=False,
        use_attribute_docstrings=True,
    )


class Owner(_Model):
    """A partner or workshop that owns part of the catalogue."""

    public_keys: tuple[str, ...] = ()
    """Ed25519 public keys of the owner's operators, hexadecimal."""


class Turns(_Model):
    """The order in which owners hold the final say, one UTC month each."""

    first_month: str = pydantic.Field(pattern=r"^\d{4}-(0[1-9]|1[0-2])$")
    """UTC month of the first owner in the order, `YYYY-MM`."""
    order: tuple[ids.OwnerId, ...] = pydantic.Field(min_length=1)
    """Owners in the order of their months; after the last the first follows."""


class Region(_Model):
    """A group of failure domains with a shared capacity."""

    capacity: int = pydantic.Field(gt=0)
    """Requests that may be in flight in the region at once."""


class FailureDomain(_Model):
    """A part of a region that fails as one."""

    region: ids.RegionId
    """Region that the failure domain belongs to."""


class Link(_Model):
    """A one-way link between two regions."""

    source: ids.RegionId
    """Region that the traffic leaves."""
    target: ids.RegionId
    """Region that the traffic arrives in."""
    mbit_per_s: float = pydantic.Field(gt=0)
    """Capacity of the link in this direction, shared by all traffic."""
    delay_ms: float = pydantic.Field(ge=0)
    """One-way delay."""


class Instance(_Model):
    """A machine that runs yuccapitchd."""

    failure_domain: ids.FailureDomainId
    """Failure domain that the instance stands in."""
    host: str
    """IP number of the instance."""
    http_port: int = pydantic.Field(gt=0, lt=65536)
    """Port for callers and operators."""
    inner_port: int = pydantic.Field(gt=0, lt=65536)
    """Port for other instances."""
    roles: tuple[Role, ...] = (Role.ENTRY,)
    """Roles that the instance runs."""


class Service(_Model):
    """A named service that endpoints serve."""

    owner: ids.OwnerId
    """Owner that alone changes the service."""
    answer_ttl_s: float = pydantic.Field(default=5.0, gt=0)
    """How long callers may cache a look-up answer."""
    probe_path: str | None = None
    """Path that endpoints are probed on; none where they are not probed."""
    probe_interval_s: float = pydantic.Field(default=5.0, gt=0)
    """Time between two probes of an endpoint."""
    platform_list_url: str | None = None
    """URL of the platform's list of live and leaving endpoints."""


class Endpoint(_Model):
    """A back end that serves one service."""

    owner: ids.OwnerId
    """Owner that alone changes the endpoint."""
    service: ids.ServiceId
    """Service that the endpoint serves."""
    failure_domain: ids.FailureDomainId
    """Failure domain that the endpoint stands in."""
    host: str
    """IP number of the endpoint."""
    port: int = pydantic.Field(gt=0, lt=65536)
    """Port of the endpoint."""
    slots: int = pydantic.Field(gt=0)
    """Requests that the endpoint works on at once."""
    connections: int = pydantic.Field(gt=0)
    """Connections that the endpoint holds open at most."""


class Limits(_Model):
    """What one request of a route may use."""

    deadline_ms: int = pydantic.Field(gt=0)
    """Longest time that a request may take."""
    body_bytes: int = pydantic.Field(gt=0)
    """Longest request body."""
    concurrency: int = pydantic.Field(gt=0)
    """Requests of the route that may be in flight at once."""
    patience: Patience = Patience.IMPATIENT
    """Whether a caller waits in person or in the background."""


class Route(_Model):
    """A catalogue entry: the requests that it covers, their class and limits."""

    owner: ids.OwnerId
    """Owner that alone changes the route."""
    service: ids.ServiceId
    """Service whose requests the route covers."""
    methods: tuple[str, ...] = pydantic.Field(min_length=1)
    """HTTP methods covered, in capitals."""
    path_prefix: str = pydantic.Field(pattern=r"^/")
    """Start of the paths covered; the longest that fits counts."""
    request_class: RequestClass
    """How often a request may run."""
    limits: Limits
    """What one request may use."""


class Shift(_Model):
    """A movement of a service's traffic to an owner's endpoints in another region."""

    service: ids.ServiceId
    """Service whose traffic is moved."""
    source: ids.RegionId
    """Region that the traffic leaves."""
    target: ids.RegionId
    """Region that the traffic goes to."""
    endpoint_owner: ids.OwnerId
    """Owner of the endpoints that take the traffic."""
    cap_per_s: float = pydantic.Field(gt=0)
    """Requests a second that may arrive at the target owner's endpoints."""
    fraction: float = pydantic.Field(default=0.0, ge=0, le=1)
    """Share of the source's traffic moved even while the source has capacity."""


class Drain(_Model):
    """An operator's statement that an object takes no new work."""

    kind: DrainKind
    """Kind of the object drained."""
    target: str
    """Id of the object drained."""
    reason: str = ""
    """Why, for other operators."""


class Declaration(_Model):
    """Everything the system does, as kept under version control."""

    owners_by_id: dict[ids.OwnerId, Owner] = pydantic.Field(alias="owners")
    """Owners by id."""
    turns: Turns
    """Order in which owners hold the final say."""
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
    """Region of each block of client addresses, by its CIDR notation."""
    default_region: ids.RegionId
    """Region of clients that no block covers."""
