from __future__ import annotations

import hypothesis
import result
from hypothesis import strategies as st

from yuccapitch.protocol import frames


@hypothesis.given(st.binary(max_size=40), st.data())
def test_frames_changed_or_missing_byte_is_detected(
    payload: bytes, data: st.DataObject
) -> None:
    """Only complete, unmodified frames reach the decoder, which does not check them."""
    frame = bytearray(frames.pack(frames.Kind.REQUEST, 7, payload))
    position = data.draw(st.integers(0, len(frame) - 1))
    frame[position] ^= data.draw(st.integers(1, 255))
    unpacked = frames.unpack_header(bytes(frame[: frames.HEADER_BYTES]))
    if isinstance(unpacked, result.Err):
        return
    header = unpacked.ok_value
    body = bytes(frame[frames.HEADER_BYTES :])
    assert header.length != len(body) or not frames.is_intact(header, body)


def test_frames_oversized_length_is_refused() -> None:
    frame = frames.pack(frames.Kind.REQUEST, 7, b"")
    forged = frame[:12] + (2**32 - 1).to_bytes(4, "big") + frame[16:]
    assert isinstance(frames.unpack_header(forged), result.Err)
