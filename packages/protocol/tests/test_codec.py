from __future__ import annotations

import result

from yuccapitch.protocol import (
    claim_messages,
    codec,
    consensus_messages,
    node_messages,
    registry,
)


def test_codec_nested_message_round_trips() -> None:
    entry = consensus_messages.LogEntry(1, 2, 1, b"\xff\x00")
    message = consensus_messages.AppendRequest(3, "a", "b", 0, 0, (entry, entry), 7, 9)
    assert codec.decode(codec.encode(message)) == result.Ok(message)


def test_codec_absent_optional_field_round_trips() -> None:
    message = claim_messages.ClaimReply(
        "k", 1, "c", "h", "granted", "none", 0, "", None
    )
    assert codec.decode(codec.encode(message)) == result.Ok(message)


def test_codec_empty_bytes_round_trip() -> None:
    answer = claim_messages.StoredResponse(200, "text/plain", b"")
    message = claim_messages.CompletionNotice("k", 1, "c", answer)
    assert codec.decode(codec.encode(message)) == result.Ok(message)


def test_codec_missing_field_is_an_error() -> None:
    number = codec.encode(node_messages.Hello("entry-1"))[:2]
    assert isinstance(codec.decode(number + b"\x00"), result.Err)


def test_codec_unknown_number_is_an_error() -> None:
    assert isinstance(codec.decode(b"\xff\xff"), result.Err)


def test_registry_numbers_are_unique() -> None:
    assert len(registry.TYPES_BY_NUMBER) == len(registry.NUMBERS_BY_TYPE)
