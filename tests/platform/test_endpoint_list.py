"""Tests of decoding the platform's endpoint list."""

from __future__ import annotations

import json

import pytest
import result

from yuccapitch.platform import endpoint_list

REGIONS = {"north-a": "north"}
ENTRY = {
    "id": "i-1",
    "service": "orders",
    "address": "10.0.0.9:8080",
    "zone": "north-a",
    "version": "v1",
    "slots": 9,
    "state": "ready",
    "coldLeft": "1500ms",
}


def test_decode_endpoint_reads_all_fields():
    record = endpoint_list.decode_endpoint({**ENTRY, "born": 1700000000000}, REGIONS)
    assert record is not None
    assert (record.endpoint_id, record.service_id) == ("i-1", "orders")
    assert (record.host, record.port) == ("10.0.0.9", 8080)
    assert (record.slots, record.is_leaving) == (9, False)
    assert (record.cold_left_ms, record.incarnation) == (1500, 1700000000000)
    assert record.serving_region_id == "north"


def test_decode_endpoint_marks_draining_as_leaving():
    record = endpoint_list.decode_endpoint({**ENTRY, "state": "draining"}, REGIONS)
    assert record is not None and record.is_leaving


@pytest.mark.parametrize(
    "changes",
    [
        {"id": None},
        {"id": 7},
        {"address": "nowhere"},
        {"address": None},
        {"zone": "elsewhere"},
        {"zone": ["north-a"]},
        {"slots": "9"},
        {"slots": 0},
        {"slots": True},
        {"state": "dreaming"},
        {"state": ["ready"]},
        {"service": None},
    ],
)
def test_decode_endpoint_rejects_invalid_fields(changes):
    assert endpoint_list.decode_endpoint({**ENTRY, **changes}, REGIONS) is None


@pytest.mark.parametrize("entry", [None, 7, "text", []])
def test_decode_endpoint_rejects_non_objects(entry):
    assert endpoint_list.decode_endpoint(entry, REGIONS) is None


def test_decode_page_reads_columns_and_rows():
    page = {
        "instances": {"columns": ["id", "slots"], "rows": [["a", 1], ["b"], 7]},
        "nextToken": "p-50",
    }
    entries, token = endpoint_list.decode_page(json.dumps(page).encode()).unwrap()
    assert entries == [{"id": "a", "slots": 1}, ["b"], 7]
    assert token == "p-50"


def test_decode_page_tolerates_invalid_utf8():
    body = b'{"instances":{"columns":["id"],"rows":[["\xff"],["a"]]},"nextToken":null}'
    entries, token = endpoint_list.decode_page(body).unwrap()
    assert entries[1] == {"id": "a"}
    assert token is None


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"instances":[]}'])
def test_decode_page_rejects_malformed_pages(body):
    assert isinstance(endpoint_list.decode_page(body), result.Err)
