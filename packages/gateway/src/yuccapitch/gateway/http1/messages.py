"""Requests and answers as they stand between the two sides of an entry instance."""

from __future__ import annotations

import dataclasses
import http

HeaderList = list[tuple[bytes, bytes]]

# Headers that concern one connection (RFC 9110, section 7.6.1), and the length, which
# is stated anew for each connection.
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)


@dataclasses.dataclass(slots=True)
class Request:
    """A whole request of a caller."""

    method: bytes
    target: bytes
    """Path and query as they stand on the request line."""
    headers: HeaderList
    """Names in lower case, values as received."""
    body: bytes
    headers_received_at: float
    """When the last byte of the header section arrived."""

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of this name, in lower case."""
        return find_header(self.headers, name)


@dataclasses.dataclass(slots=True)
class Response:
    """A whole answer, from an endpoint or of the instance itself."""

    status: int
    headers: HeaderList
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of this name, in lower case."""
        return find_header(self.headers, name)


def find_header(headers: HeaderList, name: bytes) -> bytes | None:
    """Return the first header of this name, in lower case."""
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end_headers(headers: HeaderList) -> HeaderList:
    """Return the headers without those that concern only one connection."""
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    return [
        (name, value)
        for name, value in headers
        if name not in CONNECTION_HEADERS and name not in named
    ]


def encode_request(request: Request, headers: HeaderList) -> bytes:
    """Return the bytes of a request with these headers."""
    lines = [request.method + b" " + request.target + b" HTTP/1.1\r\n"]
    lines.extend(name + b": " + value + b"\r\n" for name, value in headers)
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        lines.append(b"content-length: %d\r\n" % len(request.body))
    lines.append(b"\r\n")
    lines.append(request.body)
    return b"".join(lines)


def encode_response(response: Response, closes: bool, has_body: bool) -> bytes:
    """Return the bytes of an answer; without a body for a HEAD request."""
    reason = _REASONS_BY_STATUS.get(response.status, b"Status")
    lines = [b"HTTP/1.1 %d %s\r\n" % (response.status, reason)]
    lines.extend(name + b": " + value + b"\r\n" for name, value in response.headers)
    if closes:
        lines.append(b"connection: close\r\n")
    if response.status not in (204, 304):
        lines.append(b"content-length: %d\r\n" % len(response.body))
    lines.append(b"\r\n")
    if has_body:
        lines.append(response.body)
    return b"".join(lines)


_REASONS_BY_STATUS = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}
