"""Storage of a replica's log, term, vote, identity and snapshot in a data folder."""

from __future__ import annotations

import contextlib
import json
import pathlib
from collections.abc import Callable

import result

from yuccapitch.consensus import (
    core,
    effects,
    files,
    log,
    membership,
    records,
    segments,
    storage,
)
from yuccapitch.protocol import consensus_messages as messages

_IDENTITY = "identity"
_HARD_STATE = "hard-state"
_SNAPSHOT = "snapshot"
# Largest identity, term and vote that are read. The size of a snapshot is that of the
# state.
MAX_SMALL_FILE_BYTES = 64 * 1024


class DiskStorage:
    """``Storage`` in checksummed files, used by only one process at a time."""

    def __init__(
        self,
        folder: pathlib.Path,
        make_identity: Callable[[], str],
        max_segment_bytes: int = segments.MAX_SEGMENT_BYTES,
    ) -> None:
        """Use this folder; ``make_identity`` creates the identity of a new disk."""
        self._folder = folder
        self._make_identity = make_identity
        self._segments = segments.SegmentedLog(folder, max_segment_bytes)
        self._exit_stack = contextlib.ExitStack()
        self._exit_stack.callback(self._segments.close)

    def load(self) -> result.Result[core.RecoveredState, storage.StorageError]:
        """Read the folder, or initialize an empty one with a new identity."""
        try:
            return self._load()
        except files.NoSpaceError as error:
            return result.Err(_no_space_error(self._folder, error))

    def write_hard_state(self, hard_state: effects.HardState) -> None:
        """Replace the file with term and vote; the new file is synced at once."""
        fields = {"term": hard_state.term, "voted_for": hard_state.voted_for}
        self._replace_file(_HARD_STATE, json.dumps(fields).encode())

    def write_entries(self, entries: tuple[messages.LogEntry, ...]) -> None:
        """Append entries to the log."""
        for entry in entries:
            self._segments.append(entry)

    def write_snapshot(self, snapshot: log.Snapshot, keeps_suffix: bool) -> None:
        """Replace the snapshot, then delete the segments that it covers."""
        if not keeps_suffix:
            # Without this record, a crash between the writes to log and snapshot could
            # leave entries of a conflicting history after the snapshot.
            self._segments.append(records.Truncation(snapshot.last_index))
        self._segments.sync()
        self._replace_file(_SNAPSHOT, _encode_snapshot(snapshot))
        self._segments.delete_up_to(snapshot.last_index)

    def sync(self) -> None:
        """Block until everything written is on disk."""
        self._segments.sync()

    def close(self) -> None:
        """Close the files and release the folder's lock."""
        self._exit_stack.close()

    def _load(self) -> result.Result[core.RecoveredState, storage.StorageError]:
        files.create_folder(self._folder)
        try:
            self._exit_stack.enter_context(files.lock(self._folder))
        except BlockingIOError:
            return result.Err(_folder_in_use_error(self._folder))
        files.remove_temporary_files(self._folder)
        if not (self._folder / _IDENTITY).exists():
            outcome = self._initialize()
            if outcome is not None:
                return result.Err(outcome)
        # A process that was killed may have replaced files without syncing their names.
        files.sync_folder(self._folder)
        return self._read()

    def _initialize(self) -> storage.StorageError | None:
        # A folder with a log but no identity has lost files. A new identity must not
        # reuse an old log: it would vote on the basis of a history it does not know.
        existing_names = sorted(p.name for p in self._folder.iterdir())
        if unexpected := [n for n in existing_names if n != files.LOCK_NAME]:
            path = self._folder / _IDENTITY
            reason = f"missing, but the folder contains {unexpected[0]}"
            return storage.StorageError(str(path), 0, reason)
        self._replace_file(_IDENTITY, self._make_identity().encode())
        return None

    def _read(self) -> result.Result[core.RecoveredState, storage.StorageError]:
        payload_by_name: dict[str, bytes | None] = {}
        for name in (_IDENTITY, _HARD_STATE, _SNAPSHOT):
            loaded = self._read_checked_file(name)
            if isinstance(loaded, result.Err):
                return loaded
            payload_by_name[name] = loaded.ok_value
        raw_snapshot = payload_by_name[_SNAPSHOT]
        snapshot = _decode_snapshot(raw_snapshot) if raw_snapshot else None
        entries = self._segments.load(snapshot.last_index if snapshot else 0)
        if isinstance(entries, result.Err):
            return entries
        raw_state = payload_by_name[_HARD_STATE]
        hard_state = effects.HardState(0, None)
        if raw_state:
            hard_state = effects.HardState(**json.loads(raw_state))
        elif snapshot or entries.ok_value:
            path = str(self._folder / _HARD_STATE)
            return result.Err(
                storage.StorageError(path, 0, "missing, but the folder contains a log")
            )
        if self._segments.is_empty and raw_state:
            path = str(self._folder)
            return result.Err(
                storage.StorageError(path, 0, "the log segments are missing")
            )
        self._segments.open()
        identity = (payload_by_name[_IDENTITY] or b"").decode()
        return result.Ok(
            core.RecoveredState(identity, hard_state, snapshot, entries.ok_value)
        )

    def _read_checked_file(
        self, name: str
    ) -> result.Result[bytes | None, storage.StorageError]:
        path = self._folder / name
        if not path.exists():
            return result.Ok(None)
        if name != _SNAPSHOT:
            too_large = storage.too_large_error(path, MAX_SMALL_FILE_BYTES)
            if too_large is not None:
                return result.Err(too_large)
        data = path.read_bytes()
        first_frame = next(records.read_frames(data), None)
        if isinstance(first_frame, result.Ok):
            _, payload = first_frame.ok_value
            if len(data) == records.HEADER_BYTES + len(payload):
                return result.Ok(payload)
        # These files are replaced atomically, so a crash cannot leave them truncated.
        reason = (
            first_frame.err_value.reason
            if isinstance(first_frame, result.Err)
            else "truncated or followed by extra bytes"
        )
        return result.Err(storage.StorageError(str(path), 0, reason))

    def _replace_file(self, name: str, payload: bytes) -> None:
        files.replace_file(self._folder / name, records.frame(payload))


def _folder_in_use_error(folder: pathlib.Path) -> storage.StorageError:
    return storage.StorageError(
        str(folder / files.LOCK_NAME),
        0,
        "another process uses this folder",
        "stop it, or choose another data folder",
    )


def _no_space_error(folder: pathlib.Path, error: OSError) -> storage.StorageError:
    return storage.StorageError(
        str(folder), 0, f"cannot be written ({error.strerror})", "free space"
    )


def _encode_snapshot(snapshot: log.Snapshot) -> bytes:
    header = {
        "last_index": snapshot.last_index,
        "last_term": snapshot.last_term,
        "members": membership.encode(snapshot.members).decode(),
    }
    return json.dumps(header).encode() + b"\n" + snapshot.data


def _decode_snapshot(payload: bytes) -> log.Snapshot:
    line, _, data = payload.partition(b"\n")
    header = json.loads(line)
    members = membership.decode(header["members"].encode())
    return log.Snapshot(header["last_index"], header["last_term"], members, data)
