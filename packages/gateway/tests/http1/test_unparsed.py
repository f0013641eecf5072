"""Tests of the received bytes that wait for the requests before them."""

from __future__ import annotations

from yuccapitch.gateway.http1 import unparsed

HEAD = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


def received(*pieces: bytes) -> unparsed.UnparsedBytes:
    waiting = unparsed.UnparsedBytes()
    for piece in pieces:
        waiting.append(piece)
    return waiting


def test_take_ends_with_the_last_head_allowed():
    waiting = received(HEAD * 3 + b"GET")
    assert waiting.take(2, 0) == HEAD * 2
    assert waiting.has_end_of_head
    assert waiting.take(2, 0) == HEAD + b"GET"
    assert not len(waiting)


def test_take_returns_all_if_fewer_heads_end():
    waiting = received(HEAD[:5], HEAD[5:10])
    assert not waiting.has_end_of_head
    assert waiting.take(1, 0) == HEAD[:10]


def test_take_returns_the_least_part_whatever_it_holds():
    waiting = received(HEAD * 3)
    assert waiting.take(0, 30) == (HEAD * 3)[:30]
    assert waiting.take(1, 40) == (HEAD * 3)[30:70]
    assert waiting.take(0, 1000) == (HEAD * 3)[70:]


def test_append_follows_what_was_not_taken():
    waiting = received(HEAD * 2)
    waiting.take(1, 0)
    waiting.append(b"GET")
    assert waiting.take(2, 0) == HEAD + b"GET"


def test_memory_is_freed_once_all_is_taken():
    waiting = received(HEAD * 2)
    waiting.take(1, 0)
    assert waiting.memory_bytes == 2 * len(HEAD)
    waiting.take(1, 0)
    assert waiting.memory_bytes == 0
