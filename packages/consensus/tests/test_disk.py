"""Tests of the on-disk log: crashes, corruption, snapshots."""

from __future__ import annotations

import shutil
import struct
import tracemalloc

import crc32c
import pytest
import result

from yuccapitch.consensus import disk, effects, log, membership
from yuccapitch.protocol import consensus_messages as messages

MEMBERS = membership.Membership((membership.Member("c0", "first", True),))
SEGMENT = "log-000000000001.segment"


def open_disk(folder, max_segment_bytes=1 << 20):
    return disk.DiskStorage(folder, lambda: "first", max_segment_bytes)


def make_entry(index, term=1):
    payload = b"command %d" % index
    return messages.LogEntry(index, term, messages.EntryKind.COMMAND.value, payload)


def load(folder):
    storage = open_disk(folder)
    outcome = storage.load()
    storage.close()
    return outcome


@pytest.fixture
def written(tmp_path):
    """Return a folder, and pairs of segment size and entries synced at that size."""
    folder = tmp_path / "disk"
    storage = open_disk(folder)
    storage.load().unwrap()
    storage.write_hard_state(effects.HardState(2, "other"))
    steps = [[1], [2, 3], [4], [5, 6, 7], [4], [5]]
    entries, acknowledged = [], [(0, ())]
    for term, indexes in enumerate(steps, start=1):
        batch = tuple(make_entry(index, term) for index in indexes)
        entries = [e for e in entries if e.index < indexes[0]] + list(batch)
        storage.write_entries(batch)
        storage.sync()
        size = (folder / SEGMENT).stat().st_size
        acknowledged.append((size, tuple(entries)))
    storage.close()
    return folder, acknowledged


def test_disk_every_prefix_recovers_acknowledged_state(written, tmp_path):
    folder, acknowledged = written
    data = (folder / SEGMENT).read_bytes()
    copy = tmp_path / "copy"
    shutil.copytree(folder, copy)
    for size in range(len(data) + 1):
        (copy / SEGMENT).write_bytes(data[:size])
        found = load(copy).unwrap().entries
        synced = [entries for end, entries in acknowledged if end <= size][-1]
        following = [entries for end, entries in acknowledged if end > size][:1]
        has_all_synced = found[: len(synced)] == synced
        assert has_all_synced or found == following[0][: len(found)], size
        assert load(copy).unwrap().entries == found


def test_disk_every_flipped_bit_is_an_error_with_file_and_offset(written, tmp_path):
    folder, _ = written
    data = (folder / SEGMENT).read_bytes()
    copy = tmp_path / "copy"
    shutil.copytree(folder, copy)
    for offset in range(len(data)):
        flipped = bytearray(data)
        flipped[offset] ^= 1 << offset % 8
        (copy / SEGMENT).write_bytes(flipped)
        error = load(copy).unwrap_err()
        assert error.path.endswith(SEGMENT)
        assert error.offset <= offset < error.offset + 50


def test_disk_zeros_at_the_end_are_truncated(written):
    folder, acknowledged = written
    with open(folder / SEGMENT, "ab") as file:
        file.write(bytes(4096))
    assert load(folder).unwrap().entries == acknowledged[-1][1]
    assert (folder / SEGMENT).stat().st_size == acknowledged[-1][0]


def test_disk_appends_after_truncated_record(written):
    folder, _ = written
    data = (folder / SEGMENT).read_bytes()
    (folder / SEGMENT).write_bytes(data[:-1])
    storage = open_disk(folder)
    entries = storage.load().unwrap().entries
    added = make_entry(entries[-1].index + 1, term=9)
    storage.write_entries((added,))
    storage.sync()
    storage.close()
    assert load(folder).unwrap().entries == (*entries, added)


def test_disk_keeps_identity_term_and_vote(written):
    recovered = load(written[0]).unwrap()
    assert recovered.identity == "first"
    assert recovered.hard_state == effects.HardState(2, "other")


