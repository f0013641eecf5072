"""HTTP API for operators over the replicated catalogue."""

from __future__ import annotations

import dataclasses
import itertools
import re
import time
from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

import pydantic
import result
from aiohttp import web

from yuccapitch.catalogue import (
    api,
    authorization,
    changes,
    difference,
    ids,
    state as catalogue_state,
    validation,
)
from yuccapitch.protocol import events

# Largest change, which a frame carries to the other control instances with some more
# around it. A declaration of 2.4 million client blocks has 50 MB.
MAX_BODY_BYTES = 56 * 1024 * 1024
# All bodies that are being received.
MAX_TOTAL_BODY_BYTES = 2 * MAX_BODY_BYTES
# Values of a body, which take some 120 bytes each once they are decoded, and parts that
# may have an error each, which takes some 2,000 bytes.
MAX_BODY_VALUES = 4_000_000
MAX_BODY_PARTS = 100_000
MAX_AUDIT_LINES = 1000
MISDIRECTED_REQUEST = 421
MS_PER_S = 1000

_FIELD_NAME_END = re.compile(rb'"[ \t\r\n]*:')

Body = TypeVar("Body", bound=pydantic.BaseModel)


@dataclasses.dataclass(frozen=True)
class NotLeader:
    """This instance is not the leader; ``leader`` is the leader's address, if known."""

    leader: str | None


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The request cannot be answered now.

    ``maybe_applied`` is set if the change may still be committed.
    """

    message: str
    maybe_applied: bool = False


class CatalogueBackend(Protocol):
    """Operations of the replicated catalogue that the API uses."""

    @property
    def state(self) -> catalogue_state.CatalogueState:
        """Return the state that this instance has applied."""

    async def submit(
        self, change: changes.Change
    ) -> result.Result[
        changes.Accepted | changes.Conflict | changes.Refused, NotLeader | Unavailable
    ]:
        """Commit the change and return its outcome."""

    async def read_barrier(self) -> result.Result[None, NotLeader | Unavailable]:
        """Wait until the state includes every change accepted before the call."""

    def in_force(self, version: ids.Version) -> api.InForceBody:
        """Return whether every active instance uses the version or a later one."""

    def status(self) -> api.StatusBody:
        """Return the control plane's status as this instance sees it."""


