"""The commands `audit export` and `audit verify`."""

from __future__ import annotations

import pathlib
from typing import ClassVar

import result
from cleo import helpers
from cleo.io.inputs import argument as cleo_argument, option as cleo_option

from yuccapitch.catalogue import api, audit, ids, validation
from yuccapitch.cli import client, exit_codes, reports
from yuccapitch.cli.commands import base


@base.register
class AuditExportCommand(base.ServerCommand):
    """Writes the audit trail, one JSON record per line."""

    name = "audit export"
    description = "Write the audit trail, one record per line."
    arguments: ClassVar[list[cleo_argument.Argument]] = [
        helpers.argument(
            "file", "Output file; default: standard output.", optional=True
        )
    ]

    async def run_with_client(self, operator: client.OperatorClient) -> base.Outcome:
        """Fetch all records page by page."""
        lines: list[str] = []
        while True:
            fetched = await operator.get(
                "/v1/audit", api.AuditBody, {"after": str(len(lines))}
            )
            if isinstance(fetched, result.Err):
                return fetched
            page = fetched.ok_value
            lines.extend(page.lines)
            if not page.lines or len(lines) >= page.head_sequence:
                break
        head = f"{page.head_sequence}:{page.head_hash}"
        path = self.argument("file")
        data = {"records": len(lines), "head": head}
        if path is None:
            return result.Ok(reports.Report("\n".join(lines), {**data, "lines": lines}))
        try:
            text = "".join(f"{line}\n" for line in lines)
            pathlib.Path(path).write_text(text, encoding="ascii")
        except OSError as error:
            return result.Err(reports.usage_error(f"cannot write {path}: {error}"))
        text = (
            f"wrote {len(lines)} records to {path}\nhead: {head}\n"
            "next: store the head apart from the file; 'audit verify --head' checks it"
        )
        return result.Ok(reports.Report(text, data))


@base.register
class AuditVerifyCommand(base.BaseCommand):
    """Verifies an exported audit trail offline."""

    name = "audit verify"
    description = "Verify an exported audit trail, offline."
    arguments: ClassVar[list[cleo_argument.Argument]] = [
        helpers.argument("file", "The exported audit trail.")
    ]
    options: ClassVar[list[cleo_option.Option]] = [
        *base.BaseCommand.options,
        helpers.option(
            "keys",
            description="OWNER=FILE with the owner's public keys, one per line;"
            " may be repeated.",
            flag=False,
            multiple=True,
        ),
        helpers.option(
            "head",
            description="SEQUENCE:HASH stored from an earlier export.",
            flag=False,
        ),
        helpers.option(
            "allow-unsigned", description="Accept changes without a signature."
        ),
    ]

    def run_command(self) -> base.Outcome:
        """Read the files and verify the records."""
        keys = _read_keys(self.option("keys"), bool(self.option("allow-unsigned")))
        if isinstance(keys, result.Err):
            return keys
        head = _read_head(self.option("head"))
        if isinstance(head, result.Err):
            return head
        try:
            text = pathlib.Path(self.argument("file")).read_text(encoding="ascii")
        except (OSError, UnicodeDecodeError) as error:
            return result.Err(
                reports.usage_error(f"cannot read the audit trail: {error}")
            )
        lines = [line for line in text.split("\n") if line.strip()]
        findings = audit.verify_export(lines, keys.ok_value, head.ok_value)
        if findings:
            return result.Err(
                reports.CommandError(
                    exit_codes.ExitCode.AUDIT_FAULT,
                    f"the audit trail has {len(findings)} faults",
                    "compare the listed records with another owner's export",
                    tuple(str(finding) for finding in findings),
                    [
                        {"sequence": finding.sequence, "message": finding.message}
                        for finding in findings
                    ],
                )
            )
        last = audit.read_head(lines)
        owners = ", ".join(sorted(keys.ok_value.keys_by_owner)) or "none"
        return result.Ok(
            reports.Report(
                f"{len(lines)} records are valid; checked with keys of: {owners}\n"
                f"head: {last.sequence}:{last.hash}",
                {"records": len(lines), "head": f"{last.sequence}:{last.hash}"},
            )
        )


def _read_keys(
    key_options: list[str], unsigned_allowed: bool
) -> result.Result[audit.TrustedKeys, reports.CommandError]:
    keys_by_owner: dict[ids.OwnerId, frozenset[str]] = {}
    for item in key_options:
        owner, separator, path = item.partition("=")
        if not separator:
            return result.Err(reports.usage_error(f"--keys {item!r} is not OWNER=FILE"))
        try:
            text = pathlib.Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            return result.Err(reports.usage_error(f"cannot read {path}: {error}"))
        lines = [line.strip().lower() for line in text.splitlines()]
        keys = [line for line in lines if line and not line.startswith("#")]
        if not keys or not all(validation.KEY_PATTERN.match(key) for key in keys):
            message = f"{path}: expected public keys of 64 hex digits, one per line"
            return result.Err(reports.usage_error(message))
        known = keys_by_owner.get(ids.OwnerId(owner), frozenset())
        keys_by_owner[ids.OwnerId(owner)] = known | frozenset(keys)
    return result.Ok(audit.TrustedKeys(keys_by_owner, unsigned_allowed))


def _read_head(
    head_option: str | None,
) -> result.Result[audit.AuditHead | None, reports.CommandError]:
    if head_option is None:
        return result.Ok(None)
    sequence, separator, digest = head_option.partition(":")
    if not separator or not sequence.isdecimal():
        message = f"--head {head_option!r} is not SEQUENCE:HASH"
        return result.Err(reports.usage_error(message))
    return result.Ok(audit.AuditHead(int(sequence), digest))
