from __future__ import annotations

import json
from typing import Any

import pytest

from tests import catalogue_sample
from yuccapitch.catalogue import loading, model


def fault_paths(data: dict[str, Any]) -> set[str]:
    return {fault.path for fault in loading.load_object(data).unwrap_err().faults}


def test_load_reports_every_fault_by_path() -> None:
    data = catalogue_sample.plain()
    data["turns"]["order"].append("nobody")
    data["links"]["n-s"]["target"] = "north"
    data["instances"]["e1"]["inner_port"] = 8001
    data["endpoints"]["bins-1"]["failure_domain"] = "moon"
    data["shifts"]["s"]["target"] = "west"
    data["client_blocks"]["10.1.0.0/16"] = "south"
    data["client_blocks"]["12.0.0.1/8"] = "south"
    data["drains"] = {"d": {"kind": "region", "target": "east"}}
    assert fault_paths(data) == {
        "turns.order.2",
        "links.n-s",
        "instances.e1.inner_port",
        "endpoints.bins-1.failure_domain",
        "shifts.s.target",
        "client_blocks.10.1.0.0/16",
        "client_blocks.12.0.0.1/8",
        "drains.d.target",
    }


@pytest.mark.parametrize("capacity", [float("inf"), float("nan"), 0, "many"])
def test_load_reports_invalid_number(capacity: object) -> None:
    data = catalogue_sample.plain()
    data["links"]["n-s"]["mbit_per_s"] = capacity
    assert fault_paths(data) == {"links.n-s.mbit_per_s"}


def test_load_yaml_reports_duplicate_key() -> None:
    text = loading.to_yaml(catalogue_sample.declaration())
    text += "default_region: south\n"
    faults = loading.load_yaml(text).unwrap_err().faults
    assert [fault.message for fault in faults] == ["duplicate key 'default_region'"]


@pytest.mark.parametrize("text", ["", "[1]", "a: [", "a: !!python/object:x {}"])
def test_load_yaml_rejects_invalid_text(text: str) -> None:
    assert loading.load_yaml(text).is_err()


def test_load_yaml_round_trip_keeps_digest() -> None:
    declared = catalogue_sample.declaration()
    reloaded = loading.load_yaml(loading.to_yaml(declared)).unwrap()
    assert reloaded == declared
    assert loading.digest(reloaded) == loading.digest(declared)


def test_canonical_bytes_are_read_back() -> None:
    declared = catalogue_sample.declaration()
    data = json.loads(loading.canonical_bytes(declared))
    assert model.Declaration.model_validate(data) == declared
