"""What a deployment's own names and formats are translated by."""

from __future__ import annotations

import typing

import result

from yuccapitch.catalogue import routes
from yuccapitch.control import coordinator
from yuccapitch.gateway.front import headers
from yuccapitch.gateway.http1 import server
from yuccapitch.node.routed import entry_directory


class Adapter(typing.Protocol):
    """Translates between a deployment's words and the product's."""

    @property
    def header_names(self) -> headers.HeaderNames:
        """The headers of requests and answers."""

    def decode_routes(self, content: bytes) -> result.Result[routes.RouteTable, str]:
        """Return the routes of a declaration, or every fault in it."""

    def readiness_handler(self, is_ready: typing.Callable[[], bool]) -> server.Handler:
        """Return the handler of the platform's checks."""

    def operator_handler(self, control: coordinator.Coordinator) -> server.Handler:
        """Return the handler of operators' calls."""

    def lookup_handler(
        self, directory: entry_directory.EntryDirectory
    ) -> server.Handler:
        """Return the handler of callers' look-ups."""

    def endpoint_source(self) -> coordinator.EndpointSource:
        """Return the reader of the platform's list."""
