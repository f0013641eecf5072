"""On-disk log as a sequence of append-only segment files."""

from __future__ import annotations

import dataclasses
import os
import pathlib
from typing import BinaryIO

import result

from yuccapitch.consensus import files, records, storage
from yuccapitch.protocol import consensus_messages as messages

MAX_SEGMENT_BYTES = 4 * 1024 * 1024
# Largest file that is read, above any segment: the last record may have the size of a
# whole change.
MAX_FILE_BYTES = 512 * 1024 * 1024
_PATTERN = "log-*.segment"


@dataclasses.dataclass
class _Segment:
    path: pathlib.Path
    # Highest index in any record of the segment.
    max_index: int = 0


class SegmentedLog:
    """Append-only log in segment files.

    Loading it removes a record that a crash left incomplete at the end.
    """

    def __init__(self, folder: pathlib.Path, max_segment_bytes: int) -> None:
        """Use this folder; start a new segment once one reaches the maximum size."""
        self._folder = folder
        self._max_segment_bytes = max_segment_bytes
        self._segments: list[_Segment] = []
        self._file: BinaryIO | None = None
        self._size = 0
        self._synced_size = 0
        self._unwritten = bytearray()

    def load(
        self, snapshot_index: int
    ) -> result.Result[tuple[messages.LogEntry, ...], storage.StorageError]:
        """Read the segments and return the entries after the snapshot."""
        entries: list[messages.LogEntry] = []
        paths = sorted(self._folder.glob(_PATTERN))
        for number, path in enumerate(paths):
            segment = _Segment(path)
            self._segments.append(segment)
            if _segment_number(path) != _segment_number(paths[0]) + number:
                reason = "the previous segment is missing"
                return result.Err(storage.StorageError(str(path), 0, reason))
            too_large = storage.too_large_error(path, MAX_FILE_BYTES)
            if too_large is not None:
                return result.Err(too_large)
            corruption = self._replay_segment(
                segment, path == paths[-1], snapshot_index, entries
            )
            if corruption is not None:
                return result.Err(storage.StorageError(str(path), *corruption))
        return result.Ok(tuple(entries))

    @property
    def is_empty(self) -> bool:
        """Whether the log has no segments."""
        return not self._segments

    def open(self) -> None:
        """Open the last segment for appending, or create the first one of a new log."""
        if self._segments:
            self._open(self._segments[-1].path)
            # A process that was killed may have written records without syncing them.
            # They have been loaded, so that they are answered for from now on.
            self._sync_file()
        else:
            self._start_segment()

    def append(self, record: records.Record) -> None:
        """Add one record; ``sync`` writes it."""
        if self._file is None or self._size >= self._max_segment_bytes:
            self._start_segment()
        if self._file is None:
            raise AssertionError("no segment is open")
        data = records.encode(record)
        self._unwritten += data
        self._size += len(data)
        segment = self._segments[-1]
        segment.max_index = max(segment.max_index, _record_index(record))

    def sync(self) -> None:
        """Block until all records added are on disk.

        After ``NoSpaceError``, none of them is; the call can be repeated.
        """
        if self._file is not None and self._unwritten:
            # Of several writes, a loss of power may keep the last and drop the first.
            # That would look like corruption of acknowledged records.
            try:
                files.write(self._file, self._unwritten)
            except files.NoSpaceError:
                self._remove_torn_tail()
                raise
            self._sync_file()
            self._synced_size += len(self._unwritten)
            self._unwritten.clear()

    def delete_up_to(self, index: int) -> None:
        """Delete the oldest segments that have no records after ``index``."""
        while len(self._segments) > 1 and self._segments[0].max_index <= index:
            self._segments.pop(0).path.unlink()
            # Of several names removed without a sync, a loss of power may bring back
            # any, and a gap between segments is an error.
            files.sync_folder(self._folder)

    def close(self) -> None:
        """Close the open segment."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _replay_segment(
        self,
        segment: _Segment,
        is_last: bool,
        snapshot_index: int,
        entries: list[messages.LogEntry],
    ) -> tuple[int, str] | None:
        """Apply the segment's records to the entries.

        Return the offset and the reason if the segment is corrupt.
        """
        data = segment.path.read_bytes()
        end = 0
        for frame in records.read_frames(data):
            if isinstance(frame, result.Err):
                return frame.err_value.offset, frame.err_value.reason
            offset, payload = frame.ok_value
            record = records.decode(payload)
            segment.max_index = max(segment.max_index, _record_index(record))
            if not _replay_record(record, snapshot_index, entries):
                return (
                    offset,
                    f"entry {_record_index(record)} does not follow the previous one",
                )
            end = offset + records.HEADER_BYTES + len(payload)
        if end < len(data):
            if not is_last:
                return end, "truncated record in a segment that is not the last"
            _truncate(segment.path, end)
        return None

    def _start_segment(self) -> None:
        self.sync()
        self.close()
        number = 1 + (_segment_number(self._segments[-1].path) if self._segments else 0)
        segment = _Segment(self._folder / f"log-{number:012d}.segment")
        with files.detecting_no_space():
            self._open(segment.path)
        self._segments.append(segment)
        files.sync_folder(self._folder)

    def _remove_torn_tail(self) -> None:
        path = self._segments[-1].path
        _truncate(path, self._synced_size)
        self._file = open(path, "ab")

    def _open(self, path: pathlib.Path) -> None:
        self._file = open(path, "ab")
        self._size = self._synced_size = path.stat().st_size

    def _sync_file(self) -> None:
        if self._file is None:
            raise AssertionError("no segment is open")
        self._file.flush()
        os.fdatasync(self._file.fileno())


def _record_index(record: records.Record) -> int:
    return record.first if isinstance(record, records.Truncation) else record.index


def _segment_number(path: pathlib.Path) -> int:
    return int(path.stem.removeprefix("log-"))


def _replay_record(
    record: records.Record, snapshot_index: int, entries: list[messages.LogEntry]
) -> bool:
    """Apply one record to the entries; return false if it leaves a gap."""
    first = _record_index(record)
    while entries and entries[-1].index >= first:
        entries.pop()
    if isinstance(record, records.Truncation) or record.index <= snapshot_index:
        return True
    last_index = entries[-1].index if entries else snapshot_index
    if record.index != last_index + 1:
        return False
    entries.append(record)
    return True


def _truncate(path: pathlib.Path, size: int) -> None:
    with open(path, "r+b") as file:
        file.truncate(size)
        os.fsync(file.fileno())
