"""The command `version`."""

from __future__ import annotations

from importlib import metadata

import result

from yuccapitch.cli import reports
from yuccapitch.cli.commands import base

PACKAGE = "yuccapitch-cli"


def package_version() -> str:
    """Return the installed version."""
    try:
        return metadata.version(PACKAGE)
    except metadata.PackageNotFoundError:
        return "unknown (not installed)"


@base.register
class VersionCommand(base.BaseCommand):
    """Prints the version of the command line."""

    name = "version"
    description = "Print the version of the command line."

    def run_command(self) -> base.Outcome:
        """Return the installed version."""
        version = package_version()
        return result.Ok(reports.Report(version, {"version": version}))
