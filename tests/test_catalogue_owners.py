"""Owners can change only their own entries, with changes signed by the CLI."""

from __future__ import annotations

import copy
import datetime
import json
import pathlib
import subprocess
from typing import Any

import pytest
import yaml

from tests import declarations, processes
from yuccapitch.cli import exit_codes

pytestmark = pytest.mark.processes

ExitCode = exit_codes.ExitCode


def month(months_ago: int) -> str:
    """Return the UTC month a number of months ago."""
    now = datetime.datetime.now(datetime.UTC)
    count = now.year * 12 + now.month - 1 - months_ago
    return f"{count // 12:04}-{count % 12 + 1:02}"


class Owners:
    """Two owners with keys and the declaration that they change."""

    def __init__(self, cluster: processes.Cluster) -> None:
        self._cluster = cluster
        self.declaration = declarations.small(
            cluster.instances(), {"shop-1": 1, "shop-2": 2}
        )
        self.declaration["endpoints"]["shop-2"]["owner"] = "south"

    def key(self, owner: str) -> pathlib.Path:
        """Return the file of an owner's private key."""
        return self._cluster.folder / f"{owner}.key"

    async def make_keys(self) -> None:
        """Create and declare a key per owner; the current month is north's turn."""
        for owner in ("north", "south"):
            await self._run(ExitCode.OK, "key", "new", str(self.key(owner)))
            public = self.key(owner).with_suffix(".key.pub").read_text().strip()
            self.declaration["owners"][owner] = {"public_keys": [public]}
        self.declaration["turns"] = {"first_month": month(0), "order": ["north"]}
        self.declaration["turns"]["order"].append("south")

    async def apply(
        self, edited: dict[str, Any], expected: exit_codes.ExitCode, *arguments: str
    ) -> str:
        """Apply a declaration, store it if accepted, and return the output."""
        path = self._cluster.folder / "edited.yaml"
        path.write_text(yaml.safe_dump(edited))
        arguments = ("apply", str(path), "--yes", *arguments)
        done = await self._run(expected, *arguments)
        if expected is ExitCode.OK:
            self.declaration = edited
        return (done.stdout + done.stderr).decode()

    async def apply_signed(
        self, owner: str, edited: dict[str, Any], expected: exit_codes.ExitCode
    ) -> str:
        """Apply a declaration signed by an owner."""
        return await self.apply(edited, expected, "--key", str(self.key(owner)))

    async def export(self) -> pathlib.Path:
        """Export the audit trail."""
        path = self._cluster.folder / "audit.jsonl"
        await self._run(ExitCode.OK, "audit", "export", str(path))
        return path

    async def verify(self, path: pathlib.Path, expected: exit_codes.ExitCode) -> str:
        """Verify an audit trail with the public keys of both owners."""
        keys = [
            argument
            for owner in ("north", "south")
            for argument in ("--keys", f"{owner}={self.key(owner)}.pub")
        ]
        done = await self._run(expected, "audit", "verify", str(path), *keys)
        return (done.stdout + done.stderr).decode()

    def edited(self, section: str, entry: str, **fields: object) -> dict[str, Any]:
        """Return the declaration with some fields of an entry changed."""
        changed = copy.deepcopy(self.declaration)
        changed[section][entry].update(fields)
        return changed

    async def _run(
        self, expected: exit_codes.ExitCode, *arguments: str
    ) -> subprocess.CompletedProcess[bytes]:
        done = await self._cluster.run_cli(*arguments)
        assert done.returncode == expected.value, (done.stdout + done.stderr).decode()
        return done


@pytest.fixture
async def owners(cluster: processes.Cluster) -> Owners:
    """Return two owners and start a control process that requires signatures."""
    extra_environment = {"YUCCAPITCH_ALLOW_UNSIGNED": "false"}
    cluster.add({"control-1": "domain-1"}, {}, extra_environment)
    cluster.start()
    created = Owners(cluster)
    await created.make_keys()
    await created.apply_signed("north", created.declaration, ExitCode.OK)
    return created


async def test_owner_can_change_only_its_own_entries(owners: Owners) -> None:
    own = owners.edited("endpoints", "shop-2", connections=41)
    await owners.apply_signed("south", own, ExitCode.OK)
    foreign = owners.edited("endpoints", "shop-1", connections=41)
    output = await owners.apply_signed("south", foreign, ExitCode.REFUSED)
    assert "endpoints.shop-1" in output and "belongs to 'north'" in output
    unsigned = await owners.apply(own, ExitCode.REFUSED, "--owner", "south")
    assert "not signed" in unsigned


async def test_authority_over_shared_sections_changes_monthly(owners: Owners) -> None:
    shared = owners.edited("regions", "east", capacity=101)
    output = await owners.apply_signed("south", shared, ExitCode.REFUSED)
    assert "regions.east" in output and "is 'north''s" in output
    await owners.apply_signed("north", shared, ExitCode.OK)
    # The test cannot set the clock; it changes the first month to give south the turn.
    later_turn = copy.deepcopy(owners.declaration)
    later_turn["turns"]["first_month"] = month(1)
    await owners.apply_signed("north", later_turn, ExitCode.OK)
    shared = owners.edited("regions", "east", capacity=102)
    await owners.apply_signed("north", shared, ExitCode.REFUSED)
    await owners.apply_signed("south", shared, ExitCode.OK)


async def test_audit_verify_detects_changed_records(owners: Owners) -> None:
    own = owners.edited("endpoints", "shop-2", connections=41)
    await owners.apply_signed("south", own, ExitCode.OK)
    path = await owners.export()
    await owners.verify(path, ExitCode.OK)
    first, second = path.read_text().splitlines()
    forged = {**json.loads(first), "reason": "another"}
    path.write_text(f"{json.dumps(forged)}\n{second}\n")
    assert "1" in await owners.verify(path, ExitCode.AUDIT_FAULT)
    path.write_text(f"{second}\n")
    await owners.verify(path, ExitCode.AUDIT_FAULT)
