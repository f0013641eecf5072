"""A TCP relay between two instances that can drop, stall or close what passes."""

from __future__ import annotations

import asyncio
import contextlib
import enum

from tests import processes

CHUNK_BYTES = 65_536


class Mode(enum.Enum):
    """What happens to bytes of one direction."""

    PASS = "pass"
    STALL = "stall"
    """Keep them until the mode changes, as a network does that resends."""
    DROP = "drop"
    """Lose them silently; a connection that lost bytes closes once it passes again."""


class Direction:
    """One direction of a relay."""

    def __init__(self) -> None:
        self._mode = Mode.PASS
        self._changed = asyncio.Event()

    def set_mode(self, mode: Mode) -> None:
        """Treat bytes in another way from now on."""
        self._mode = mode
        self._changed.set()
        self._changed = asyncio.Event()

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward until the sender closes or bytes were lost on the way."""
        has_lost = False
        while data := await reader.read(CHUNK_BYTES):
            while self._mode is Mode.STALL:
                await self._changed.wait()
            if self._mode is Mode.DROP:
                has_lost = True
            elif has_lost:
                return
            else:
                writer.write(data)
                await writer.drain()


class Relay:
    """Listens on a port of its own and forwards each connection to a target."""

    def __init__(self, target_port: int) -> None:
        self.to_target = Direction()
        self.to_source = Direction()
        self.port = 0
        self._target_port = target_port
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server

    async def start(self, reserved_ports: frozenset[int] = frozenset()) -> None:
        """Listen on a port that nobody else will want."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        if self.port in reserved_ports:
            # The system gives another while this one is held.
            unwanted = self._server
            await self.start(reserved_ports)
            unwanted.close()

    def close_connections(self) -> None:
        """Close every connection; new ones are taken."""
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
        far_reader, far_writer = await asyncio.open_connection(
            "127.0.0.1", self._target_port
        )
        self._writers |= {writer, far_writer}
        pumps = [
            asyncio.create_task(self.to_target.pump(reader, far_writer)),
            asyncio.create_task(self.to_source.pump(far_reader, writer)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            self._writers -= {writer, far_writer}
            far_writer.close()


class Mesh:
    """A relay for each ordered pair of instances."""

    def __init__(self) -> None:
        self._relays_by_pair: dict[tuple[str, str], Relay] = {}
        self._reserved_ports: frozenset[int] = frozenset()

    async def insert(self, cluster: processes.Cluster) -> None:
        """Relay every connection towards a control process, before they start."""
        controls = cluster.of_role("control")
        everyone = cluster.processes_by_id.values()
        # Chosen earlier and not yet bound, so that a relay could be given one.
        self._reserved_ports = frozenset(
            port for each in everyone for port in (each.http_port, each.inner_port)
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
        """Relay the connections that the source opens; return the port to use."""
        relay = Relay(target_port)
        await relay.start(self._reserved_ports)
        self._relays_by_pair[source, target] = relay
        return relay.port

    def set_mode(self, source: str, target: str, mode: Mode) -> None:
        """Treat bytes from the source to the target in one way, on all connections."""
        there = self._relays_by_pair.get((source, target))
        if there is not None:
            there.to_target.set_mode(mode)
        opposite = self._relays_by_pair.get((target, source))
        if opposite is not None:
            opposite.to_source.set_mode(mode)

    def partition(self, instance_id: str, others: list[str], mode: Mode) -> None:
        """Treat all bytes between an instance and others in one way."""
        for other in others:
            self.set_mode(instance_id, other, mode)
            self.set_mode(other, instance_id, mode)

    def heal(self) -> None:
        """Let everything pass."""
        for relay in self._relays_by_pair.values():
            relay.to_target.set_mode(Mode.PASS)
            relay.to_source.set_mode(Mode.PASS)

    async def aclose(self) -> None:
        """Close every relay."""
        for relay in self._relays_by_pair.values():
            await relay.aclose()
