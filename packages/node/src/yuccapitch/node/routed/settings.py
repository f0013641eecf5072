"""Settings of an instance that serves routes, whatever format they came in."""

from __future__ import annotations

import dataclasses
import pathlib
from collections.abc import Mapping

from yuccapitch.catalogue import ids
from yuccapitch.gateway.front import request_path

RegionsByDomain = Mapping[ids.FailureDomainId, ids.RegionId]


@dataclasses.dataclass(frozen=True)
class ListenAddress:
    """An address to listen on."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True)
class RoutedSettings:
    """What an instance is told at its start."""

    instance_id: ids.InstanceId
    """Inner address as host:port; other instances reach it there."""
    name: str
    """Name in logs."""
    inner_address: ListenAddress
    region_id: ids.RegionId
    failure_domain: ids.FailureDomainId
    region_by_domain: RegionsByDomain
    seed_ids: tuple[ids.InstanceId, ...]
    """Inner addresses of some control instances."""
    is_bootstrap: bool
    """Whether the whole system starts for the first time, with empty disks."""
    stop_grace_s: float
    """Time from the signal to stop until the process is killed."""
    lookup_ttl_s: float
    """Time for which callers may use the answer of a look-up."""
    retry_budget: request_path.FleetRetryBudget
    link_bits_per_s: float = float("inf")
    """What the instance's own link carries each way."""
    started_at_s: float | None = None
    """When the process began, by the clock that counts suspensions."""
    data_dir: pathlib.Path | None = None
    caller_address: ListenAddress | None = None
    readiness_address: ListenAddress | None = None
    operator_address: ListenAddress | None = None
    lookup_address: ListenAddress | None = None
    metrics_address: ListenAddress | None = None