@pytest.mark.parametrize("name", ["identity", "hard-state", SEGMENT])
def test_disk_missing_file_is_an_error(written, name):
    (written[0] / name).unlink()
    assert "missing" in str(load(written[0]).unwrap_err())


def test_disk_truncated_hard_state_is_an_error(written):
    path = written[0] / "hard-state"
    path.write_bytes(path.read_bytes()[:-1])
    assert load(written[0]).unwrap_err().path == str(path)


def test_disk_folder_in_use_is_an_error(tmp_path):
    first, second = open_disk(tmp_path), open_disk(tmp_path)
    assert first.load().is_ok()
    assert "another process" in str(second.load().unwrap_err())
    first.close()


def test_disk_snapshot_deletes_older_segments(tmp_path):
    storage = open_disk(tmp_path, max_segment_bytes=100)
    storage.load().unwrap()
    storage.write_hard_state(effects.HardState(1, None))
    storage.write_entries(tuple(make_entry(n) for n in range(1, 31)))
    storage.sync()
    before = len(list(tmp_path.glob("log-*")))
    snapshot = log.Snapshot(20, 1, MEMBERS, b"state\nof 20")
    storage.write_snapshot(snapshot, keeps_suffix=True)
    storage.close()
    assert len(list(tmp_path.glob("log-*"))) < before
    recovered = load(tmp_path).unwrap()
    assert recovered.snapshot == snapshot
    assert [e.index for e in recovered.entries] == list(range(21, 31))


def test_disk_missing_middle_segment_is_an_error(tmp_path):
    storage = open_disk(tmp_path, max_segment_bytes=100)
    storage.load().unwrap()
    storage.write_hard_state(effects.HardState(1, None))
    storage.write_entries(tuple(make_entry(n) for n in range(1, 31)))
    storage.close()
    sorted(tmp_path.glob("log-*"))[2].unlink()
    assert "missing" in load(tmp_path).unwrap_err().reason


def test_disk_installed_snapshot_removes_conflicting_suffix(tmp_path):
    storage = open_disk(tmp_path)
    storage.load().unwrap()
    storage.write_hard_state(effects.HardState(1, None))
    storage.write_entries(tuple(make_entry(n) for n in range(1, 31)))
    storage.write_snapshot(log.Snapshot(20, 2, MEMBERS, b""), keeps_suffix=False)
    storage.close()
    assert load(tmp_path).unwrap().entries == ()


def test_disk_interrupted_replace_keeps_old_file(written):
    (written[0] / "hard-state.tmp").write_bytes(b"half")
    recovered = load(written[0])
    assert isinstance(recovered, result.Ok)
    assert not (written[0] / "hard-state.tmp").exists()


# Guards against an instance that ends at each start by a file that is not its own, or
# that a fault of the disk has made large.
@pytest.mark.parametrize(
    ("name", "max_bytes"),
    [(SEGMENT, 536_870_912), ("hard-state", 65_536), ("identity", 65_536)],
)
def test_disk_file_that_is_too_large_is_an_error(written, name, max_bytes):
    folder, _ = written
    with open(folder / name, "ab") as file:
        file.truncate(600 * 1024 * 1024)
    tracemalloc.start()
    try:
        error = load(folder).unwrap_err()
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert error.path.endswith(name)
    assert f"larger than {max_bytes} bytes" in error.reason
    assert peak_bytes < 1024 * 1024


def test_disk_claimed_length_of_a_record_takes_no_memory(written):
    folder, acknowledged = written
    header = struct.pack(">II", 2**32 - 1, 0)
    with open(folder / SEGMENT, "ab") as file:
        file.write(header + struct.pack(">I", crc32c.crc32c(header)) + b"x" * 100)
    tracemalloc.start()
    try:
        recovered = load(folder).unwrap()
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert recovered.entries == acknowledged[-1][1]
    assert peak_bytes < 1024 * 1024
