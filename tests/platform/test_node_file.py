"""Tests of decoding the settings file that the platform writes."""

from __future__ import annotations

import pathlib
import tomllib
import tracemalloc

import pytest

from yuccapitch.gateway.front import routing_state
from yuccapitch.gateway.http1 import memory_budget
from yuccapitch.platform import node_file, startup, units

TEXT = """
nodeId = "control-north-a-1"
ip = "10.1.0.14"
zone = "north-a"
region = "north"
internalPortRange = [7660,7675]
seeds = ["10.1.0.14:8146","10.2.0.24:8146"]
bootstrap = true
dataDir = "/data/control"
[zones]
north-a = "north"
[listen]
control = "10.1.0.14:8146"
[bounds]
grace = "6s"
retryBudgetRatio = 0.2
budgetWindow = "10s"
retryBudgetSlack = 62
ttl_max = "5s"
[cloudApi]
address = "10.200.0.4:8142"
"""


def test_read_decodes_the_file(tmp_path: pathlib.Path):
    path = tmp_path / "local.toml"
    path.write_text(TEXT)
    platform_settings = node_file.read(path).unwrap()
    routed = platform_settings.routed
    assert routed.instance_id == "10.1.0.14:7660"
    assert routed.seed_ids == ("10.1.0.14:7660", "10.2.0.24:7660")
    assert routed.is_bootstrap
    assert routed.data_dir == pathlib.Path("/data/control")
    assert routed.operator_address is not None and routed.operator_address.port == 8146
    assert routed.caller_address is None
    assert platform_settings.list_address == ("10.200.0.4", 8142)


def test_decode_reads_the_rate_of_list_calls():
    fields = tomllib.loads(TEXT)
    assert node_file.decode(fields).unwrap().max_list_calls_per_s == float("inf")
    fields["cloudApi"]["ratePerS"] = 52.0
    assert node_file.decode(fields).unwrap().max_list_calls_per_s == 52.0


@pytest.mark.parametrize(
    ("line", "seconds"),
    [("", routing_state.DEFAULT_ORDER_APPLY_LIMIT_S), ('configApply = "3000ms"', 3.0)],
)
def test_read_decodes_the_limit_on_applying_orders(tmp_path, line, seconds):
    path = tmp_path / "local.toml"
    path.write_text(TEXT.replace("[bounds]", f"[bounds]\n{line}"))
    assert node_file.read(path).unwrap().routed.order_apply_limit_s == seconds


def test_read_rejects_a_malformed_limit_on_applying_orders(tmp_path):
    path = tmp_path / "local.toml"
    path.write_text(TEXT.replace("[bounds]", "[bounds]\nconfigApply = 3"))
    assert "configApply" in node_file.read(path).unwrap_err()


def test_decode_reads_the_memory_of_a_process():
    fields = tomllib.loads(TEXT)
    default = memory_budget.DEFAULT_MEMORY_LIMIT_BYTES
    assert node_file.decode(fields).unwrap().routed.memory_limit_bytes == default
    fields["limits"] = {"memoryMb": 300}
    assert node_file.decode(fields).unwrap().routed.memory_limit_bytes == 300_000_000


@pytest.mark.parametrize("value", [0, -1, "300", True, 10**400, float("nan")])
def test_decode_rejects_an_unusable_limit_on_memory(value):
    fields = tomllib.loads(TEXT) | {"limits": {"memoryMb": value}}
    assert "limits.memoryMb" in node_file.decode(fields).unwrap_err()


def test_read_reports_all_errors(tmp_path: pathlib.Path):
    path = tmp_path / "local.toml"
    path.write_text(
        TEXT.replace('"6s"', '"six"')
        .replace("[7660,7675]", "7660")
        .replace("retryBudgetSlack = 62", "")
        .replace('address = "10.200.0.4:8142"', "")
    )
    reason = node_file.read(path).unwrap_err()
    for name in ("grace", "internalPortRange", "retryBudgetSlack", "cloudApi.address"):
        assert name in reason


# Guards against a process that ends because it read settings that were being written.
def test_startup_reads_a_file_that_is_being_written_again(tmp_path, monkeypatch):
    path = tmp_path / "local.toml"
    path.write_text("")
    monkeypatch.setattr(startup.time, "sleep", lambda delay_s: path.write_text(TEXT))
    assert startup._read_settings(path).is_ok()


def test_startup_gives_up_on_settings_that_stay_invalid(tmp_path, monkeypatch):
    path = tmp_path / "local.toml"
    path.write_text("")
    delays: list[float] = []
    monkeypatch.setattr(startup.time, "sleep", delays.append)
    assert startup._read_settings(path).is_err()
    assert len(delays) == startup.READ_ATTEMPTS - 1


# Guards against an instance that keeps its former seeds because they were replaced
# between the reading of its settings and the first check for changes.
async def test_startup_applies_settings_that_change_during_the_start(
    tmp_path, monkeypatch
):
    path = tmp_path / "local.toml"
    path.write_text(TEXT)
    loaded = node_file.read(path).unwrap()
    path.write_text(TEXT.replace("10.2.0.24", "10.2.0.99"))
    checks = []

    async def run(role, routed, platform_adapter, read_changed_settings) -> int:
        checks.extend(read_changed_settings(False) for _ in range(2))
        return 0

    monkeypatch.setattr(startup.process, "run", run)
    await startup._run("control", path, loaded, 0.0)
    assert checks[0].unwrap().seed_ids == ("10.1.0.14:7660", "10.2.0.99:7660")
    assert checks[1] is None


