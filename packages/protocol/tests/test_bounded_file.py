from __future__ import annotations

import pathlib

import pytest

from yuccapitch.protocol import bounded_file


def test_read_returns_a_file_up_to_the_limit(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "file"
    path.write_bytes(b"x" * 1000)
    assert bounded_file.read(path, 1000) == b"x" * 1000


@pytest.mark.parametrize("path", [pathlib.Path("/dev/zero"), pathlib.Path(__file__)])
def test_read_names_a_file_above_the_limit(path: pathlib.Path) -> None:
    with pytest.raises(OSError, match="larger than 100 bytes.*" + path.name):
        bounded_file.read(path, 100)
