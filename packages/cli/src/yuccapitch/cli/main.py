"""The entry point of the `yuccapitch` command."""

from __future__ import annotations

import sys

import cleo.application
from cleo import exceptions
from cleo.io.inputs import argv_input

from yuccapitch.cli import exit_codes
from yuccapitch.cli.commands import (  # noqa: F401 - each module registers commands
    audit,
    base,
    catalogue,
    drain,
    explain,
    keys,
    operations,
    shift,
    version,
)


def application() -> cleo.application.Application:
    """Return the application with all registered commands."""
    app = cleo.application.Application("yuccapitch", version.package_version())
    app.auto_exits(False)
    app.catch_exceptions(False)
    for command_class in base.command_classes:
        app.add(command_class())
    return app


def run(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    argv = sys.argv if arguments is None else ["yuccapitch", *arguments]
    try:
        return application().run(argv_input.ArgvInput(argv))
    except exceptions.CleoError as error:
        print(f"error: {error}\nnext: see 'yuccapitch help'", file=sys.stderr)
        return exit_codes.ExitCode.USAGE
