"""Tests of the on-disk log: loss of power at each operation."""

from __future__ import annotations

import contextlib

import pytest

from packages.consensus.tests import power_loss
from yuccapitch.consensus import disk, effects, files, log, segments
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


@pytest.mark.parametrize("seed_block", range(4))
def test_disk_survives_random_power_losses(seed_block):
    for seed in range(seed_block * 50, (seed_block + 1) * 50):
        power_loss.check(seed)


# Guards against a log that can't be read any more after its disk was full.
@pytest.mark.parametrize("seed_block", range(2))
def test_disk_survives_random_power_losses_while_almost_full(seed_block):
    for seed in range(seed_block * 50, (seed_block + 1) * 50):
        power_loss.check(seed, power_loss.NO_SPACE_RATE)


def test_power_losses_detect_a_torn_tail_that_is_kept(monkeypatch):
    def keep_torn_tail(own_segments):
        own_segments._file = segments.open(own_segments._segments[-1].path, "ab")

    monkeypatch.setattr(segments.SegmentedLog, "_remove_torn_tail", keep_torn_tail)
    with pytest.raises(AssertionError, match="does not start"):
        for seed in range(50):
            power_loss.check(seed, power_loss.NO_SPACE_RATE)


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


# Guards against entries that an instance acknowledges after the start of its process
# and loses with its power, as the previous process was killed before it synced them.
def test_disk_keeps_the_entries_that_it_has_recovered(supply, tmp_path):
    with written_disk(supply, make_entries(1, 2, 20)) as storage:
        storage.write_entries(make_entries(3, 4, 20))
        supply.fails_at_sync = True
        storage.sync()
    supply.restart_process()
    supply.steps_left = MANY_STEPS
    with supply.connected(), contextlib.closing(open_disk(supply.folder)) as storage:
        expected = storage.load().unwrap().entries
    assert len(expected) == 4
    for recovered in restored(supply, tmp_path):
        assert recovered.entries == expected


# Guards against a second vote in one term: the process was killed before it synced the
# folder, its successor confirmed the vote, and a loss of power brought back the file
# without it.
def test_disk_keeps_the_vote_that_it_has_recovered(supply, tmp_path):
    vote = effects.HardState(2, "other")
    with written_disk(supply, make_entries(1, 2, 20)) as storage:
        supply.fails_at_folder_sync = True
        storage.write_hard_state(vote)
    supply.restart_process()
    supply.steps_left = MANY_STEPS
    with supply.connected(), contextlib.closing(open_disk(supply.folder)) as storage:
        assert storage.load().unwrap().hard_state == vote
    for recovered in restored(supply, tmp_path):
        assert recovered.hard_state == vote


# Guards against a folder that is gone after a loss of power with all that was synced in
# it, because its own name was not.
def test_disk_syncs_the_folders_that_it_creates(tmp_path, monkeypatch):
    synced = []
    monkeypatch.setattr(files, "sync_folder", synced.append)
    with contextlib.closing(open_disk(tmp_path / "data" / "log")) as storage:
        storage.load().unwrap()
    assert synced[:2] == [tmp_path, tmp_path / "data"]
