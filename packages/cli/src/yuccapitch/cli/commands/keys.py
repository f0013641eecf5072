"""key new."""

from __future__ import annotations

import os
from typing import ClassVar

import result
from cleo import helpers
from cleo.io.inputs import argument as cleo_argument, option as cleo_option

from yuccapitch.catalogue import signing
from yuccapitch.cli import exit_codes, reports
from yuccapitch.cli.commands import base

PRIVATE_MODE = 0o600
PUBLIC_MODE = 0o644


@base.register
class KeyNewCommand(base.BaseCommand):
    """Makes an operator's key pair."""

    name = "key new"
    description = "Make an operator's key: FILE (private) and FILE.pub."
    arguments: ClassVar[list[cleo_argument.Argument]] = [
        helpers.argument("file", "File for the private key.")
    ]
    options: ClassVar[list[cleo_option.Option]] = [
        *base.BaseCommand.options,
        helpers.option(
            "inner",
            description="Make an instance's key for the inner links instead.",
            flag=False,
        ),
    ]

    def run_command(self) -> base.Outcome:
        """Write both files, never over existing ones."""
        if self.option("inner"):
            return result.Err(
                reports.CommandError(
                    exit_codes.ExitCode.FAILED,
                    "keys for the inner links cannot be made by this version",
                    "make the instance's key and certificate with another tool",
                )
            )
        path = self.argument("file")
        private_key = signing.generate_private_key()
        public_key = signing.public_key_of(private_key)
        try:
            _write_new(path, private_key, PRIVATE_MODE)
            _write_new(f"{path}.pub", public_key, PUBLIC_MODE)
        except FileExistsError as error:
            return result.Err(
                reports.usage_error(
                    f"{error.filename} exists already",
                    "choose another name; keys are never overwritten",
                )
            )
        except OSError as error:
            return result.Err(reports.usage_error(f"cannot write the key: {error}"))
        text = (
            f"wrote {path} and {path}.pub\npublic key: {public_key}\n"
            "next: add the public key to your owner's public_keys in the declaration"
        )
        data = {"private_key_file": path, "public_key": public_key}
        return result.Ok(reports.Report(text, data))


def _write_new(path: str, text: str, mode: int) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode)
    with os.fdopen(descriptor, "w", encoding="ascii") as file:
        file.write(f"{text}\n")
        file.flush()
        os.fsync(descriptor)
