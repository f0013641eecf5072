"""Loopback proxies for the inner ports: delay, reset, one-way block and stall."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import socket
import struct

CHUNK_BYTES = 65_536
UNBLOCK_POLL_S = 0.05
# SO_LINGER with a zero timeout: closing the socket sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset(transport: asyncio.Transport) -> None:
    """Close a connection with a reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


class Network:
    """All proxies and the active network faults."""

    def __init__(self) -> None:
        self.blocked_pairs: set[tuple[str, str]] = set()
        """Pairs of sender and receiver between which bytes are held back."""
        self.delay_s = 0.0
        self.bytes_by_instance_id: collections.Counter[str] = collections.Counter()
        """Bytes sent or received by each instance."""
        self._proxies: list[Proxy] = []

    async def add(self, instance_id: str, target: tuple[str, int]) -> None:
        """Listen on the address of an instance and forward to its process."""
        proxy = Proxy(self, instance_id, target)
        await proxy.start()
        self._proxies.append(proxy)

    def ids(self) -> list[str]:
        """Return the ids of all instances."""
        return [proxy.instance_id for proxy in self._proxies]

    def connections(self) -> list[Connection]:
        """Return the open connections."""
        return [c for proxy in self._proxies for c in proxy.connections]

    def heal(self) -> None:
        """Remove delays and blocks; stalled connections stay stalled."""
        self.blocked_pairs.clear()
        self.delay_s = 0.0

    async def aclose(self) -> None:
        """Close every proxy."""
        for proxy in self._proxies:
            await proxy.aclose()


class Connection:
    """One connection between two instances."""

    def __init__(self, network: Network, target_id: str) -> None:
        self._network = network
        self._target_id = target_id
        self._source_id = ""
        self._writers: list[asyncio.StreamWriter] = []
        self.is_stalled = False

    def reset(self) -> None:
        """Reset the connections to both instances."""
        for writer in self._writers:
            reset(writer.transport)

    async def forward(
        self,
        source: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        destination: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        """Forward bytes in both directions until one side closes."""
        self._writers = [source[1], destination[1]]
        pumps = [
            asyncio.create_task(
                self._pump(source[0], destination[1], is_to_target=True)
            ),
            asyncio.create_task(
                self._pump(destination[0], source[1], is_to_target=False)
            ),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            self.reset()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_to_target: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if is_to_target and not self._source_id:
                    self._source_id = self._identify_source(data)
                counts = self._network.bytes_by_instance_id
                counts[self._source_id] += len(data)
                counts[self._target_id] += len(data)
                if self._network.delay_s:
                    await asyncio.sleep(self._network.delay_s)
                while self.is_stalled or self._is_blocked(is_to_target):
                    await asyncio.sleep(UNBLOCK_POLL_S)
                writer.write(data)
                await writer.drain()

    def _is_blocked(self, is_to_target: bool) -> bool:
        pair = (self._source_id, self._target_id)
        return (pair if is_to_target else pair[::-1]) in self._network.blocked_pairs

    def _identify_source(self, first_message: bytes) -> str:
        # The first message contains the id of the instance that opens the link.
        known = self._network.ids()
        return next((i for i in known if i.encode() in first_message), "unknown")


class Proxy:
    """A proxy on the address by which other instances reach an instance."""

    def __init__(
        self, network: Network, instance_id: str, target: tuple[str, int]
    ) -> None:
        self.instance_id = instance_id
        self.connections: set[Connection] = set()
        self._network = network
        self._target = target
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server

    async def start(self) -> None:
        host, _, port = self.instance_id.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def aclose(self) -> None:
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        connection = Connection(self._network, self.instance_id)
        self.connections.add(connection)
        try:
            destination = await asyncio.open_connection(*self._target)
            await connection.forward((reader, writer), destination)
        except OSError:
            # The process is not listening; reset the connection, as its host would.
            writer.transport.abort()
        except asyncio.CancelledError:
            return
        finally:
            self.connections.discard(connection)
            self._tasks.discard(task)
