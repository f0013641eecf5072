"""The command `key new`."""

from __future__ import annotations

import os
import time
from typing import ClassVar

import result
from cleo import helpers
from cleo.io.inputs import argument as cleo_argument, option as cleo_option

from yuccapitch.catalogue import signing, validation
from yuccapitch.cli import reports
from yuccapitch.cli.commands import base
from yuccapitch.protocol import inner_tls

PRIVATE_MODE = 0o600
PUBLIC_MODE = 0o644


@base.register
class KeyNewCommand(base.BaseCommand):
    """Creates an operator's key pair, or an instance's key and certificate."""

    name = "key new"
    description = "Create an operator's key: FILE (private) and FILE.pub (public)."
    arguments: ClassVar[list[cleo_argument.Argument]] = [
        helpers.argument("file", "File for the private key.")
    ]
    options: ClassVar[list[cleo_option.Option]] = [
        *base.BaseCommand.options,
        helpers.option(
            "inner",
            description="Instance id; create the inner TLS key FILE and certificate"
            " FILE.pem instead.",
            flag=False,
        ),
    ]

    def run_command(self) -> base.Outcome:
        """Write both files; never overwrite existing ones."""
        path = self.argument("file")
        instance_id = self.option("inner")
        try:
            if instance_id:
                return _new_inner_key(path, instance_id)
            return _new_operator_key(path)
        except FileExistsError as error:
            return result.Err(
                reports.usage_error(
                    f"{error.filename} already exists",
                    "choose another file name; keys are never overwritten",
                )
            )
        except OSError as error:
            return result.Err(reports.usage_error(f"cannot write the key: {error}"))


def _new_operator_key(path: str) -> base.Outcome:
    private_key = signing.generate_private_key()
    public_key = signing.derive_public_key(private_key)
    _write_new_file(path, f"{private_key}\n", PRIVATE_MODE)
    _write_new_file(f"{path}.pub", f"{public_key}\n", PUBLIC_MODE)
    text = (
        f"wrote {path} and {path}.pub\npublic key: {public_key}\n"
        "next: add the public key to your owner's public_keys in the declaration"
    )
    data = {"private_key_file": path, "public_key": public_key}
    return result.Ok(reports.Report(text, data))


def _new_inner_key(path: str, instance_id: str) -> base.Outcome:
    if not validation.ID_PATTERN.match(instance_id):
        return result.Err(reports.usage_error(f"{instance_id!r} is not an instance id"))
    identity = inner_tls.create_identity(instance_id, time.time())
    certificate = f"{path}.pem"
    _write_new_file(path, identity.key_pem.decode("ascii"), PRIVATE_MODE)
    _write_new_file(certificate, identity.certificate_pem.decode("ascii"), PUBLIC_MODE)
    text = (
        f"wrote {path} and {certificate} for instance {instance_id}\n"
        f"next: start it with --tls-key {path} --tls-cert {certificate}, and copy"
        f" {certificate} into its peers' --tls-trust-dir"
    )
    data = {"private_key_file": path, "certificate_file": certificate}
    return result.Ok(reports.Report(text, data))


def _write_new_file(path: str, text: str, mode: int) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode)
    with os.fdopen(descriptor, "w", encoding="ascii") as file:
        file.write(text)
        file.flush()
        os.fsync(descriptor)
