"""Tests of the control role's service."""

from __future__ import annotations

import asyncio
from unittest import mock

import result

from yuccapitch.catalogue import changes
from yuccapitch.control import operator_api, service
from yuccapitch.protocol import frames

TEST_LIMIT_S = 10.0


# Guards against changes that get no answer as long as the disks of the replicated log
# are full or stalled.
async def test_submit_answers_although_nothing_is_committed(monkeypatch):
    monkeypatch.setattr(service, "COMMIT_TIMEOUT_S", 0.01, raising=False)
    never = asyncio.Event()
    replica = mock.Mock()
    replica.read_barrier = mock.AsyncMock(return_value=result.Ok(1))
    replica.propose = lambda command: never.wait()
    state = mock.Mock()
    state.admit.return_value = result.Ok(None)
    state.build_command.return_value = b"command"
    control = service.ControlService("c0", state, mock.Mock(), mock.Mock(), 1.0, float)
    control.attach(replica)
    async with asyncio.timeout(TEST_LIMIT_S):
        outcome = await control.submit(mock.Mock())
    error = outcome.unwrap_err()
    assert isinstance(error, operator_api.Unavailable)
    assert error.maybe_applied


# Guards against a change that no frame can carry to the other control instances.
async def test_submit_refuses_a_command_that_is_too_large_to_be_replicated():
    replica = mock.Mock()
    replica.read_barrier = mock.AsyncMock(return_value=result.Ok(1))
    replica.propose = mock.AsyncMock()
    state = mock.Mock()
    state.admit.return_value = result.Ok(None)
    state.build_command.return_value = bytes(frames.MAX_PAYLOAD_BYTES)
    control = service.ControlService("c0", state, mock.Mock(), mock.Mock(), 1.0, float)
    control.attach(replica)
    outcome = (await control.submit(mock.Mock())).unwrap()
    assert isinstance(outcome, changes.Refused)
    assert "smaller" in outcome.faults[0].message
    replica.propose.assert_not_awaited()