class OperatorApi:
    """Request handlers; ``now`` returns the wall clock time in seconds."""

    def __init__(
        self, backend: CatalogueBackend, now: Callable[[], float] = time.time
    ) -> None:
        self._backend = backend
        self._now = now
        self._received_bytes = 0
        """Size of the bodies that are being received."""

    def routes(self) -> web.RouteTableDef:
        """Return the route table to add to an application."""
        table = web.RouteTableDef()
        table.get("/v1/catalogue")(self._with_read_barrier(self.get_catalogue))
        table.post("/v1/catalogue/plan")(self._with_read_barrier(self.post_plan))
        table.post("/v1/catalogue/changes")(self.post_change)
        table.get("/v1/catalogue/versions")(self._with_read_barrier(self.get_versions))
        table.get("/v1/catalogue/versions/{version}")(
            self._with_read_barrier(self.get_version)
        )
        table.get("/v1/audit")(self._with_read_barrier(self.get_audit))
        table.get("/v1/status")(self.get_status)
        return table

    async def get_catalogue(self, request: web.Request) -> web.Response:
        """Return the current version."""
        state = self._backend.state
        body = api.CatalogueBody(
            version=state.version,
            digest=state.digest,
            time_ms=state.time_ms,
            declaration=state.declaration,
        )
        return _json_response(body)

    async def post_plan(self, request: web.Request) -> web.Response:
        """Return what a declaration would change, without applying it."""
        parsed = await self._read_body(request, api.PlanRequest)
        if isinstance(parsed, result.Err):
            return parsed.err_value
        plan = parsed.ok_value
        state = self._backend.state
        time_ms = max(int(self._now() * MS_PER_S), state.time_ms)
        faults = validation.validate(plan.declaration, state.declaration)
        in_turn = None
        if state.declaration is not None:
            in_turn = authorization.owner_in_turn(state.declaration.turns, time_ms)
            if plan.owner is not None:
                faults += authorization.check_permissions(
                    state.declaration, plan.declaration, plan.owner, time_ms
                )
        body = api.PlanBody(
            version=state.version,
            owner_in_turn=in_turn,
            differences=difference.compare(state.declaration, plan.declaration),
            faults=changes.Refused.from_faults(faults).faults,
        )
        return _json_response(body)

    async def post_change(self, request: web.Request) -> web.Response:
        """Commit a change and return its outcome."""
        parsed = await self._read_body(request, changes.Change)
        if isinstance(parsed, result.Err):
            return parsed.err_value
        change = parsed.ok_value
        outcome = await self._backend.submit(change)
        if isinstance(outcome, result.Err):
            return _backend_error_response(outcome.err_value)
        body = api.ChangeBody(change_id=change.change_id, outcome=outcome.ok_value)
        return _json_response(body, _STATUS_BY_OUTCOME[body.outcome.outcome])

    async def get_versions(self, request: web.Request) -> web.Response:
        """Return the retained versions, newest first."""
        state = self._backend.state
        limit = _parse_number(request.query.get("limit", "100"))
        if limit is None or limit < 1:
            return _bad_request_response(
                "limit is not a positive number", "give limit=N"
            )
        versions = state.version_records()[::-1][:limit]
        body = api.VersionsBody(current_version=state.version, versions=versions)
        return _json_response(body)

    async def get_version(self, request: web.Request) -> web.Response:
        """Return one retained version."""
        state = self._backend.state
        version = _parse_number(request.match_info["version"])
        if version is None:
            return _bad_request_response(
                "the version is not a number", "give a version"
            )
        record = state.version_record(ids.Version(version))
        declaration = state.declaration_at(ids.Version(version))
        if record is None or declaration is None:
            return _error_response(
                404,
                api.ErrorCode.NOT_FOUND,
                f"version {version} is not kept; the current one is {state.version}",
                "see the kept versions with 'yuccapitch history'",
            )
        body = api.CatalogueBody(
            version=record.version,
            digest=record.digest,
            time_ms=record.time_ms,
            declaration=declaration,
        )
        return _json_response(body)

    async def get_audit(self, request: web.Request) -> web.Response:
        """Return a limited number of audit records after a sequence number."""
        state = self._backend.state
        after = _parse_number(request.query.get("after", "0"))
        limit = _parse_number(request.query.get("limit", str(MAX_AUDIT_LINES)))
        if after is None or limit is None or limit < 1:
            return _bad_request_response(
                "after or limit is not a number", "give after=SEQUENCE and limit=N"
            )
        lines = state.audit_lines(after, min(limit, MAX_AUDIT_LINES))
        body = api.AuditBody(
            head_sequence=state.audit_head.sequence,
            head_hash=state.audit_head.hash,
            lines=tuple(line.decode("ascii") for line in lines),
        )
        return _json_response(body)

    async def get_status(self, request: web.Request) -> web.Response:
        """Return the status as this instance sees it, whether or not it leads."""
        version = _parse_number(
            request.query.get("version", str(self._backend.state.version))
        )
        if version is None:
            return _bad_request_response(
                "the version is not a number", "give version=N"
            )
        in_force = None
        if (await self._backend.read_barrier()).is_ok():
            in_force = self._backend.in_force(ids.Version(version))
        status = self._backend.status().model_copy(update={"in_force": in_force})
        return _json_response(status)

    async def _read_body(
        self, request: web.Request, kind: type[Body]
    ) -> result.Result[Body, web.Response]:
        received = await self._receive_body(request)
        if isinstance(received, result.Err):
            return received
        return _decode_body(received.ok_value, kind)

    async def _receive_body(
        self, request: web.Request
    ) -> result.Result[bytes, web.Response]:
        if (request.content_length or 0) > MAX_BODY_BYTES:
            return result.Err(_too_large_response(f"{MAX_BODY_BYTES} bytes"))
        body = bytearray()
        try:
            while part := await request.content.readany():
                body += part
                self._received_bytes += len(part)
                if len(body) > MAX_BODY_BYTES:
                    return result.Err(_too_large_response(f"{MAX_BODY_BYTES} bytes"))
                if self._received_bytes > MAX_TOTAL_BODY_BYTES:
                    return result.Err(_busy_response())
            excess = _find_excess(body)
            if excess is not None:
                return result.Err(_too_large_response(excess))
            return result.Ok(bytes(body))
        finally:
            self._received_bytes -= len(body)

    def _with_read_barrier(self, handler: Handler) -> Handler:
        """Run the handler once the state includes every accepted change.

        With ``?stale=1`` the handler reads the state that this instance has applied, so
        that operators can inspect a region that has no connection to the leader.
        """

        async def handle(request: web.Request) -> web.Response:
            if request.query.get("stale") != "1":
                barrier = await self._backend.read_barrier()
                if isinstance(barrier, result.Err):
                    return _backend_error_response(barrier.err_value)
            return await handler(request)

        return handle


