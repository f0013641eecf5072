"""Tests that the examples match the settings, the catalogue and the users' sizes."""

from __future__ import annotations

import collections
import pathlib
import subprocess

import pytest

from yuccapitch.catalogue import loading, model
from yuccapitch.node import settings

EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"
DEPLOYMENTS = ("sap-mau-xanh", "cartografia")
INSTANCES = [f"control-{i}" for i in (1, 2, 3)] + [f"entry-{i}" for i in (1, 2, 3, 4)]


def declaration(name: str) -> model.Declaration:
    text = (EXAMPLES / f"{name}.yaml").read_text()
    return loading.load_yaml(text).unwrap()


def settings_of(instance: str) -> settings.Settings:
    """Load the environment file with a shell, like an operator."""
    script = f"set -a; . {EXAMPLES}/local/{instance}.env; env -0"
    run = subprocess.run(["sh", "-c", script], env={}, capture_output=True, check=True)
    pairs = (line.partition("=") for line in run.stdout.decode().split("\0") if line)
    environ = {name: value for name, _, value in pairs}
    assert settings.unknown_variables(environ) == []
    return settings.parse([], environ).unwrap()


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("instance", INSTANCES)
def test_instance_matches_catalogue(instance: str, deployment: str) -> None:
    found = settings_of(instance)
    declared = declaration(f"local/{deployment}").instances_by_id[found.instance_id]
    assert (found.http_host, found.http_port) == (declared.host, declared.http_port)
    assert found.inner_port == declared.inner_port
    assert [found.role.value] == [role.value for role in declared.roles]
    text = (EXAMPLES / "local" / f"{instance}.env").read_text()
    assert declared.failure_domain in text


def test_instances_have_the_same_peers() -> None:
    all_settings = [settings_of(instance) for instance in INSTANCES]
    assert len({found.control_peers for found in all_settings}) == 1
    ports_by_id = {
        found.instance_id: found.inner_port
        for found in all_settings
        if found.runs_control
    }
    for peer in all_settings[0].control_peers:
        assert ports_by_id[peer.instance_id] == peer.inner_port
    assert len({found.data_dir for found in all_settings}) == len(INSTANCES)


@pytest.mark.parametrize(
    ("deployment", "mbit_per_s", "sizes"),
    [
        ("sap-mau-xanh", 4000, {"batch": (20, 4, 400), "pigment": (14, 5, 400)}),
        ("cartografia", 280, {"storefront": (18, 7, 360), "artwork": (12, 7, 360)}),
    ],
)
def test_deployment_has_the_sizes_of_its_users(
    deployment: str, mbit_per_s: float, sizes: dict[str, tuple[int, int, int]]
) -> None:
    declared = declaration(f"local/{deployment}")
    assert (len(declared.regions_by_id), len(declared.failure_domains_by_id)) == (3, 6)
    assert len(declared.links_by_id) == 6
    assert {link.mbit_per_s for link in declared.links_by_id.values()} == {mbit_per_s}
    endpoints = declared.endpoints_by_id.values()
    counts = collections.Counter(
        (endpoint.service, endpoint.slots, endpoint.connections)
        for endpoint in endpoints
    )
    assert counts == {
        (service, slots, connections): count
        for service, (count, slots, connections) in sizes.items()
    }
    assert len({endpoint.port for endpoint in endpoints}) == len(endpoints)


@pytest.mark.parametrize("name", ["quickstart", *(f"local/{d}" for d in DEPLOYMENTS)])
def test_region_capacity_equals_its_slots(name: str) -> None:
    declared = declaration(name)
    slots_by_region: collections.Counter[str] = collections.Counter()
    for endpoint in declared.endpoints_by_id.values():
        domain = declared.failure_domains_by_id[endpoint.failure_domain]
        slots_by_region[domain.region] += endpoint.slots
    for region_id, region in declared.regions_by_id.items():
        assert region.capacity == slots_by_region[region_id]
    assert set(declared.turns.order) == declared.owners_by_id.keys()


def test_quickstart_instance_matches_default_settings() -> None:
    found = settings.parse([], {}).unwrap()
    declared = declaration("quickstart").instances_by_id[found.instance_id]
    assert declared.failure_domain == found.failure_domain
    addresses = (declared.http_port, declared.inner_port)
    assert addresses == (found.http_port, found.inner_port)
