"""Settings of a routed instance, independent of their file format."""

from __future__ import annotations

import dataclasses
import pathlib
from collections.abc import Mapping

from yuccapitch.catalogue import ids
from yuccapitch.gateway.front import request_path, routing_state
from yuccapitch.gateway.http1 import memory_budget

RegionsByDomain = Mapping[ids.FailureDomainId, ids.RegionId]


@dataclasses.dataclass(frozen=True)
class ListenAddress:
    """An address to listen on."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True)
class RoutedSettings:
    """Settings of a routed instance."""

    instance_id: ids.InstanceId
    """Address for other instances as host:port."""
    name: str
    """Name of the instance in logs."""
    inner_address: ListenAddress
    """Address to listen on for other instances."""
    region_id: ids.RegionId
    failure_domain: ids.FailureDomainId
    region_by_domain: RegionsByDomain
    seed_ids: tuple[ids.InstanceId, ...]
    """Addresses of some control instances, used for discovery."""
    is_bootstrap: bool
    """Whether the whole deployment starts for the first time, with empty disks."""
    stop_grace_s: float
    """Time from the stop signal until the platform kills the process."""
    lookup_ttl_s: float
    """Time for which clients may cache a lookup response."""
    retry_budget: request_path.FleetRetryBudget
    order_apply_limit_s: float = routing_state.DEFAULT_ORDER_APPLY_LIMIT_S
    """Time after the acknowledgement of an order until which it has to be in force."""
    link_bits_per_s: float = float("inf")
    """Bandwidth of the machine's link in each direction."""
    memory_limit_bytes: int = memory_budget.DEFAULT_MEMORY_LIMIT_BYTES
    """Memory above which the platform ends the process."""
    started_at_s: float | None = None
    """Start time of the process, by a clock that includes suspended time."""
    data_dir: pathlib.Path | None = None
    caller_address: ListenAddress | None = None
    """Address to listen on for client requests; entry instances require it."""
    readiness_address: ListenAddress | None = None
    operator_address: ListenAddress | None = None
    lookup_address: ListenAddress | None = None
    metrics_address: ListenAddress | None = None

    def reload(self, changed: RoutedSettings) -> RoutedSettings:
        """Return these settings with the changed values that can apply at runtime.

        The identity and the addresses of an instance stay what others know.
        """
        return dataclasses.replace(
            self,
            seed_ids=changed.seed_ids,
            stop_grace_s=changed.stop_grace_s,
            lookup_ttl_s=changed.lookup_ttl_s,
            link_bits_per_s=changed.link_bits_per_s,
        )
