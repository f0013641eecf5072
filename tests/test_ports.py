"""Tests of the choice of ports for instances that a test starts."""

from __future__ import annotations

from tests import ports


# Guards against two instances of a test that get the same port, as the first one has
# not started yet when the second one gets its ports.
def test_free_ports_returns_no_port_twice():
    found = [ports.free_ports(1)[0] for _ in range(400)]
    assert len(set(found)) == len(found)
