"""Base classes of all commands: options, environment variables and output."""

from __future__ import annotations

import abc
import asyncio
import math
import os
import sys
from collections.abc import Mapping
from typing import ClassVar, TypeVar

import result
from cleo import helpers
from cleo.commands import command
from cleo.io.inputs import option as cleo_option
from cleo.io.outputs import output

from yuccapitch.cli import client, reports

DEFAULT_SERVER = "http://127.0.0.1:8080"
DEFAULT_TIMEOUT_S = 30.0

Outcome = result.Result[reports.Report, reports.CommandError]
CommandClass = TypeVar("CommandClass", bound="type[BaseCommand]")

command_classes: list[type[BaseCommand]] = []


def register(command_class: CommandClass) -> CommandClass:
    """Register a command class."""
    command_classes.append(command_class)
    return command_class


JSON_OPTION = helpers.option("json", description="Print JSON output.")
SERVER_OPTIONS = [
    helpers.option(
        "server",
        "s",
        "Address of any instance; may be repeated"
        f" [YUCCAPITCH_SERVERS, comma-separated; default {DEFAULT_SERVER}].",
        flag=False,
        multiple=True,
    ),
    helpers.option(
        "timeout",
        description=f"Seconds to wait for a response; default {DEFAULT_TIMEOUT_S:g}.",
        flag=False,
    ),
    helpers.option(
        "ca-file",
        description="CA certificates for verifying https servers"
        " [YUCCAPITCH_CA_FILE].",
        flag=False,
    ),
]


class BaseCommand(command.Command):
    """A command that returns a report or an error instead of raising."""

    options: ClassVar[list[cleo_option.Option]] = [JSON_OPTION]
    environment: Mapping[str, str] = os.environ

    def handle(self) -> int:
        """Run the command and print its outcome."""
        outcome = self.run_command()
        as_json = bool(self.option("json"))
        if isinstance(outcome, result.Err):
            error = outcome.err_value
            if as_json:
                self._print(reports.to_json(error.to_data()))
            else:
                self.io.write_error_line(error.to_text(), type=output.Type.RAW)
            return error.exit_code
        report = outcome.ok_value
        text = reports.to_json(report.data) if as_json else report.text
        if text:
            self._print(text)
        return report.exit_code

    @abc.abstractmethod
    def run_command(self) -> Outcome:
        """Execute the command."""

    def setting(self, option_name: str, variable: str) -> str | None:
        """Return the value of an option, or else of an environment variable."""
        value = self.option(option_name)
        return str(value) if value else self.environment.get(variable) or None

    def number(self, option_name: str) -> result.Result[float | None, str]:
        """Return the value of a numeric option; None if it is not set."""
        value = self.option(option_name)
        if value is None:
            return result.Ok(None)
        try:
            number = float(value)
        except ValueError:
            return result.Err(f"--{option_name} {value!r} is not a number")
        if not (number > 0 and math.isfinite(number)):
            return result.Err(
                f"--{option_name} {value!r} is not a positive finite number"
            )
        return result.Ok(number)

    def confirm_interactively(self, question: str) -> bool:
        """Ask for confirmation; return False without an interactive terminal."""
        if not (sys.stdin.isatty() and self.io.is_interactive()):
            return False
        return self.confirm(question)

    def _print(self, text: str) -> None:
        self.io.write_line(text, type=output.Type.RAW)


class ServerCommand(BaseCommand):
    """A command that sends requests to the instances."""

    options: ClassVar[list[cleo_option.Option]] = [JSON_OPTION, *SERVER_OPTIONS]

    def run_command(self) -> Outcome:
        """Run the command with a client in one event loop."""
        timeout = self.number("timeout")
        if isinstance(timeout, result.Err):
            return result.Err(reports.usage_error(timeout.err_value))
        tls = client.load_ca_certificates(self.setting("ca-file", "YUCCAPITCH_CA_FILE"))
        if isinstance(tls, result.Err):
            return tls
        connection = client.Connection(
            servers=self._servers(),
            timeout_s=timeout.ok_value or DEFAULT_TIMEOUT_S,
            tls=tls.ok_value,
        )
        return asyncio.run(self._run_connected(connection))

    @abc.abstractmethod
    async def run_with_client(self, operator: client.OperatorClient) -> Outcome:
        """Execute the command with a connected client."""

    async def _run_connected(self, connection: client.Connection) -> Outcome:
        async with client.connect(connection) as operator:
            return await self.run_with_client(operator)

    def _servers(self) -> tuple[str, ...]:
        server_option = self.option("server")
        if not server_option:
            server_option = self.environment.get("YUCCAPITCH_SERVERS", "").split(",")
        servers = tuple(server.strip() for server in server_option if server.strip())
        return tuple(
            server if "://" in server else f"http://{server}"
            for server in servers or (DEFAULT_SERVER,)
        )