def test_settings_are_not_reported_as_changed_after_the_start(tmp_path):
    path = tmp_path / "local.toml"
    path.write_text(TEXT)
    watched = startup._WatchedSettingsFile(path, node_file.read(path).unwrap().routed)
    assert watched.read_changed_settings(False) is None
    assert watched.read_changed_settings(True).is_ok()


# Guards against an instance that ends because of a value in its changed settings that
# raises an exception instead of being refused.
@pytest.mark.parametrize(
    ("valid", "malformed"),
    [
        ('dataDir = "/data/control"', "dataDir = 5"),
        ("[7660,7675]", "[99999,7675]"),
        ("[7660,7675]", "[-1,7675]"),
        ("retryBudgetSlack = 62", "retryBudgetSlack = 1" + "0" * 400),
        ('"10.2.0.24:8146"', "[" * 5000 + "]" * 5000),
        ('"10.2.0.24:8146"', "1e400"),
        ("[cloudApi]", f"[limits]\nlinkMbps = 1{'0' * 400}\n[cloudApi]"),
    ],
)
def test_read_refuses_malformed_values(tmp_path, valid, malformed):
    path = tmp_path / "local.toml"
    path.write_text(TEXT.replace(valid, malformed))
    assert node_file.read(path).is_err()


# Guards against an instance that takes settings that are being written for complete.
def test_read_refuses_settings_that_are_cut_short(tmp_path):
    path = tmp_path / "local.toml"
    for length in range(len(TEXT) - 1):
        path.write_text(TEXT[:length])
        assert node_file.read(path).is_err(), TEXT[:length]


@pytest.mark.parametrize(
    ("seeds", "hosts"),
    [("", ()), ('"a:1", "a:1"', ("a", "a")), ('"10.1.0.14:8146"', ("10.1.0.14",))],
)
def test_read_accepts_any_number_of_seeds(tmp_path, seeds, hosts):
    path = tmp_path / "local.toml"
    path.write_text(TEXT.replace('["10.1.0.14:8146","10.2.0.24:8146"]', f"[{seeds}]"))
    seed_ids = node_file.read(path).unwrap().routed.seed_ids
    assert seed_ids == tuple(f"{host}:7660" for host in hosts)


def test_read_names_the_variable_of_a_missing_file(tmp_path: pathlib.Path):
    reason = node_file.read(tmp_path / "none").unwrap_err()
    assert node_file.NODE_FILE_VARIABLE in reason


@pytest.mark.parametrize(
    ("text", "seconds"), [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0)]
)
def test_parse_duration_s_returns_seconds(text, seconds):
    assert units.parse_duration_s(text) == pytest.approx(seconds)


@pytest.mark.parametrize("value", ["", "5", "5m", "-1s", 5, None, "s"])
def test_parse_duration_s_rejects_malformed_durations(value):
    assert units.parse_duration_s(value) is None


def test_read_applies_the_link_bandwidth(tmp_path: pathlib.Path):
    path = tmp_path / "local.toml"
    path.write_text(TEXT)
    assert node_file.read(path).unwrap().routed.link_bits_per_s == float("inf")
    path.write_text(TEXT + "[limits]\nlinkMbps = 2.45\n")
    assert node_file.read(path).unwrap().routed.link_bits_per_s == 2_450_000
    path.write_text(TEXT + "[limits]\nlinkMbps = 0\n")
    assert "limits.linkMbps must be" in node_file.read(path).unwrap_err()


# Guards against an instance that ends because its settings file has values of other
# types, or can't be read for a moment.
@pytest.mark.parametrize(
    ("former", "changed", "named"),
    [
        ('dataDir = "/data/control"', "dataDir = 7", "dataDir"),
        ("retryBudgetSlack = 62", f"retryBudgetSlack = 1{'0' * 400}", "Slack"),
        ('region = "north"', f"region = {'[' * 5000}{']' * 5000}", "cannot be read"),
        ('seeds = ["10.1.0.14:8146",', "seeds = [7,", "seeds"),
        ('region = "north"', 'region = "\udcff"', "cannot be read"),
    ],
)
def test_read_reports_values_that_cannot_be_decoded(tmp_path, former, changed, named):
    path = tmp_path / "local.toml"
    assert former in TEXT
    text = TEXT.replace(former, changed)
    path.write_text(text, errors="surrogateescape")
    assert named in node_file.read(path).unwrap_err()


def test_watched_settings_survive_a_file_that_is_missing_at_the_start(tmp_path):
    path = tmp_path / "local.toml"
    path.write_text(TEXT)
    applied = node_file.read(path).unwrap().routed
    path.unlink()
    watched = startup._WatchedSettingsFile(path, applied)
    assert watched.read_changed_settings(False).is_err()
    path.write_text(TEXT.replace("10.2.0.24", "10.2.0.99"))
    changed = watched.read_changed_settings(False).unwrap()
    assert changed.seed_ids == ("10.1.0.14:7660", "10.2.0.99:7660")
    assert watched.read_changed_settings(False) is None


# Guards against an instance that ends because its settings file has grown, or is not
# one.
def test_read_bounds_the_size_of_the_file(tmp_path):
    path = tmp_path / "local.toml"
    path.write_text(TEXT)
    applied = node_file.read(path).unwrap().routed
    with open(path, "a") as file:
        file.write("# " + "x" * (64 * 1024 * 1024))
    watched = startup._WatchedSettingsFile(path, applied)
    tracemalloc.start()
    try:
        outcomes = [node_file.read(path), watched.read_changed_settings(False)]
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    for outcome in outcomes:
        assert "larger than 262144 bytes" in outcome.unwrap_err()
        assert "local.toml" in outcome.unwrap_err()
    assert peak_bytes < 1024 * 1024
