from __future__ import annotations

import subprocess
import sys

import pytest
import result

from yuccapitch.protocol import (
    claim_messages,
    codec,
    consensus_messages,
    node_messages,
    registry,
    subscription_messages,
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


def forged(message_type: type, field: bytes) -> bytes:
    number = registry.NUMBERS_BY_TYPE[message_type]
    return number.to_bytes(2, "big") + field


def run_decode(data: bytes) -> str:
    """Decode in a process that is ended if it takes too much memory or work."""
    script = """
import pathlib, resource, sys
from yuccapitch.protocol import codec, node_messages, subscription_messages

def peak_kilobytes():
    status = pathlib.Path("/proc/self/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0])

resource.setrlimit(resource.RLIMIT_CPU, (5, 5))
resource.setrlimit(resource.RLIMIT_AS, (4 << 30, 4 << 30))
data = bytes.fromhex(sys.stdin.read())
before = peak_kilobytes()
decoded = codec.decode(data)
grown = peak_kilobytes() - before
print(type(decoded).__name__, "small" if grown < 65536 else f"{grown} KB")
"""
    ended = subprocess.run(
        [sys.executable, "-c", script],
        input=data.hex(),
        capture_output=True,
        text=True,
        check=False,
    )
    return ended.stdout.strip() or f"ended by {ended.returncode}"


# Guards against an instance that anyone who reaches its inner port ends by a frame of a
# few bytes, whose lengths claim values that are not there.
@pytest.mark.parametrize(
    "data",
    [
        forged(node_messages.Hello, b"\x0b\x00\x01" + (10**9).to_bytes(4, "big")),
        forged(
            subscription_messages.InstanceList,
            b"\x0f\x00\x01\x0c" + (2**31 - 1).to_bytes(4, "big"),
        ),
        forged(
            subscription_messages.InstanceList,
            b"\x0f\x00\x01\x01" + (2**31 - 1).to_bytes(4, "big") + b"\x00",
        ),
        forged(
            subscription_messages.InstanceList,
            b"\x0f\x00\x01\x0c" + (10**6).to_bytes(4, "big") + bytes(10**6) + b"\x00",
        ),
        forged(node_messages.Hello, b"\x0c\x00\x09" * 1000),
    ],
    ids=["string", "structs", "nothing", "empty structs", "nesting"],
)
def test_codec_bounds_the_memory_and_work_of_claimed_lengths(data: bytes) -> None:
    assert run_decode(data) == "Err small"


def test_codec_truncated_message_is_an_error() -> None:
    entry = consensus_messages.LogEntry(1, 2, 1, b"\xff\x00")
    message = consensus_messages.AppendRequest(3, "a", "b", 0, 0, (entry, entry), 7, 9)
    encoded = codec.encode(message)
    for length in range(2, len(encoded)):
        assert isinstance(codec.decode(encoded[:length]), result.Err)


def test_codec_longest_list_of_endpoints_round_trips() -> None:
    record = subscription_messages.EndpointRecord(
        "e-1", "orders", "10.0.0.1", 80, "north-a", 8, False, 0, 1, "north"
    )
    message = subscription_messages.EndpointList((record,) * 20_000)
    assert codec.decode(codec.encode(message)) == result.Ok(message)
