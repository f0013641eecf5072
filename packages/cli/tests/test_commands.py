from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import runpy
import socket
import sys
import threading
from collections.abc import Callable, Iterator
from typing import Any

import pytest
import yaml
from aiohttp import web

from tests import catalogue_sample, memory_backend
from yuccapitch.catalogue import ids, signing, state
from yuccapitch.cli import exit_codes, main
from yuccapitch.control import operator_api
from yuccapitch.protocol import inner_tls

NOW_S = catalogue_sample.DECEMBER_MS / 1000
Run = Callable[..., tuple[int, str, str]]


@pytest.fixture
def backend() -> memory_backend.MemoryBackend:
    return memory_backend.MemoryBackend(state.CatalogueState(), lambda: NOW_S)


@pytest.fixture
def server(backend: memory_backend.MemoryBackend) -> Iterator[str]:
    with serve(backend) as address:
        yield address


@pytest.fixture
def unreachable_server() -> Iterator[str]:
    """Return an address that is bound but refuses connections."""
    with socket.socket() as bound_socket:
        bound_socket.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{bound_socket.getsockname()[1]}"


@pytest.fixture
def run(server: str, capfd: Any, monkeypatch: pytest.MonkeyPatch) -> Run:
    monkeypatch.setenv("YUCCAPITCH_SERVERS", server)

    def run_command(*arguments: str) -> tuple[int, str, str]:
        code = main.run(list(arguments))
        captured = capfd.readouterr()
        return code, captured.out, captured.err

    return run_command


@pytest.fixture
def folder(tmp_path: pathlib.Path) -> pathlib.Path:
    """Return a directory with the first declaration and both owners' keys."""
    write(tmp_path / "first.yaml", catalogue_sample.plain())
    for owner, key in catalogue_sample.PRIVATE_KEYS_BY_OWNER.items():
        (tmp_path / owner).write_text(key)
        (tmp_path / f"{owner}.pub").write_text(signing.derive_public_key(key))
    return tmp_path


@pytest.fixture
def applied(run: Run, folder: pathlib.Path) -> pathlib.Path:
    """Return the directory after its first declaration was accepted."""
    code, _, err = apply(run, folder / "first.yaml", folder / "amber")
    assert code == 0, err
    return folder


@contextlib.contextmanager
def serve(backend: memory_backend.MemoryBackend) -> Iterator[str]:
    """Serve the operator API on loopback in a separate thread."""
    loop = asyncio.new_event_loop()
    app = web.Application(client_max_size=operator_api.MAX_BODY_BYTES)
    app.add_routes(operator_api.OperatorApi(backend, lambda: NOW_S).routes())

    async def entries(request: web.Request) -> web.Response:
        entry = {"instance": "e1", "url": "http://127.0.0.1:1", "weight": 1}
        return web.json_response({"ttl_s": 5, "entries": [entry]})

    app.router.add_get("/v1/entries", entries)
    runner = web.AppRunner(app)
    loop.run_until_complete(runner.setup())
    site = web.TCPSite(runner, "127.0.0.1", 0)
    loop.run_until_complete(site.start())
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    host, port = runner.addresses[0][:2]
    try:
        yield f"http://{host}:{port}"
    finally:
        asyncio.run_coroutine_threadsafe(runner.cleanup(), loop).result()
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


def write(path: pathlib.Path, data: dict[str, Any]) -> pathlib.Path:
    path.write_text(yaml.safe_dump(data))
    return path


def apply(
    run: Run, file: pathlib.Path, key: pathlib.Path, *extra_arguments: str
) -> Any:
    return run("apply", str(file), "--key", str(key), *extra_arguments)


def with_slots(folder: pathlib.Path, slots: int) -> pathlib.Path:
    data = catalogue_sample.plain()
    data["endpoints"]["bins-1"]["slots"] = slots
    return write(folder / f"slots-{slots}.yaml", data)


def test_apply_without_base_suggests_it(run: Run, applied: pathlib.Path) -> None:
    file = with_slots(applied, 5)
    code, _, err = apply(run, file, applied / "amber")
    assert code == exit_codes.ExitCode.USAGE
    assert "--base 1" in err
    assert apply(run, file, applied / "amber", "--base", "1")[0] == 0


def test_apply_conflict_names_winner(run: Run, applied: pathlib.Path) -> None:
    key = applied / "amber"
    apply(run, with_slots(applied, 5), key, "--base", "1", "--change-id", "won")
    code, _, err = apply(run, with_slots(applied, 6), key, "--base", "1")
    assert code == exit_codes.ExitCode.CONFLICT
    assert "change won of amber won" in err
    assert "slots 4 -> 5" in err


