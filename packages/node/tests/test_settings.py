"""Tests of settings parsing."""

from __future__ import annotations

import pathlib

import pytest

from yuccapitch.catalogue import ids
from yuccapitch.node import settings, settings_page, settings_table

ROOT = pathlib.Path(__file__).parents[3]


def errors(*argv: str, **environ: str) -> list[str]:
    return [str(error) for error in settings.parse(argv, environ).unwrap_err()]


def test_parse_defaults() -> None:
    parsed = settings.parse([], {}).unwrap()
    assert parsed.role is settings.Role.BOTH
    assert (parsed.http_port, parsed.inner_port) == (8080, 7080)
    assert parsed.allow_unsigned is True
    assert parsed.runs_control and parsed.runs_entry


def test_parse_prefers_flag_over_variable() -> None:
    environ = {"YUCCAPITCH_HTTP_PORT": "1", "YUCCAPITCH_SEED": "7"}
    parsed = settings.parse(["--http-port=2"], environ).unwrap()
    assert (parsed.http_port, parsed.seed) == (2, 7)


def test_parse_peers() -> None:
    text = "control-1=127.0.0.1:7101, control-2=[::1]:7102"
    argv = ["--role=entry", "--control-peers", text]
    parsed = settings.parse(argv, {}).unwrap()
    assert parsed.control_peers == (
        settings.Peer(ids.InstanceId("control-1"), "127.0.0.1", 7101),
        settings.Peer(ids.InstanceId("control-2"), "::1", 7102),
    )
    assert parsed.allow_unsigned is False


def test_parse_switch() -> None:
    peers = "--control-peers=local=127.0.0.1:7080"
    assert settings.parse(["--allow-unsigned", peers], {}).unwrap().allow_unsigned
    parsed = settings.parse(["--allow-unsigned=false"], {}).unwrap()
    assert parsed.allow_unsigned is False


def test_parse_reports_all_errors() -> None:
    found = errors(
        "--http-port=x",
        "--lease-duration-s",
        "--tls-cert=/nonexistent",
        "--roll=entry",
        YUCCAPITCH_ROLE="king",
        YUCCAPITCH_RENEW_INTERVAL_S="-1",
        YUCCAPITCH_HEARTBEAT_INTERVAL_S="9",
    )
    text = "\n".join(found)
    for row in settings_table.rows():
        if row.name in ("http_port", "lease_duration_s", "role", "renew_interval_s"):
            assert f"{row.flag} / {row.variable}" in text
            assert f"give {row.value_description}" in text
    assert "did you mean --role?" in text
    assert "at least two heartbeats" in text
    # Six arguments are invalid, and the heartbeat interval breaks two rules.
    assert len(found) == 8


@pytest.mark.parametrize(
    ("argv", "fix"),
    [
        (["--role=entry"], "at least one control instance"),
        (["--control-peers=a=127.0.0.1:1"], "add local=host:port"),
        (["--control-peers=local=127.0.0.1:1,local=127.0.0.1:2"], "name local only"),
        (["--control-peers=local=somewhere:1"], "hosts as IP addresses"),
        (["--control-peers=local=127.0.0.1:0"], "outside 1 to 65535"),
        (["--renew-interval-s=3"], "renew at least twice"),
        (["--inner-port=8080"], "two different ports"),
        (["--data-dir", __file__], "is a file"),
        (["--tls-cert", __file__], "give all three"),
        (["--http-host=localhost"], "an IP address"),
        (["--lease-duration-s=nan"], "a number above 0"),
    ],
)
def test_parse_reports_error_with_flag_and_variable(argv: list[str], fix: str) -> None:
    (error,) = errors(*argv)
    assert fix in error
    assert "YUCCAPITCH_" in error and "--" in error


def test_load_exit_code(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as stopped:
        settings.load(["--role=x", "--seed=y"], {})
    assert stopped.value.code == settings.EXIT_BAD_SETTINGS
    printed = capsys.readouterr().err
    assert "--role" in printed and "--seed" in printed


def test_help_names_every_setting(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as stopped:
        settings.load(["--help"], {})
    assert stopped.value.code == 0
    printed = capsys.readouterr().out
    for row in settings_table.rows():
        assert row.flag in printed and row.variable in printed


def test_unknown_variables() -> None:
    environ = {"YUCCAPITCH_DATADIR": "x", "YUCCAPITCH_DATA_DIR": "y", "PATH": ""}
    assert settings.unknown_variables(environ) == ["YUCCAPITCH_DATADIR"]


def test_settings_page_is_up_to_date() -> None:
    page = ROOT / "docs" / "reference" / "settings.md"
    assert page.read_text() == settings_page.text()
