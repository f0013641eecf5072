"""Forwarding of requests to the instance that owns a pool of slots.

A forwarded request carries the token of the receiving instance. Instances exchange
their tokens only over inner links, so that a client cannot impersonate an instance.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import hmac
import secrets
from collections.abc import Collection, Mapping

import multidict
import result
from aiohttp import web

from yuccapitch.catalogue import ids
from yuccapitch.gateway import outcomes

TOKEN_HEADER = "Yuccapitch-Forward-Token"
DOMAIN_HEADER = "Yuccapitch-Forward-Domain"
ENDPOINT_OWNER_HEADER = "Yuccapitch-Forward-Owner"
TOKEN_BYTES = 16

_HEADERS = (TOKEN_HEADER, DOMAIN_HEADER, ENDPOINT_OWNER_HEADER)


@dataclasses.dataclass(frozen=True)
class ForwardInfo:
    """The pool and the restrictions that are sent with a forwarded request."""

    failure_domain: ids.FailureDomainId
    endpoint_owner: ids.OwnerId | None
    """The owner of the only endpoints that may serve the request, if restricted."""


class ForwardTokens:
    """The token of this instance and those of the other instances."""

    def __init__(self) -> None:
        self.local_token = secrets.token_hex(TOKEN_BYTES)
        self._tokens_by_id: dict[ids.InstanceId, str] = {}
        self._token_set = asyncio.Event()

    def set_token(self, instance_id: ids.InstanceId, token: str) -> None:
        """Record another instance's token."""
        self._tokens_by_id[instance_id] = token
        self._token_set.set()
        self._token_set = asyncio.Event()

    def has_token(self, instance_id: ids.InstanceId) -> bool:
        """Whether requests can be forwarded to the instance."""
        return instance_id in self._tokens_by_id

    async def wait_for_any(
        self, instance_ids: Collection[ids.InstanceId], timeout_s: float
    ) -> None:
        """Wait until requests can be forwarded to one of the instances, or a time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not any(map(self.has_token, instance_ids)):
                    await self._token_set.wait()

    def build_headers(
        self,
        instance_id: ids.InstanceId,
        forward: ForwardInfo,
        client_headers: Mapping[str, str],
    ) -> multidict.CIMultiDict[str]:
        """Return the client's headers with those of a forwarded request."""
        headers = multidict.CIMultiDict(client_headers)
        for name in _HEADERS:
            headers.popall(name, None)
        headers[TOKEN_HEADER] = self._tokens_by_id[instance_id]
        headers[DOMAIN_HEADER] = forward.failure_domain
        if forward.endpoint_owner is not None:
            headers[ENDPOINT_OWNER_HEADER] = forward.endpoint_owner
        return headers

    def read(
        self, request: web.Request
    ) -> result.Result[ForwardInfo | None, outcomes.Failure]:
        """Return the forward headers of a request, or None if it was not forwarded.

        A request with a wrong token is refused. It must not be served as a client's
        request, since the instance that forwarded it has claimed its key.
        """
        token = request.headers.get(TOKEN_HEADER)
        if token is None:
            return result.Ok(None)
        if not hmac.compare_digest(token.encode(), self.local_token.encode()):
            message = "the token is not the one of this instance's present run"
            return result.Err(outcomes.Failure(503, "wrong-token", message))
        owner = request.headers.get(ENDPOINT_OWNER_HEADER)
        forward = ForwardInfo(
            ids.FailureDomainId(request.headers.get(DOMAIN_HEADER, "")),
            None if owner is None else ids.OwnerId(owner),
        )
        return result.Ok(forward)


def strip_forward_headers(headers: Mapping[str, str]) -> Mapping[str, str]:
    """Return the headers without those of a forwarded request."""
    if not any(name in headers for name in _HEADERS):
        return headers
    kept = multidict.CIMultiDict(headers)
    for name in _HEADERS:
        kept.popall(name, None)
    return kept
