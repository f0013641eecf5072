"""Parses a client's request into its route, deadline, key and attempt."""

from __future__ import annotations

import dataclasses
import re

import result
from aiohttp import web

from yuccapitch.catalogue import ids, model
from yuccapitch.gateway import config_view, outcomes
from yuccapitch.steering import claim_keys

KEY_HEADER = "Idempotency-Key"
ATTEMPT_HEADER = "Idempotency-Attempt"
TIMEOUT_HEADER = "Request-Timeout-Ms"
MAX_TIMEOUT_MS = 24 * 3600 * 1000


@dataclasses.dataclass(frozen=True)
class ParsedRequest:
    """A valid request of a client."""

    route_id: ids.RouteId
    route: model.Route
    path_and_query: str
    deadline: float
    """Time at which the client stops waiting, on the instance's clock."""
    key: claim_keys.Key | None
    attempt: int
    content_length: int | None


ParseResult = result.Result[ParsedRequest, outcomes.Failure]


def parse(
    request: web.Request, view: config_view.ConfigView, now: float, wall_now: float
) -> ParseResult:
    """Parse a request; the failure names its first fault."""
    parsed = _parse_request(request, view, now, wall_now)
    if isinstance(parsed, result.Ok) or KEY_HEADER not in request.headers:
        return parsed
    if _can_never_run(request.headers[KEY_HEADER], wall_now):
        return parsed
    # This request does not run, but an earlier one with the key may have run.
    return result.Err(outcomes.with_unknown_outcome(parsed.err_value))


def _parse_request(
    request: web.Request, view: config_view.ConfigView, now: float, wall_now: float
) -> ParseResult:
    service = ids.ServiceId(request.match_info["service"])
    if service not in view.declaration.services_by_id:
        return _failure(404, "unknown-service", f"no service {service!r} is declared")
    path = request.match_info["path"] or "/"
    named_route = view.find_route(service, request.method, path)
    if named_route is None:
        return _no_route_failure(view, service, request.method, path)
    limits = named_route.route.limits
    length = request.content_length
    if length is not None and length > limits.body_bytes:
        message = f"the body has {length} bytes; the route takes {limits.body_bytes}"
        return _failure(413, "body-too-large", message)
    timeout = _parse_number(request, TIMEOUT_HEADER, MAX_TIMEOUT_MS)
    if isinstance(timeout, result.Err):
        return timeout
    attempt = claim_keys.parse_attempt(request.headers.get(ATTEMPT_HEADER))
    if isinstance(attempt, result.Err):
        return _failure(400, "malformed-header", attempt.err_value.fault.value)
    timeout_ms = min(timeout.ok_value or limits.deadline_ms, limits.deadline_ms)
    key = _parse_key(request, view, named_route.route, wall_now)
    if isinstance(key, result.Err):
        return key
    # The service name is cut off up to the next "/" or "?" and not by its text, since
    # the raw path may contain it percent-encoded.
    raw = request.rel_url.raw_path_qs.removeprefix("/s/")
    name = re.match("[^/?]*", raw)
    path_and_query = raw[name.end() :] if name else raw
    parsed_request = ParsedRequest(
        route_id=named_route.route_id,
        route=named_route.route,
        path_and_query=path_and_query or "/",
        deadline=now + timeout_ms / 1000,
        key=key.ok_value,
        attempt=attempt.ok_value,
        content_length=length,
    )
    return result.Ok(parsed_request)


def _can_never_run(text: str, wall_now: float) -> bool:
    parsed = claim_keys.parse(text, wall_now)
    if isinstance(parsed, result.Ok):
        return False
    fault = parsed.err_value
    # An instance whose clock is ahead may have accepted a key from the future.
    return isinstance(fault, claim_keys.MalformedKey) and (
        fault.fault is not claim_keys.KeyFault.FUTURE
    )


def _no_route_failure(
    view: config_view.ConfigView, service: ids.ServiceId, method: str, path: str
) -> result.Err[outcomes.Failure]:
    methods = view.allowed_methods(service, path)
    if not methods:
        return _failure(
            404, "unknown-route", f"no route of {service!r} covers {path!r}"
        )
    allowed = ", ".join(sorted(methods))
    return _failure(
        405, "wrong-method", f"{method} is not taken at {path!r}; use {allowed}"
    )


def _parse_number(
    request: web.Request, header: str, max_value: int
) -> result.Result[int | None, outcomes.Failure]:
    text = request.headers.get(header)
    if text is None:
        return result.Ok(None)
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(max_value))
    if not is_number or not 0 < int(text) <= max_value:
        message = f"{header} must be a whole number from 1 to {max_value}, not {text!r}"
        return _failure(400, "malformed-header", message)
    return result.Ok(int(text))


def _parse_key(
    request: web.Request,
    view: config_view.ConfigView,
    route: model.Route,
    wall_now: float,
) -> result.Result[claim_keys.Key | None, outcomes.Failure]:
    if route.request_class is model.RequestClass.READ_ONLY:
        return result.Ok(None)
    text = request.headers.get(KEY_HEADER)
    if text is None:
        message = (
            f"a {route.request_class.value} request needs {KEY_HEADER}:"
            " <region>.<unix_ms>.<random>; GET /v1/entries gives the first two parts"
        )
        return _failure(400, "key-missing", message)
    parsed = claim_keys.parse(text, wall_now)
    match parsed:
        case result.Ok(key) if key.region_id in view.declaration.regions_by_id:
            return result.Ok(key)
        case result.Ok(key):
            message = f"{KEY_HEADER} names {key.region_id!r}, which is no region"
            return _failure(400, "malformed-key", message)
        case result.Err(claim_keys.ExpiredKey(age_s)):
            message = f"the key is {age_s:.0f} s old; whether it ran is not known"
            return result.Err(
                outcomes.Failure(410, "key-expired", message, outcomes.Outcome.UNKNOWN)
            )
        case result.Err(claim_keys.MalformedKey(fault)):
            return _failure(400, "malformed-key", f"{KEY_HEADER}: {fault.value}")
    raise AssertionError(parsed)


def _failure(status: int, code: str, message: str) -> result.Err[outcomes.Failure]:
    return result.Err(outcomes.Failure(status, code, message))
