"""Tests that files, modules, tests and commands named in the docs exist."""

from __future__ import annotations

import pathlib
import re
import shlex

import pytest
from cleo.io.inputs import argv_input

from yuccapitch.cli import main
from yuccapitch.cli.commands import base

ROOT = pathlib.Path(__file__).parents[1]
PAGES = sorted(
    [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md"), *ROOT.glob("examples/**/*.md")]
)
LINK = re.compile(r"\]\(([^)#:]+)\)")
PATH = re.compile(
    r"(?<![\w/.-])((?:examples|docs|tests|bench|packages|changelog\.d|\.ci)/[\w./*-]+)"
)
MODULE = re.compile(r"python -m ((?:tests|bench|yuccapitch)[\w.]*)")
SHELL_BLOCK = re.compile(r"```sh\n(.*?)```", re.DOTALL)
INLINE_COMMAND = re.compile(r"`(yuccapitch [^`]+)`")
COMMAND = re.compile(r"(?:^|\$\()(yuccapitch [^|)<>\n]+)", re.MULTILINE)
TEST_NAME = re.compile(r"`(test_\w+(?:\.py)?)`")
NOT_COMMANDS = {"yuccapitch change v1"}
"""The domain separator of signatures, which looks like a command."""
PLACEHOLDER = re.compile(r"^[A-Z][A-Z-]*$|^\[|^\.\.\.$")


def page_id(page: pathlib.Path) -> str:
    return str(page.relative_to(ROOT))


def commands_of(text: str) -> list[str]:
    found = [
        item for block in SHELL_BLOCK.findall(text) for item in COMMAND.findall(block)
    ]
    return [
        item
        for item in found + INLINE_COMMAND.findall(text)
        if item not in NOT_COMMANDS
    ]


@pytest.mark.parametrize("page", PAGES, ids=page_id)
def test_pages_name_existing_files(page: pathlib.Path) -> None:
    text = page.read_text()
    missing = [
        target for target in LINK.findall(text) if not (page.parent / target).exists()
    ]
    for path in PATH.findall(text):
        path = path.rstrip(".")
        if not any(ROOT.glob(path)) and "NAME" not in path:
            missing.append(path)
    assert missing == []


@pytest.mark.parametrize("page", PAGES, ids=page_id)
def test_pages_name_existing_modules(page: pathlib.Path) -> None:
    missing = []
    for name in MODULE.findall(page.read_text()):
        path = pathlib.Path(*name.rstrip(".").split("."))
        roots = [ROOT, *ROOT.glob("packages/*/src")]
        found = any(
            (root / path).is_dir() or (root / path).with_suffix(".py").exists()
            for root in roots
        )
        if not found:
            missing.append(name)
    assert missing == []


@pytest.mark.parametrize("page", PAGES, ids=page_id)
def test_pages_name_existing_tests(page: pathlib.Path) -> None:
    files = [
        *ROOT.glob("tests/**/test_*.py"),
        *ROOT.glob("packages/*/tests/**/test_*.py"),
    ]
    known = {path.name for path in files} | {path.stem for path in files}
    for path in files:
        known.update(re.findall(r"def (test_\w+)", path.read_text()))
    assert set(TEST_NAME.findall(page.read_text())) - known == set()


@pytest.mark.parametrize("page", PAGES, ids=page_id)
def test_pages_commands_parse(page: pathlib.Path) -> None:
    for line in commands_of(page.read_text()):
        words = shlex.split(line.rstrip(" ;&"), comments=True)
        is_bare_name = named_command(words[1:]) is not None and len(words) <= 3
        has_placeholder = any(PLACEHOLDER.match(word) for word in words)
        if has_placeholder or (is_bare_name and f"`{line}`" in page.read_text()):
            # A bare command name or a usage line with placeholders has no arguments
            # to parse, so only the command itself is checked.
            words = [word for word in words if word.islower() and word[0] != "-"]
            assert named_command(words[1:]) is not None, line
        else:
            parse(words)


def test_pages_commands_are_found() -> None:
    assert len(commands_of((ROOT / "README.md").read_text())) >= 3
    assert len(commands_of((ROOT / "docs/tutorial.md").read_text())) >= 8


def test_parse_rejects_unknown_commands_and_options() -> None:
    with pytest.raises(AssertionError):
        parse(["yuccapitch", "drian", "add", "endpoint", "shop-1"])
    with pytest.raises(Exception, match="nosuch"):
        parse(["yuccapitch", "status", "--nosuch"])


def named_command(words: list[str]) -> base.BaseCommand | None:
    """Return the command whose name is a prefix of the words."""
    app = main.application()
    for count in (2, 1):
        name = " ".join(words[:count])
        if len(words) >= count and app.has(name):
            return app.get(name)  # type: ignore[return-value]
    return None


def parse(words: list[str]) -> None:
    """Validate a command line against the definition of its command."""
    command = named_command(words[1:])
    assert command is not None, words
    command.merge_application_definition()
    rest = words[1 + len((command.name or "").split()) :]
    parsed_input = argv_input.ArgvInput(["yuccapitch", "command", *rest])
    parsed_input.bind(command.definition)
    parsed_input.validate()
