"""Control and entry instances in one process on loopback, for end-to-end tests."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import math
import pathlib
from collections.abc import Callable

import result

from tests import ports
from yuccapitch.catalogue import ids
from yuccapitch.control import endpoint_reading
from yuccapitch.gateway.front import request_path
from yuccapitch.gateway.http1 import client, messages
from yuccapitch.node.routed import control_node, entry_node, settings
from yuccapitch.platform import declaration, handlers, headers
from yuccapitch.protocol import link as inner_link, subscription_messages

HOST = "127.0.0.1"
DOMAIN = ids.FailureDomainId("north-a")
REGION = ids.RegionId("north")


class EndpointSource:
    """An endpoint list that the test sets."""

    def __init__(self) -> None:
        self.records: tuple[subscription_messages.EndpointRecord, ...] = ()
        self.failure_domains = (DOMAIN,)
        self.max_calls_per_s = math.inf

    async def read(self, failure_domain=None):
        assert failure_domain is None, "a short list is read whole"
        return result.Ok(endpoint_reading.ListReading(self.records, 1))


class FakePlatformAdapter:
    """The platform adapter, with an endpoint list set by the test."""

    header_names = headers.NAMES

    def __init__(self, source: EndpointSource) -> None:
        self._source = source

    def decode_routes(self, content):
        return declaration.decode(content)

    def readiness_handler(self, is_ready):
        return handlers.readiness_handler(is_ready)

    def operator_handler(self, control):
        return handlers.operator_handler(control)

    def lookup_handler(self, names):
        return handlers.lookup_handler(names)

    def endpoint_source(self):
        return self._source


class Instance:
    """One instance, which the test can kill and restart."""

    def __init__(
        self,
        node_settings: settings.RoutedSettings,
        create_node,
        source: EndpointSource,
    ) -> None:
        self.node_settings, self._create_node, self._source = (
            node_settings,
            create_node,
            source,
        )
        self.failures: list[str] = []
        self._stack: contextlib.AsyncExitStack | None = None
        self.node = None

    async def start(self) -> None:
        self._stack = contextlib.AsyncExitStack()
        self.node = self._create_node(
            self.node_settings,
            FakePlatformAdapter(self._source),
            self._stack,
            self.failures.append,
        )
        started = await self.node.start()
        assert isinstance(started, result.Ok), started

    async def kill(self) -> None:
        if self._stack is not None:
            stack, self._stack = self._stack, None
            await stack.aclose()


class Group:
    """A group of control and entry instances, each with its own ports."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self.source = EndpointSource()
        self.instances: list[Instance] = []
        self._seeds: tuple[ids.InstanceId, ...] = ()

    def control(self, is_bootstrap: bool = True) -> Instance:
        node_settings = self._settings(f"control-{len(self.instances)}", is_bootstrap)
        return self._add(node_settings, control_node.ControlNode)

    def entry(self) -> Instance:
        node_settings = self._settings(f"entry-{len(self.instances)}", False)
        return self._add(node_settings, entry_node.EntryNode)

    def seeds(self, count: int) -> list[Instance]:
        """Add control instances that use each other as seeds."""
        created = [self.control() for _ in range(count)]
        self._seeds = tuple(i.node_settings.instance_id for i in created)
        for instance in created:
            instance.node_settings = replace_fields(
                instance.node_settings, seed_ids=self._seeds
            )
        return created

    async def start(self) -> None:
        for instance in self.instances:
            await instance.start()

    async def aclose(self) -> None:
        for instance in self.instances:
            await instance.kill()

    def _add(self, node_settings: settings.RoutedSettings, create_node) -> Instance:
        instance = Instance(node_settings, create_node, self.source)
        self.instances.append(instance)
        return instance

    def _settings(self, name: str, is_bootstrap: bool) -> settings.RoutedSettings:
        inner = settings.ListenAddress(HOST, ports.free_ports(1)[0])
        is_control = name.startswith("control")
        return settings.RoutedSettings(
            instance_id=ids.InstanceId(f"{HOST}:{inner.port}"),
            name=name,
            inner_address=inner,
            region_id=REGION,
            failure_domain=DOMAIN,
            region_by_domain={DOMAIN: REGION},
            seed_ids=self._seeds,
            is_bootstrap=is_bootstrap,
            stop_grace_s=3.0,
            lookup_ttl_s=0.2,
            retry_budget=request_path.FleetRetryBudget(0.2, 60.0, 10.0),
            data_dir=self._folder / name if is_control else None,
            caller_address=(
                None
                if is_control
                else settings.ListenAddress(HOST, ports.free_ports(1)[0])
            ),
            readiness_address=(
                None
                if is_control
                else settings.ListenAddress(HOST, ports.free_ports(1)[0])
            ),
            operator_address=(
                settings.ListenAddress(HOST, ports.free_ports(1)[0])
                if is_control
                else None
            ),
            lookup_address=(
                settings.ListenAddress(HOST, ports.free_ports(1)[0])
                if is_control
                else None
            ),
        )


