"""A client for the operator HTTP API that finds an instance able to respond."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import ssl
from collections.abc import AsyncIterator, Mapping, Sequence
from typing import TypeVar

import aiohttp
import pydantic
import result

from yuccapitch.catalogue import api, changes, ids
from yuccapitch.cli import exit_codes, reports

ATTEMPT_TIMEOUT_S = 5.0
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0
IN_FORCE_POLL_INTERVAL_S = 0.2
MAX_RESPONSE_BYTES = 256 * 1024 * 1024
"""Limit on the body of a response, which may be a catalogue with all client blocks."""

Body = TypeVar("Body", bound=pydantic.BaseModel)


@dataclasses.dataclass(frozen=True)
class Connection:
    """Servers, overall timeout and TLS settings of a client."""

    servers: tuple[str, ...]
    timeout_s: float
    tls: ssl.SSLContext | bool = True


@dataclasses.dataclass(frozen=True)
class _Response:
    status: int
    body: bytes


@dataclasses.dataclass(frozen=True)
class _NoResponse:
    message: str
    maybe_received: bool


class OperatorClient:
    """Sends requests to any server and switches to the leader named in an error."""

    def __init__(
        self, session: aiohttp.ClientSession, servers: Sequence[str], timeout_s: float
    ) -> None:
        self._session = session
        self._servers = [server.rstrip("/") for server in servers]
        self._timeout_s = timeout_s

    async def get(
        self,
        path: str,
        kind: type[Body],
        query: Mapping[str, str] | None = None,
    ) -> result.Result[Body, reports.CommandError]:
        """Return the parsed response body."""
        reply = await self._request("GET", path, query=query)
        return _parse(reply, kind)

    async def get_bytes(
        self, path: str, query: Mapping[str, str]
    ) -> result.Result[bytes, reports.CommandError]:
        """Return the raw response body."""
        reply = await self._request("GET", path, query=query)
        if isinstance(reply, result.Err):
            return reply
        return result.Ok(reply.ok_value.body)

    async def plan(
        self, request: api.PlanRequest
    ) -> result.Result[api.PlanBody, reports.CommandError]:
        """Return the changes that applying the declaration would make."""
        reply = await self._request("POST", "/v1/catalogue/plan", _encode(request))
        return _parse(reply, api.PlanBody)

    async def submit(
        self, change: changes.Change
    ) -> result.Result[changes.Accepted, reports.CommandError]:
        """Submit a change and retry until its outcome is known.

        Retries are safe, because a change id is applied only once.
        """
        reply = await self._request(
            "POST", "/v1/catalogue/changes", _encode(change), (409, 422), change
        )
        parsed = _parse(reply, api.ChangeBody)
        if isinstance(parsed, result.Err):
            return parsed
        outcome = parsed.ok_value.outcome
        if isinstance(outcome, changes.Accepted):
            return result.Ok(outcome)
        return result.Err(_outcome_error(outcome))

    async def wait_in_force(
        self, version: ids.Version, timeout_s: float
    ) -> result.Result[api.InForceBody, reports.CommandError]:
        """Wait until the version is in force everywhere or the timeout expires."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while True:
            status = await self.status(version)
            if isinstance(status, result.Err):
                return status
            in_force = status.ok_value.in_force
            if in_force is not None and in_force.everywhere:
                return result.Ok(in_force)
            if loop.time() >= deadline:
                unknown = api.InForceBody(version=version, everywhere=False)
                return result.Ok(in_force or unknown)
            await asyncio.sleep(IN_FORCE_POLL_INTERVAL_S)

    async def status(
        self, version: ids.Version | None = None
    ) -> result.Result[api.StatusBody, reports.CommandError]:
        """Return the leader's status; if it is unreachable, another instance's."""
        query = {} if version is None else {"version": str(version)}
        status = await self.get("/v1/status", api.StatusBody, query)
        if isinstance(status, result.Ok):
            body = status.ok_value
            leader = body.leader_address()
            if body.in_force is None and leader is not None:
                self._move_to_front(leader)
                leader_status = await self.get("/v1/status", api.StatusBody, query)
                return leader_status if leader_status.is_ok() else status
        return status

    async def _request(
        self,
        method: str,
        path: str,
        data: bytes | None = None,
        outcome_statuses: tuple[int, ...] = (),
        change: changes.Change | None = None,
        query: Mapping[str, str] | None = None,
    ) -> result.Result[_Response, reports.CommandError]:
        """Try the servers in turn until one responds or the timeout expires."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._timeout_s
        delay_s = INITIAL_RETRY_DELAY_S
        maybe_received = False
        message = "no request was sent before the timeout"
        while True:
            for server in list(self._servers):
                remaining_s = deadline - loop.time()
                if remaining_s <= 0:
                    break
                reply = await self._attempt(
                    method,
                    server + path,
                    data,
                    dict(query or {}),
                    min(remaining_s, ATTEMPT_TIMEOUT_S),
                )
                if isinstance(reply, _NoResponse):
                    maybe_received |= reply.maybe_received
                    message = f"{server}: {reply.message}"
                    continue
                if reply.status == 200 or reply.status in outcome_statuses:
                    self._move_to_front(server)
                    return result.Ok(reply)
                error = _error_body(reply)
                message = f"{server}: {error.message}"
                if error.error is api.ErrorCode.NOT_LEADER and error.leader:
                    self._move_to_front(error.leader)
                    break
                if error.error is api.ErrorCode.UNKNOWN_OUTCOME:
                    maybe_received = True
                elif error.error is not api.ErrorCode.UNAVAILABLE:
                    return result.Err(_request_error(error))
            if loop.time() + delay_s >= deadline:
                return result.Err(_no_response_error(message, change, maybe_received))
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)

    async def _attempt(
        self,
        method: str,
        url: str,
        data: bytes | None,
        query: Mapping[str, str],
        timeout_s: float,
    ) -> _Response | _NoResponse:
        headers = {"Content-Type": "application/json"} if data is not None else {}
        try:
            async with self._session.request(
                method,
                url,
                data=data,
                params=query,
                headers=headers,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                body = await _read_body(response)
                if body is None:
                    return _NoResponse(
                        f"response larger than {MAX_RESPONSE_BYTES} bytes; check that"
                        " --server names an instance",
                        maybe_received=True,
                    )
                return _Response(response.status, body)
        except aiohttp.ClientConnectorError as error:
            return _NoResponse(str(error), maybe_received=False)
        except aiohttp.InvalidURL:
            return _NoResponse(
                "invalid address; expected one such as http://127.0.0.1:8080", False
            )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return _NoResponse(
                str(error) or "no response before the timeout", maybe_received=True
            )

    def _move_to_front(self, server: str) -> None:
        server = server.rstrip("/")
        if server in self._servers:
            self._servers.remove(server)
        self._servers.insert(0, server)


async def _read_body(response: aiohttp.ClientResponse) -> bytes | None:
    """Return the body, or None if it is larger than the limit."""
    length = response.content_length
    if length is not None and length > MAX_RESPONSE_BYTES:
        return None
    pieces: list[bytes] = []
    received_bytes = 0
    while piece := await response.content.readany():
        pieces.append(piece)
        received_bytes += len(piece)
        if received_bytes > MAX_RESPONSE_BYTES:
            return None
    return b"".join(pieces)


def load_ca_certificates(
    path: str | None,
) -> result.Result[ssl.SSLContext | bool, reports.CommandError]:
    """Load the CA certificates for https servers; default: those of the system."""
    if path is None:
        return result.Ok(True)
    try:
        return result.Ok(ssl.create_default_context(cafile=path))
    except OSError as error:
        return result.Err(
            reports.usage_error(f"cannot read the certificates in {path}: {error}")
        )


@contextlib.asynccontextmanager
async def connect(connection: Connection) -> AsyncIterator[OperatorClient]:
    """Yield a client and close its connections afterwards."""
    # Connections are not reused: a dead one would cost a full request timeout.
    connector = aiohttp.TCPConnector(ssl=connection.tls, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield OperatorClient(session, connection.servers, connection.timeout_s)


def _encode(body: pydantic.BaseModel) -> bytes:
    return body.model_dump_json(by_alias=True).encode()


def _parse(
    reply: result.Result[_Response, reports.CommandError], kind: type[Body]
) -> result.Result[Body, reports.CommandError]:
    if isinstance(reply, result.Err):
        return reply
    try:
        return result.Ok(kind.model_validate_json(reply.ok_value.body))
    except pydantic.ValidationError as error:
        return result.Err(
            reports.CommandError(
                exit_codes.ExitCode.FAILED,
                f"cannot parse the server's response: {error.errors()[0]['msg']}",
                "check that the command line and the servers run the same version",
            )
        )


def _error_body(reply: _Response) -> api.ErrorBody:
    try:
        return api.ErrorBody.model_validate_json(reply.body)
    except pydantic.ValidationError:
        # Not an operator API response, for example a proxy's error page.
        code = (
            api.ErrorCode.UNKNOWN_OUTCOME
            if reply.status >= 500
            else api.ErrorCode.BAD_REQUEST
        )
        return api.ErrorBody(
            error=code,
            message=_fallback_message(reply),
            next_step="check the arguments and that the server runs yuccapitchd",
        )


def _fallback_message(reply: _Response) -> str:
    """Return the message of a JSON error response, or its status code."""
    try:
        return str(json.loads(reply.body)["message"])
    except (ValueError, TypeError, KeyError, RecursionError):
        return f"unexpected response with status {reply.status}"


def _request_error(error: api.ErrorBody) -> reports.CommandError:
    exit_code = (
        exit_codes.ExitCode.USAGE
        if error.error is api.ErrorCode.BAD_REQUEST
        else exit_codes.ExitCode.FAILED
    )
    details = tuple(str(fault) for fault in error.faults)
    return reports.CommandError(exit_code, error.message, error.next_step, details)


def _outcome_error(outcome: changes.Conflict | changes.Refused) -> reports.CommandError:
    data = outcome.model_dump(mode="json")
    if isinstance(outcome, changes.Refused):
        return reports.CommandError(
            exit_codes.ExitCode.REFUSED,
            "the catalogue refused the change",
            "fix the listed faults and apply again with a new change id",
            tuple(str(fault) for fault in outcome.faults),
            data,
        )
    winner = outcome.winning_change_id or "a change that is no longer stored"
    owner_suffix = f" of {outcome.winning_owner}" if outcome.winning_owner else ""
    return reports.CommandError(
        exit_codes.ExitCode.CONFLICT,
        f"change {winner}{owner_suffix} won; the catalogue is at version"
        f" {outcome.current_version}",
        "run 'yuccapitch get', redo your edit and apply again with a new change id",
        outcome.differences,
        data,
    )


def _no_response_error(
    message: str, change: changes.Change | None, maybe_received: bool
) -> reports.CommandError:
    if change is None or not maybe_received:
        return reports.CommandError(
            exit_codes.ExitCode.UNAVAILABLE,
            f"no server could respond; last error: {message}",
            "check --server and the instances, then run the command again",
        )
    return reports.CommandError(
        exit_codes.ExitCode.UNKNOWN_OUTCOME,
        f"the outcome of change {change.change_id} is unknown; last error: {message}",
        "apply the same declaration again with"
        f" --change-id {change.change_id} --base {change.base_version}",
        data={"change_id": change.change_id, "base_version": change.base_version},
    )
