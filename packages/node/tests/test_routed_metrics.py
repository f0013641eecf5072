"""Tests of the metrics of routed instances."""

from __future__ import annotations

import asyncio
import contextlib

from yuccapitch.catalogue import routes
from yuccapitch.gateway.http1 import server
from yuccapitch.node.routed import metrics

SCRAPE = b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"


async def read_status(reader: asyncio.StreamReader) -> int:
    head = await reader.readuntil(b"\r\n\r\n")
    length = head.lower().partition(b"content-length: ")[2].split()[0]
    await reader.readexactly(int(length))
    return int(head.split()[1])


# Guards against a metric that ends an instance, or the connection of its reader.
async def test_handle_survives_a_gauge_that_fails():
    values = [ZeroDivisionError("broken"), 1.0]

    def read() -> float:
        value = values.pop(0)
        if isinstance(value, Exception):
            raise value
        return value

    routed_metrics = metrics.RoutedMetrics()
    routed_metrics.add_gauge("odd", "A gauge that fails once.", read)
    loop = asyncio.get_running_loop()
    http_server = server.Server(routed_metrics.handle, loop.time, routes.CallerLimits)
    port = await http_server.start("127.0.0.1", 0)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(http_server.aclose)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        stack.callback(writer.close)
        statuses = []
        for _ in range(2):
            writer.write(SCRAPE)
            statuses.append(await read_status(reader))
    assert statuses == [500, 200]
