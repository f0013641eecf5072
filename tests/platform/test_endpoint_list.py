"""Tests of decoding the platform's endpoint list."""

from __future__ import annotations

import json
import tracemalloc

import pytest
import result

from yuccapitch.gateway.http1 import messages
from yuccapitch.platform import endpoint_list
from yuccapitch.protocol import codec

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


COLUMNS = list(ENTRY)
GOOD_ROW = json.dumps(list(ENTRY.values()))


def page_with(odd_row: str) -> bytes:
    """Return a page that lists an odd row between two good ones."""
    rows = f"[{GOOD_ROW},{odd_row},{GOOD_ROW.replace('i-1', 'i-2')}]"
    columns = json.dumps(COLUMNS)
    text = f'{{"instances":{{"columns":{columns},"rows":{rows}}},"nextToken":null}}'
    return text.encode()


def row_with(column: str, value: str) -> str:
    """Return a row in which one column has a value, written as in JSON."""
    values = {name: json.dumps(value) for name, value in {**ENTRY, "id": "odd"}.items()}
    return "[" + ",".join({**values, column: value}.values()) + "]"


DIGITS = "9" * 5000
ODD_ROWS = {
    "nested-to-the-limit": "[" * 1000 + "]" * 1000,
    "nested-beyond-the-limit": "[" * 20_000 + "]" * 20_000,
    "objects-beyond-the-limit": '{"a":' * 5000 + "1" + "}" * 5000,
    "nested-field": row_with("id", "[" * 1010 + "]" * 1010),
    "field-nested-beyond-the-limit": row_with("version", "[" * 5000 + "]" * 5000),
    "number-beyond-a-double": row_with("slots", "1e999"),
    "number-of-many-digits": row_with("slots", DIGITS),
    "row-is-a-huge-number": "-1e400",
    "lone-surrogate": row_with("id", r'"\ud800"'),
    "brackets-in-a-string": row_with("state", r'"]]]}}\"[["') + ",1e999",
    "id-with-a-line-break": row_with("id", r'"odd\r\nHost: elsewhere"'),
    "id-beyond-ascii": row_with("id", '"\u0416"'),
    "slots-of-32-bits": row_with("slots", "2147483648"),
    "slots-of-64-bits": row_with("slots", "9223372036854775808"),
    "negative-slots": row_with("slots", "-1"),
    "port-0": row_with("address", '"10.0.0.9:0"'),
    "port-65536": row_with("address", '"10.0.0.9:65536"'),
    "port-of-many-digits": row_with("address", f'"10.0.0.9:{DIGITS}"'),
    "port-in-other-digits": row_with("address", '"10.0.0.9:\u00b2"'),
    "negative-port": row_with("address", '"10.0.0.9:-80"'),
    "no-host": row_with("address", '":80"'),
    "host-with-a-space": row_with("address", '"10.0.0.9 :80"'),
    "long-host": row_with("address", f'"{DIGITS}:80"'),
    "unreadable-host": row_with("address", '"10.0.\ufffd\ufffd:80"'),
    "short-address": row_with("address", '"10.1.0:80"'),
    "number-as-address": row_with("address", '"1:80"'),
    "address-in-base-16": row_with("address", '"0x7f.1:80"'),
    "address-out-of-range": row_with("address", '"10.0.0.256:80"'),
    "any-address": row_with("address", '"0.0.0.0:80"'),
    "multicast-address": row_with("address", '"224.0.0.1:80"'),
    "half-of-brackets": row_with("address", '"[::1:80"'),
    "no-brackets": row_with("address", '"::1:80"'),
    "name-of-a-host": row_with("address", '"a..b:80"'),
    "long-id": row_with("id", f'"{DIGITS}"'),
    "cold-for-many-digits": row_with("coldLeft", f'"{DIGITS}ms"'),
    "cold-for-an-infinite-time": row_with("coldLeft", f'"{"9" * 400}s"'),
    "cold-without-a-unit": row_with("coldLeft", '"5"'),
    "cold-as-a-number": row_with("coldLeft", "5"),
    "null": "null",
    "true": "true",
    "string": '"i-3"',
    "object": '{"id":"i-3"}',
    "empty": "[]",
}


# Guards against one odd entry, written by another program, that ends the process which
# reads the list, or hides the other entries while it stands.
@pytest.mark.parametrize("name", ODD_ROWS)
async def test_read_skips_an_odd_entry_and_keeps_the_others(name, monkeypatch):
    reader = endpoint_list.EndpointListReader(("127.0.0.1", 1), REGIONS, lambda: 0.0)
    logged: list[dict[str, object]] = []
    monkeypatch.setattr(
        endpoint_list.events, "event", lambda event, **fields: logged.append(fields)
    )

    async def exchange(data):
        return messages.Response(200, [], page_with(ODD_ROWS[name]))

    monkeypatch.setattr(reader, "_exchange", exchange)
    for _ in range(2):
        records = (await reader.read()).unwrap().records
        assert [record.endpoint_id for record in records] == ["i-1", "i-2"]
        for record in records:
            assert codec.decode(codec.encode(record)) == result.Ok(record)
    assert logged
    assert all(len(str(fields)) < 1000 for fields in logged)


@pytest.mark.parametrize("born", ["1e999", "-1", "9223372036854775808", '"1"', "1.5"])
def test_decode_page_with_an_odd_start_time_names_no_endpoint(born):
    odd = row_with("version", born).replace("i-1", "odd")
    body = page_with(odd).replace(b'"version"', b'"born"')
    entries, _ = endpoint_list.decode_page(body).unwrap()
    assert endpoint_list.decode_endpoint(entries[1], REGIONS) is None


def test_decode_endpoint_accepts_an_ipv6_address_in_brackets():
    entries, _ = endpoint_list.decode_page(page_with(row_with("id", '"i"'))).unwrap()
    record = endpoint_list.decode_endpoint(
        {**entries[1], "address": "[::1]:80"}, REGIONS
    )
    assert (record.host, record.port) == ("::1", 80)


def test_decode_page_with_an_odd_entry_keeps_the_next_token():
    body = page_with("1e999").replace(b'"nextToken":null', b'"nextToken":"p-50"')
    entries, token = endpoint_list.decode_page(body).unwrap()
    assert len(entries) == 3
    assert token == "p-50"


# Guards against an instance that ends by one page, whose values take up to 100 times
# its size once they are decoded.
@pytest.mark.parametrize(
    "row",
    [b"[]", b"{}", b'{"":{}}', b"0", b"[" * 900 + b"]" * 900, b"1e999"],
    ids=["lists", "objects", "nested", "numbers", "deep", "unreadable"],
)
def test_decode_page_bounds_the_memory_of_values(row):
    rows = b",".join([row] * (endpoint_list.MAX_PAGE_BYTES // (len(row) + 1) - 50))
    body = b'{"instances":{"columns":[],"rows":[' + rows + b']},"nextToken":null}'
    assert len(body) <= endpoint_list.MAX_PAGE_BYTES
    tracemalloc.start()
    try:
        decoded = endpoint_list.decode_page(body)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert "more than 100000 values" in decoded.unwrap_err()
    assert peak_bytes < 8 * 1024 * 1024


def test_decode_page_reads_thousands_of_rows():
    page = {
        "instances": {"columns": list(ENTRY), "rows": [list(ENTRY.values())] * 8_000},
        "nextToken": None,
    }
    entries, _ = endpoint_list.decode_page(json.dumps(page).encode()).unwrap()
    assert entries == [ENTRY] * 8_000