class Endpoint:
    """An endpoint that responds to each request with its name."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.executed_attempt_ids: list[str] = []
        self.delay_s = 0.0
        self.rate_limit: str | None = None
        """Limit that it names in its answers, in requests per second."""
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def record(self, **changes) -> subscription_messages.EndpointRecord:
        created = subscription_messages.EndpointRecord(
            self.name, "orders", HOST, self.port, DOMAIN, 4, False, 0, 0, REGION
        )
        return replace_fields(created, **changes)

    async def _serve(self, reader, writer) -> None:
        self._writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = dict(
                    line.split(": ", 1)
                    for line in head.decode().split("\r\n")
                    if ": " in line
                )
                await reader.readexactly(int(fields.get("content-length", 0)))
                self.executed_attempt_ids.append(fields["attempt-id"])
                await asyncio.sleep(self.delay_s)
                limit = f"Server-Limit: {self.rate_limit}\r\n"
                writer.write(
                    b"HTTP/1.1 200 OK\r\nServer-Seal: x\r\nAttempt-Id: %s\r\n"
                    b"%sContent-Length: %d\r\n\r\n%s"
                    % (
                        fields["attempt-id"].encode(),
                        b"" if self.rate_limit is None else limit.encode(),
                        len(self.name),
                        self.name.encode(),
                    )
                )
        writer.close()


async def call(
    listen: settings.ListenAddress,
    method: str,
    target: str,
    body: bytes = b"",
    **fields: str,
) -> messages.Response | client.Failure:
    """Send one request on a new connection."""
    loop = asyncio.get_running_loop()
    pool = client.Pool(listen.host, listen.port, loop.time)
    connection = await pool.acquire(5.0, 5.0)
    if isinstance(connection, client.Failure):
        return connection
    header_fields = [(b"host", b"shop.example")]
    header_fields += [
        (k.replace("_", "-").encode(), v.encode()) for k, v in fields.items()
    ]
    request = messages.Request(
        method.encode(), target.encode(), header_fields, body, 0.0
    )
    async with asyncio.timeout(10):
        head = messages.encode_request_head(request, header_fields)
        response = await connection.exchange(head, lambda response: True, False, body)
    connection.close()
    return response


def cut_off(instance: Instance) -> None:
    """Let every message between an instance and other instances be lost."""

    async def lose(peer_id, message, timeout_s):
        await asyncio.sleep(timeout_s)
        return result.Err(inner_link.LinkError(inner_link.LinkErrorCode.TIMEOUT))

    links = instance.node._links
    links.request, links.send = lose, lambda peer_id, message: True
    # Messages without a handler are dropped.
    links._handlers_by_type.clear()


async def wait_until(condition: Callable[[], object], description: str) -> None:
    """Wait for a condition; the long timeout only ends a test that hangs."""
    try:
        async with asyncio.timeout(60):
            while not condition():
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise AssertionError(f"not reached: {description}") from None


async def wait_for_status(status: int, send, description: str) -> messages.Response:
    """Send requests until the response has the given status."""
    async with asyncio.timeout(60):
        while True:
            response = await send()
            if getattr(response, "status", None) == status:
                return response
            await asyncio.sleep(0.05)


def replace_fields(value, **changes):
    return dataclasses.replace(value, **changes)