Handler = Callable[[web.Request], Awaitable[web.Response]]

_STATUS_BY_OUTCOME = {"accepted": 200, "conflict": 409, "refused": 422}


def _decode_body(data: bytes, kind: type[Body]) -> result.Result[Body, web.Response]:
    try:
        return result.Ok(kind.model_validate_json(data))
    except pydantic.ValidationError as error:
        faults = tuple(
            changes.FaultBody(
                path=".".join(str(part) for part in item["loc"]), message=item["msg"]
            )
            for item in error.errors(include_url=False, include_input=False)
        )
        return result.Err(
            _bad_request_response(
                "the body has faults", "mend the faults listed", faults
            )
        )


def _find_excess(body: bytearray) -> str | None:
    """Return the limit that the decoded body would exceed, or None."""
    if body.count(b",") >= MAX_BODY_VALUES:
        return f"{MAX_BODY_VALUES} values"
    part_count = body.count(b"{") + body.count(b"[")
    if part_count <= MAX_BODY_PARTS:
        fields = _FIELD_NAME_END.finditer(body)
        part_count += sum(1 for _ in itertools.islice(fields, MAX_BODY_PARTS))
    if part_count > MAX_BODY_PARTS:
        return f"{MAX_BODY_PARTS} lists, objects and fields"
    return None


def _too_large_response(limit: str) -> web.Response:
    reason = f"the body is larger than {limit}"
    events.event("operator.refused", reason=reason)
    return _error_response(
        413, api.ErrorCode.BAD_REQUEST, reason, "send a smaller declaration"
    )


def _busy_response() -> web.Response:
    reason = "other requests are being received"
    reason += f", and the limit is {MAX_TOTAL_BODY_BYTES} bytes"
    events.event("operator.refused", reason=reason)
    return _error_response(
        503, api.ErrorCode.UNAVAILABLE, reason, "send the request again in a second"
    )


def _backend_error_response(error: NotLeader | Unavailable) -> web.Response:
    if isinstance(error, NotLeader):
        if error.leader is None:
            return _error_response(
                503,
                api.ErrorCode.UNAVAILABLE,
                "no leader is known",
                "send the request again in a second, or to another instance",
            )
        return _error_response(
            MISDIRECTED_REQUEST,
            api.ErrorCode.NOT_LEADER,
            "this instance does not lead",
            f"send the request to {error.leader}",
            leader=error.leader,
        )
    if error.maybe_applied:
        return _error_response(
            503,
            api.ErrorCode.UNKNOWN_OUTCOME,
            error.message,
            "send the same change again with the same change id",
        )
    return _error_response(
        503,
        api.ErrorCode.UNAVAILABLE,
        error.message,
        "send the request again in a second, or to another instance",
    )


def _bad_request_response(
    message: str, next_step: str, faults: tuple[changes.FaultBody, ...] = ()
) -> web.Response:
    return _error_response(
        400, api.ErrorCode.BAD_REQUEST, message, next_step, faults=faults
    )


def _error_response(
    status: int,
    code: api.ErrorCode,
    message: str,
    next_step: str,
    *,
    leader: str | None = None,
    faults: tuple[changes.FaultBody, ...] = (),
) -> web.Response:
    body = api.ErrorBody(
        error=code, message=message, next_step=next_step, leader=leader, faults=faults
    )
    return _json_response(body, status)


def _json_response(body: pydantic.BaseModel, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=body.model_dump_json(by_alias=True).encode(),
        content_type="application/json",
    )


def _parse_number(text: str) -> int | None:
    # No version or sequence number has more than 15 digits, and converting a very long
    # string would be slow.
    return int(text) if text.isascii() and text.isdigit() and len(text) < 16 else None
