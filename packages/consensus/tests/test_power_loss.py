"""Tests of the on-disk log: loss of power at each operation."""

from __future__ import annotations

import contextlib

import pytest

from packages.consensus.tests import power_loss
from yuccapitch.consensus import disk, effects, log
from yuccapitch.protocol import consensus_messages as messages

RESTORES = 20
MANY_STEPS = 1_000_000
HARD_STATE = effects.HardState(1, None)


@pytest.fixture
def supply(tmp_path):
    """Return the power supply of a folder; it fails when a test says so."""
    folder = tmp_path / "disk"
    folder.mkdir()
    supply = power_loss.PowerSupply(folder, seed=0)
    supply.steps_left = MANY_STEPS
    return supply


def open_disk(folder, max_segment_bytes=1 << 20):
    return disk.DiskStorage(folder, lambda: "first", max_segment_bytes)


def make_entries(first, last, size):
    kind = messages.EntryKind.COMMAND.value
    return tuple(
        messages.LogEntry(index, 1, kind, bytes([index]) * size)
        for index in range(first, last + 1)
    )


@contextlib.contextmanager
def written_disk(supply, entries, max_segment_bytes=1 << 20):
    """Open a disk with synced entries; the body ends with a loss of power."""
    storage = open_disk(supply.folder, max_segment_bytes)
    with supply.connected(), contextlib.closing(storage):
        storage.load().unwrap()
        storage.write_hard_state(HARD_STATE)
        for entry in entries:
            storage.write_entries((entry,))
        storage.sync()
        with pytest.raises(power_loss.PowerLoss):
            yield storage


def restored(supply, tmp_path):
    """Load what the disk may hold after the loss of power, several times."""
    found = []
    for number in range(RESTORES):
        folder = tmp_path / f"restored-{supply.steps_left}-{number}"
        folder.mkdir()
        supply.restore(folder)
        with contextlib.closing(open_disk(folder)) as storage:
            found.append(storage.load().unwrap())
    return found


# Guards against an instance that does not start after a loss of power, because a later
# write of the entries that it was about to sync was kept and an earlier one was not.
def test_disk_starts_after_a_power_loss_during_the_sync_of_several_entries(
    supply, tmp_path
):
    synced, unsynced = make_entries(1, 2, 20), make_entries(3, 6, 9_000)
    with written_disk(supply, synced) as storage:
        storage.write_entries(unsynced)
        supply.fails_at_sync = True
        storage.sync()
    for recovered in restored(supply, tmp_path):
        count = len(recovered.entries)
        assert recovered.entries == (synced + unsynced)[:count]
        assert count >= len(synced)


# Guards against an instance that does not start after a loss of power, because of the
# segments that a snapshot replaces, a later one was removed and an earlier one was not.
def test_disk_starts_after_a_power_loss_during_the_removal_of_segments(
    supply, tmp_path
):
    entries = make_entries(1, 30, 100)
    snapshot = log.Snapshot(25, 1, power_loss.MEMBERS, b"")
    with written_disk(supply, entries, max_segment_bytes=300) as storage:
        supply.fails_after_unlinks = 4
        storage.write_snapshot(snapshot, keeps_suffix=True)
    for recovered in restored(supply, tmp_path):
        assert recovered.snapshot == snapshot
        assert recovered.entries == entries[25:]
