"""Checks of a declaration that its schema cannot express."""

from __future__ import annotations

import dataclasses
import ipaddress
import re
from collections.abc import Callable, Collection, Iterable, Iterator

from yuccapitch.catalogue import model

ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")
METHOD_PATTERN = re.compile(r"[A-Z]+\Z")
KEY_PATTERN = re.compile(r"[0-9a-f]{64}\Z")

Check = Callable[[model.Declaration], Iterator["Fault"]]
checks_by_name: dict[str, Check] = {}


@dataclasses.dataclass(frozen=True)
class Fault:
    """A problem at one path of a declaration and how to fix it."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


def validate(
    declaration: model.Declaration, accepted: model.Declaration | None = None
) -> tuple[Fault, ...]:
    """Return all faults.

    The syntax and overlaps of client blocks are not checked again if the accepted
    version has the same blocks.
    """
    faults = [
        fault for check in checks_by_name.values() for fault in check(declaration)
    ]
    blocks = declaration.regions_by_client_block
    if accepted is None or accepted.regions_by_client_block.keys() != blocks.keys():
        faults.extend(_check_client_blocks(blocks))
    return tuple(faults)


def _register(function: Check) -> Check:
    checks_by_name[function.__name__.strip("_")] = function
    return function


@_register
def _check_ids(declaration: model.Declaration) -> Iterator[Fault]:
    sections: dict[str, Iterable[str]] = {
        "owners": declaration.owners_by_id,
        "regions": declaration.regions_by_id,
        "failure_domains": declaration.failure_domains_by_id,
        "links": declaration.links_by_id,
        "instances": declaration.instances_by_id,
        "services": declaration.services_by_id,
        "endpoints": declaration.endpoints_by_id,
        "routes": declaration.routes_by_id,
        "shifts": declaration.shifts_by_id,
        "drains": declaration.drains_by_id,
    }
    for section, entry_ids in sections.items():
        for entry_id in entry_ids:
            if not ID_PATTERN.match(entry_id):
                yield Fault(
                    f"{section}.{entry_id}",
                    "an id has 1 to 64 ASCII letters, digits, '.', '_' or '-'",
                )


@_register
def _check_owners(declaration: model.Declaration) -> Iterator[Fault]:
    path_by_key: dict[str, str] = {}
    for owner_id, owner in declaration.owners_by_id.items():
        for position, key in enumerate(owner.public_keys):
            path = f"owners.{owner_id}.public_keys.{position}"
            if not KEY_PATTERN.match(key):
                yield Fault(path, "an Ed25519 public key has 64 hexadecimal digits")
            elif key in path_by_key:
                yield Fault(path, f"the same key stands at {path_by_key[key]}")
            path_by_key.setdefault(key, path)
    for position, owner_id in enumerate(declaration.turns.order):
        yield from _check_declared(
            f"turns.order.{position}", owner_id, declaration.owners_by_id, "owners"
        )


@_register
def _check_regions(declaration: model.Declaration) -> Iterator[Fault]:
    regions = declaration.regions_by_id
    for domain_id, domain in declaration.failure_domains_by_id.items():
        path = f"failure_domains.{domain_id}.region"
        yield from _check_declared(path, domain.region, regions, "regions")
    yield from _check_declared(
        "default_region", declaration.default_region, regions, "regions"
    )
    path_by_ends: dict[tuple[str, str], str] = {}
    for link_id, link in declaration.links_by_id.items():
        path = f"links.{link_id}"
        yield from _check_declared(f"{path}.source", link.source, regions, "regions")
        yield from _check_declared(f"{path}.target", link.target, regions, "regions")
        if link.source == link.target:
            yield Fault(path, "a link joins two different regions")
        first = path_by_ends.setdefault((link.source, link.target), path)
        if first != path:
            yield Fault(path, f"{first} already joins the same regions this way")


@_register
def _check_instances(declaration: model.Declaration) -> Iterator[Fault]:
    path_by_address: dict[tuple[str, int], str] = {}
    for instance_id, instance in declaration.instances_by_id.items():
        path = f"instances.{instance_id}"
        yield from _check_declared(
            f"{path}.failure_domain",
            instance.failure_domain,
            declaration.failure_domains_by_id,
            "failure_domains",
        )
        yield from _check_ip_address(f"{path}.host", instance.host)
        if not instance.roles:
            yield Fault(f"{path}.roles", "name at least one role: control, entry")
        for field, port in (
            ("http_port", instance.http_port),
            ("inner_port", instance.inner_port),
        ):
            field_path = f"{path}.{field}"
            first = path_by_address.setdefault((instance.host, port), field_path)
            if first != field_path:
                yield Fault(field_path, f"{instance.host}:{port} stands at {first}")


@_register
def _check_services(declaration: model.Declaration) -> Iterator[Fault]:
    owners = declaration.owners_by_id
    for service_id, service in declaration.services_by_id.items():
        path = f"services.{service_id}"
        yield from _check_declared(f"{path}.owner", service.owner, owners, "owners")
        if service.probe_path is not None and not service.probe_path.startswith("/"):
            yield Fault(f"{path}.probe_path", "a path starts with '/'")


@_register
def _check_endpoints(declaration: model.Declaration) -> Iterator[Fault]:
    path_by_address: dict[tuple[str, int], str] = {}
    for endpoint_id, endpoint in declaration.endpoints_by_id.items():
        path = f"endpoints.{endpoint_id}"
        owners = declaration.owners_by_id
        yield from _check_declared(f"{path}.owner", endpoint.owner, owners, "owners")
        yield from _check_declared(
            f"{path}.service", endpoint.service, declaration.services_by_id, "services"
        )
        yield from _check_declared(
            f"{path}.failure_domain",
            endpoint.failure_domain,
            declaration.failure_domains_by_id,
            "failure_domains",
        )
        yield from _check_ip_address(f"{path}.host", endpoint.host)
        address = (endpoint.host, endpoint.port)
        first = path_by_address.setdefault(address, path)
        if first != path:
            yield Fault(path, f"{first} already stands at {address[0]}:{address[1]}")


@_register
def _check_routes(declaration: model.Declaration) -> Iterator[Fault]:
    path_by_match: dict[tuple[str, str, str], str] = {}
    for route_id, route in declaration.routes_by_id.items():
        path = f"routes.{route_id}"
        owners = declaration.owners_by_id
        yield from _check_declared(f"{path}.owner", route.owner, owners, "owners")
        yield from _check_declared(
            f"{path}.service", route.service, declaration.services_by_id, "services"
        )
        for position, method in enumerate(route.methods):
            method_path = f"{path}.methods.{position}"
            if not METHOD_PATTERN.match(method):
                yield Fault(method_path, "write the method in capitals, as in 'GET'")
            match = (route.service, method, route.path_prefix)
            first = path_by_match.setdefault(match, method_path)
            if first != method_path:
                yield Fault(method_path, f"{first} already covers these requests")


@_register
def _check_shifts(declaration: model.Declaration) -> Iterator[Fault]:
    regions = declaration.regions_by_id
    for shift_id, shift in declaration.shifts_by_id.items():
        path = f"shifts.{shift_id}"
        yield from _check_declared(
            f"{path}.service", shift.service, declaration.services_by_id, "services"
        )
        yield from _check_declared(f"{path}.source", shift.source, regions, "regions")
        yield from _check_declared(f"{path}.target", shift.target, regions, "regions")
        if shift.source == shift.target:
            yield Fault(path, "a shift moves traffic between two different regions")
        yield from _check_declared(
            f"{path}.endpoint_owner",
            shift.endpoint_owner,
            declaration.owners_by_id,
            "owners",
        )


@_register
def _check_drains(declaration: model.Declaration) -> Iterator[Fault]:
    entries_by_kind: dict[model.DrainKind, tuple[str, Collection[str]]] = {
        model.DrainKind.ENDPOINT: ("endpoints", declaration.endpoints_by_id),
        model.DrainKind.INSTANCE: ("instances", declaration.instances_by_id),
        model.DrainKind.FAILURE_DOMAIN: (
            "failure_domains",
            declaration.failure_domains_by_id,
        ),
        model.DrainKind.REGION: ("regions", declaration.regions_by_id),
    }
    for drain_id, drain in declaration.drains_by_id.items():
        section, entries = entries_by_kind[drain.kind]
        yield from _check_declared(
            f"drains.{drain_id}.target", drain.target, entries, section
        )


@_register
def _check_client_block_regions(declaration: model.Declaration) -> Iterator[Fault]:
    for block, region in declaration.regions_by_client_block.items():
        if region not in declaration.regions_by_id:
            path = f"client_blocks.{block}"
            yield from _check_declared(
                path, region, declaration.regions_by_id, "regions"
            )


def _check_client_blocks(blocks: Iterable[str]) -> Iterator[Fault]:
    ranges: list[tuple[int, int, int, str]] = []
    for block in blocks:
        try:
            network = ipaddress.ip_network(block)
        except ValueError as error:
            yield Fault(f"client_blocks.{block}", f"not a CIDR block: {error}")
            continue
        first = int(network.network_address)
        size = 1 << (network.max_prefixlen - network.prefixlen)
        ranges.append((network.version, first, -size, block))
    # Sort by first address, and the larger block first if two have the same. Two CIDR
    # blocks are nested or disjoint, so one pass in this order finds all overlaps.
    ranges.sort()
    outer: tuple[int, int, str] | None = None
    for version, first, negative_size, block in ranges:
        end = first - negative_size
        if outer is not None and outer[0] == version and first < outer[1]:
            yield Fault(f"client_blocks.{block}", f"overlaps block {outer[2]}")
        else:
            outer = (version, end, block)


def _check_declared(
    path: str, entry_id: str, entries: Collection[str], section: str
) -> Iterator[Fault]:
    if entry_id not in entries:
        yield Fault(path, f"{entry_id!r} is not declared under '{section}'")


def _check_ip_address(path: str, host: str) -> Iterator[Fault]:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        yield Fault(path, f"{host!r} is not an IP number")
