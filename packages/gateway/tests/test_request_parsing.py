from __future__ import annotations

from typing import Any

import pytest
from aiohttp import test_utils

from tests import catalogue_sample
from yuccapitch.catalogue import ids
from yuccapitch.gateway import config_view, outcomes, request_parsing

WALL_S = 1000.0
KEY = "north.1000000.abcdefghijklmnop"


def parse(headers: dict[str, str]) -> request_parsing.ParseResult:
    sections: Any = catalogue_sample.plain()["routes"]
    sections["lookup"].update(request_class="at-most-once", methods=["POST"])
    view = config_view.ConfigView(
        ids.Version(1), catalogue_sample.declaration(routes=sections)
    )
    request = test_utils.make_mocked_request(
        "POST", "/s/bins/x", headers, match_info={"service": "bins", "path": "/x"}
    )
    return request_parsing.parse(request, view, 0.0, WALL_S)


@pytest.mark.parametrize(
    ("headers", "outcome"),
    [
        ({}, "not-run"),
        ({"Idempotency-Key": "short"}, "not-run"),
        ({"Idempotency-Key": KEY, "Request-Timeout-Ms": "soon"}, "unknown"),
        ({"Idempotency-Key": KEY, "Idempotency-Attempt": "0"}, "unknown"),
        ({"Idempotency-Key": KEY.replace("north", "west")}, "unknown"),
        ({"Idempotency-Key": KEY.replace("1000000", "1009000")}, "unknown"),
        ({"Idempotency-Key": KEY, "Content-Length": "5000"}, "unknown"),
    ],
)
def test_parse_failure_is_not_run_only_if_the_key_cannot_have_run(
    headers: dict[str, str], outcome: str
) -> None:
    failure = parse(headers).unwrap_err()
    assert failure.outcome is outcomes.Outcome(outcome)


def test_parse_returns_key_and_attempt() -> None:
    headers = {"Idempotency-Key": KEY, "Idempotency-Attempt": "3"}
    parsed = parse(headers).unwrap()
    assert parsed.key is not None
    assert (parsed.key.text, parsed.attempt) == (KEY, 3)
