"""Free TCP ports for instances that a test starts."""

from __future__ import annotations

import contextlib
import random
import socket

HOST = "127.0.0.1"
# Below the ports that the kernel gives to outgoing connections, one of which may take a
# port between the moment when it is found free and the start of the instance.
PORT_RANGE = (20_000, 32_000)

_assigned_ports: set[int] = set()
"""Ports that this process got before; their instances may not have started yet."""


def free_ports(count: int) -> list[int]:
    """Return different free ports on loopback."""
    found: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(found) < count:
            port = random.randrange(*PORT_RANGE)
            if port in _assigned_ports:
                continue
            with contextlib.suppress(OSError):
                stack.enter_context(socket.create_server((HOST, port)))
                found.append(port)
                _assigned_ports.add(port)
    return found
