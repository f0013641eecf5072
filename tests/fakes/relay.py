"""A TCP relay between two instances that can drop, stall or close connections."""

from __future__ import annotations

import asyncio
import contextlib
import enum

from tests import processes

CHUNK_BYTES = 65_536


class Mode(enum.Enum):
    """The treatment of bytes in one direction."""

    PASS = "pass"
    STALL = "stall"
    """Hold bytes until the mode changes, like a network that retransmits."""
    DROP = "drop"
    """Drop bytes silently; close an affected connection at its next byte after PASS."""


class Direction:
    """One direction of a relay."""

    def __init__(self) -> None:
        self._mode = Mode.PASS
        self._changed = asyncio.Event()

    def set_mode(self, mode: Mode) -> None:
        """Change the treatment of bytes."""
        self._mode = mode
        self._changed.set()
        self._changed = asyncio.Event()

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward bytes until the sender closes or a byte follows dropped ones."""
        has_dropped = False
        while data := await reader.read(CHUNK_BYTES):
            while self._mode is Mode.STALL:
                await self._changed.wait()
            if self._mode is Mode.DROP:
                has_dropped = True
            elif has_dropped:
                return
            else:
                writer.write(data)
                await writer.drain()


class Relay:
    """A TCP server that forwards each connection to a target port."""

    def __init__(self, target_port: int) -> None:
        self.to_target = Direction()
        self.to_source = Direction()
        self.port = 0
        self._target_port = target_port
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server

    async def start(self, reserved_ports: frozenset[int] = frozenset()) -> None:
        """Listen on a free port that is not reserved."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        if self.port in reserved_ports:
            # While this port is bound, the system assigns a different one.
            reserved_server = self._server
            await self.start(reserved_ports)
            reserved_server.close()

    def close_connections(self) -> None:
        """Close every connection; new ones are still accepted."""
        for writer in list(self._writers):
            writer.close()

    async def aclose(self) -> None:
        """Stop listening and close every connection."""
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
        try:
            with contextlib.suppress(OSError):
                await self._forward(reader, writer)
        except asyncio.CancelledError:
            return
        finally:
            writer.close()
            self._tasks.discard(task)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            "127.0.0.1", self._target_port
        )
        self._writers |= {writer, target_writer}
        pumps = [
            asyncio.create_task(self.to_target.pump(reader, target_writer)),
            asyncio.create_task(self.to_source.pump(target_reader, writer)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            self._writers -= {writer, target_writer}
            target_writer.close()


class Mesh:
    """A relay for each ordered pair of instances."""

    def __init__(self) -> None:
        self._relays_by_pair: dict[tuple[str, str], Relay] = {}
        self._reserved_ports: frozenset[int] = frozenset()

    async def insert(self, cluster: processes.Cluster) -> None:
        """Relay all connections to control processes; call before they start."""
        controls = cluster.of_role("control")
        all_processes = cluster.processes_by_id.values()
        # These ports are assigned but not yet bound, so a relay could get one.
        self._reserved_ports = frozenset(
            port for each in all_processes for port in (each.http_port, each.inner_port)
        )
        for process in cluster.processes_by_id.values():
            peers = []
            for control in controls:
                port = control.inner_port
                if control is not process:
                    port = await self.add(
                        process.instance_id, control.instance_id, control.inner_port
                    )
                peers.append(f"{control.instance_id}=127.0.0.1:{port}")
            process.control_peers = ",".join(peers)

    async def add(self, source: str, target: str, target_port: int) -> int:
        """Add a relay from the source to the target; return its port."""
        relay = Relay(target_port)
        await relay.start(self._reserved_ports)
        self._relays_by_pair[source, target] = relay
        return relay.port

    def set_mode(self, source: str, target: str, mode: Mode) -> None:
        """Set the mode for bytes from the source to the target on all connections."""
        direct = self._relays_by_pair.get((source, target))
        if direct is not None:
            direct.to_target.set_mode(mode)
        reverse = self._relays_by_pair.get((target, source))
        if reverse is not None:
            reverse.to_source.set_mode(mode)

    def partition(self, instance_id: str, others: list[str], mode: Mode) -> None:
        """Set the mode for all bytes between an instance and others."""
        for other in others:
            self.set_mode(instance_id, other, mode)
            self.set_mode(other, instance_id, mode)

    def heal(self) -> None:
        """Pass all bytes again."""
        for relay in self._relays_by_pair.values():
            relay.to_target.set_mode(Mode.PASS)
            relay.to_source.set_mode(Mode.PASS)

    async def aclose(self) -> None:
        """Close every relay."""
        for relay in self._relays_by_pair.values():
            await relay.aclose()