def test_apply_entry_of_another_owner_is_refused(
    run: Run, applied: pathlib.Path
) -> None:
    file = with_slots(applied, 5)
    code, out, _ = apply(run, file, applied / "birch", "--base", "1", "--json")
    assert code == exit_codes.ExitCode.REFUSED
    assert "belongs to 'amber'" in json.loads(out)["details"][0]


def test_apply_resends_after_lost_response(
    run: Run, applied: pathlib.Path, backend: memory_backend.MemoryBackend
) -> None:
    backend.lost_responses = 1
    file = with_slots(applied, 5)
    code, out, _ = apply(run, file, applied / "amber", "--base", "1", "--json")
    assert code == 0
    assert json.loads(out)["version"] == 2
    assert backend.state.version == 2


def test_apply_unknown_outcome_names_change_id(
    run: Run, applied: pathlib.Path, backend: memory_backend.MemoryBackend
) -> None:
    backend.lost_responses = 1000
    file = with_slots(applied, 5)
    extra_arguments = ("--base", "1", "--change-id", "mine")
    code, _, err = apply(
        run, file, applied / "amber", *extra_arguments, "--timeout", "0.3"
    )
    assert code == exit_codes.ExitCode.UNKNOWN_OUTCOME
    assert "--change-id mine --base 1" in err
    backend.lost_responses = 0
    assert apply(run, file, applied / "amber", *extra_arguments)[0] == 0
    assert backend.state.version == 2


def test_apply_wait_names_lagging_instances(
    run: Run, applied: pathlib.Path, backend: memory_backend.MemoryBackend
) -> None:
    backend.lagging = (ids.InstanceId("e1"),)
    extra_arguments = ("--base", "1", "--wait", "--wait-timeout", "0.1")
    code, out, _ = apply(
        run, with_slots(applied, 5), applied / "amber", *extra_arguments
    )
    assert code == exit_codes.ExitCode.NOT_IN_FORCE
    assert "lagging: e1" in out
    backend.lagging = ()
    extra_arguments = ("--base", "2", "--wait")
    code, out, _ = apply(
        run, with_slots(applied, 6), applied / "amber", *extra_arguments
    )
    assert (code, "in force everywhere" in out) == (0, True)


def test_apply_faulty_file_lists_faults(run: Run, folder: pathlib.Path) -> None:
    data = catalogue_sample.plain()
    data["default_region"] = "moon"
    data["shifts"]["s"]["target"] = "moon"
    code, _, err = apply(run, write(folder / "bad.yaml", data), folder / "amber")
    assert code == exit_codes.ExitCode.USAGE
    assert "default_region:" in err
    assert "shifts.s.target:" in err


def test_client_skips_unreachable_server_and_follows_leader(
    run: Run, applied: pathlib.Path, server: str, unreachable_server: str
) -> None:
    follower = memory_backend.MemoryBackend(state.CatalogueState())
    follower.leader = server
    with serve(follower) as follower_address:
        servers = ("--server", unreachable_server, "--server", follower_address)
        code, out, _ = run("get", "--json", *servers)
        assert code == 0
        assert json.loads(out)["version"] == 1
        code, out, _ = run("status", "--json", *servers)
        assert json.loads(out)["consensus_role"] == "leader"


def test_client_without_server_is_unavailable(
    run: Run, unreachable_server: str
) -> None:
    code, _, err = run("get", "--server", unreachable_server, "--timeout", "0.2")
    assert code == exit_codes.ExitCode.UNAVAILABLE
    assert unreachable_server in err


def test_get_output_can_be_applied(
    run: Run, applied: pathlib.Path, backend: memory_backend.MemoryBackend
) -> None:
    file = applied / "got.yaml"
    assert run("get", "--output", str(file))[0] == 0
    assert apply(run, file, applied / "amber", "--base", "1")[0] == 0
    first = backend.state.version_record(ids.Version(1))
    assert first is not None
    assert backend.state.digest == first.digest


def test_plan_history_and_diff(run: Run, applied: pathlib.Path) -> None:
    file, key = with_slots(applied, 5), applied / "amber"
    code, out, _ = run("plan", str(file), "--key", str(key))
    assert (code, "slots 4 -> 5" in out) == (0, True)
    code, _, _ = run("plan", str(file), "--key", str(applied / "birch"))
    assert code == exit_codes.ExitCode.REFUSED
    apply(run, file, key, "--base", "1", "--reason", "more")
    assert "more" in run("history")[1]
    assert "slots 4 -> 5" in run("diff", "1")[1]
    assert run("diff", "2", "2")[1] == "no differences\n"
    assert run("diff", "9")[0] == exit_codes.ExitCode.FAILED


