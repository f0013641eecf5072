"""Interface of adapters for the formats and APIs of a platform."""

from __future__ import annotations

import typing

import result

from yuccapitch.catalogue import routes
from yuccapitch.control import coordinator, endpoint_reading
from yuccapitch.gateway.front import headers
from yuccapitch.gateway.http1 import server
from yuccapitch.node.routed import entry_directory


class Adapter(typing.Protocol):
    """Adapter that maps the formats and APIs of a platform to those of yuccapitch."""

    @property
    def header_names(self) -> headers.HeaderNames:
        """The names of request and response headers."""

    def decode_routes(self, content: bytes) -> result.Result[routes.RouteTable, str]:
        """Return the routes of a declaration, or all errors in it."""

    def readiness_handler(self, is_ready: typing.Callable[[], bool]) -> server.Handler:
        """Return the handler of the platform's readiness checks."""

    def operator_handler(self, control: coordinator.Coordinator) -> server.Handler:
        """Return the handler of operator requests."""

    def lookup_handler(
        self, directory: entry_directory.EntryDirectory
    ) -> server.Handler:
        """Return the handler of client lookups."""

    def endpoint_source(self) -> endpoint_reading.EndpointSource:
        """Return the reader of the platform's endpoint list."""
