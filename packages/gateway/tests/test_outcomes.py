from __future__ import annotations

import pytest

from yuccapitch.gateway import outcomes


# Guards against a request that ends with an internal error, because another instance
# sent an error whose JSON can't be read.
@pytest.mark.parametrize("body", [b"[" * 100_000, b'{"error": [', b"[]", b"\xff", b""])
def test_parse_error_code_accepts_any_body(body: bytes) -> None:
    assert outcomes.parse_error_code(body) == "no-answer"