def test_drain_add_and_remove(
    run: Run, applied: pathlib.Path, backend: memory_backend.MemoryBackend
) -> None:
    key = ("--key", str(applied / "amber"))
    assert run("drain", "add", "endpoint", "bins-1", *key, "--reason", "disk")[0] == 0
    assert "disk" in run("drain", "list")[1]
    assert backend.state.version == 2
    assert "nothing to change" in run("drain", "add", "endpoint", "bins-1", *key)[1]
    assert run("drain", "remove", "endpoint", "bins-1", *key)[0] == 0
    assert run("drain", "list")[1] == "none\n"
    shared = run("drain", "add", "region", "north", *key)
    assert shared[0] == exit_codes.ExitCode.REFUSED
    assert run("drain", "add", "rack", "r1", *key)[0] == exit_codes.ExitCode.USAGE


def test_shift_fraction_is_changed_by_the_service_owner(
    run: Run, applied: pathlib.Path, backend: memory_backend.MemoryBackend
) -> None:
    key = ("--key", str(applied / "amber"))
    assert run("shift", "set", "s", "--fraction", "0.5", *key)[0] == 0
    assert "0.5" in run("shift", "list")[1]
    refused = run("shift", "set", "s", "--cap", "99", *key)
    assert refused[0] == exit_codes.ExitCode.REFUSED
    key_of_owner_in_turn = ("--key", str(applied / "birch"))
    assert run("shift", "set", "s", "--cap", "99", *key_of_owner_in_turn)[0] == 0
    code, _, err = run("shift", "set", "new", "--cap", "x", *key_of_owner_in_turn)
    assert code == exit_codes.ExitCode.USAGE
    assert "--service" in err
    assert run("shift", "remove", "s", *key_of_owner_in_turn)[0] == 0


def test_lookup_prints_entries(run: Run) -> None:
    code, out, _ = run("lookup", "bins", "10.0.0.1")
    assert (code, "http://127.0.0.1:1" in out) == (0, True)


def test_audit_export_verifies_with_key_files_only(
    run: Run, applied: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    apply(run, with_slots(applied, 5), applied / "amber", "--base", "1")
    trail = applied / "trail.jsonl"
    code, out, _ = run("audit", "export", str(trail), "--json")
    head = json.loads(out)["head"]
    monkeypatch.delenv("YUCCAPITCH_SERVERS")
    keys = ("--keys", f"amber={applied / 'amber.pub'}", "--head", head)
    assert run("audit", "verify", str(trail), *keys)[0] == 0
    lines = trail.read_text().splitlines(keepends=True)
    trail.write_text(lines[0] + lines[1].replace("slots 4", "slots 3"))
    code, _, err = run("audit", "verify", str(trail), *keys)
    assert (code, "record 2: changed" in err) == (exit_codes.ExitCode.AUDIT_FAULT, True)
    trail.write_text(lines[1])
    code, _, err = run("audit", "verify", str(trail), *keys)
    assert (code, "record 1: missing" in err) == (exit_codes.ExitCode.AUDIT_FAULT, True)


def test_key_new_writes_private_file_once(run: Run, tmp_path: pathlib.Path) -> None:
    path = tmp_path / "key"
    code, out, _ = run("key", "new", str(path), "--json")
    assert code == 0
    assert path.stat().st_mode & 0o777 == 0o600
    public_key = signing.derive_public_key(path.read_text().strip())
    assert json.loads(out)["public_key"] == public_key
    assert run("key", "new", str(path))[0] == exit_codes.ExitCode.USAGE


def test_key_new_inner_creates_usable_tls_certificate(
    run: Run, tmp_path: pathlib.Path
) -> None:
    key = tmp_path / "e1"
    assert run("key", "new", str(key), "--inner", "e1")[0] == 0
    assert key.stat().st_mode & 0o777 == 0o600
    opened = inner_tls.InnerTls.open(tmp_path / "e1.pem", key, tmp_path)
    assert opened.unwrap().trusted_ids() == {"e1"}
    code = run("key", "new", str(tmp_path / "x"), "--inner", "a b")[0]
    assert code == exit_codes.ExitCode.USAGE


def test_module_exits_with_the_commands_code(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sys, "argv", ["yuccapitch", "plan"])
    with pytest.raises(SystemExit) as raised:
        runpy.run_module("yuccapitch.cli", run_name="__main__")
    assert raised.value.code == exit_codes.ExitCode.USAGE


@pytest.mark.parametrize(
    "line", ["nothing", "get --nothing", "plan", "get --timeout x"]
)
def test_wrong_arguments_exit_with_usage(run: Run, line: str) -> None:
    code, _, err = run(*line.split())
    assert code == exit_codes.ExitCode.USAGE
    assert "error:" in err
