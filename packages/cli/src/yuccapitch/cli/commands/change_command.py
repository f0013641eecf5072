"""Base class of the commands that change the catalogue."""

from __future__ import annotations

import dataclasses
import pathlib
import uuid
from collections.abc import Callable
from typing import ClassVar

import result
from cleo import helpers
from cleo.io.inputs import option as cleo_option

from yuccapitch.catalogue import api, changes, ids, loading, model, signing, validation
from yuccapitch.cli import client, exit_codes, reports
from yuccapitch.cli.commands import base

DEFAULT_WAIT_S = 30.0
MAX_EDIT_ATTEMPTS = 5

Edit = Callable[
    [model.Declaration], result.Result[model.Declaration, reports.CommandError]
]


@dataclasses.dataclass(frozen=True)
class Identity:
    """The owner who submits a change, and the key that signs it, if there is one."""

    owner: ids.OwnerId
    private_key: str | None


class ChangeCommand(base.ServerCommand):
    """A command that submits a change."""

    options: ClassVar[list[cleo_option.Option]] = [
        *base.ServerCommand.options,
        helpers.option(
            "key",
            "k",
            "File with the private key for signing [YUCCAPITCH_KEY].",
            flag=False,
        ),
        helpers.option(
            "owner",
            description="Owner to act for; default: the owner of the key"
            " [YUCCAPITCH_OWNER].",
            flag=False,
        ),
        helpers.option(
            "reason",
            "r",
            "Reason of the change, for the audit trail.",
            flag=False,
            default="",
        ),
        helpers.option("wait", "w", "Wait until the change is in force everywhere."),
        helpers.option(
            "wait-timeout",
            description=f"Timeout of --wait in seconds; default {DEFAULT_WAIT_S:g}.",
            flag=False,
        ),
    ]

    def has_identity_options(self) -> bool:
        """Return whether a key or an owner is set by option or environment."""
        return any(
            self.setting(name, variable)
            for name, variable in (
                ("key", "YUCCAPITCH_KEY"),
                ("owner", "YUCCAPITCH_OWNER"),
            )
        )

    def identity(
        self, declaration: model.Declaration
    ) -> result.Result[Identity, reports.CommandError]:
        """Return the signing identity; the default owner is that of the key."""
        key_file = self.setting("key", "YUCCAPITCH_KEY")
        owner = self.setting("owner", "YUCCAPITCH_OWNER")
        private_key = None
        if key_file is not None:
            read = read_key(key_file)
            if isinstance(read, result.Err):
                return read
            private_key = read.ok_value
            owner = owner or _owner_of_key(declaration, private_key)
            if owner is None:
                return result.Err(
                    reports.usage_error(
                        f"no declared owner has the public key of {key_file}",
                        "add it to the owner's public_keys, or pass --owner",
                    )
                )
        if owner is None and len(declaration.owners_by_id) == 1:
            owner = next(iter(declaration.owners_by_id))
        if owner is None:
            return result.Err(
                reports.usage_error("no owner to act for", "pass --key FILE or --owner")
            )
        return result.Ok(Identity(ids.OwnerId(owner), private_key))

    async def submit(
        self,
        operator: client.OperatorClient,
        identity: Identity,
        base_version: ids.Version,
        declaration: model.Declaration,
        change_id: str,
    ) -> base.Outcome:
        """Submit the declaration and, with --wait, wait until it is in force."""
        wait_s = self.number("wait-timeout")
        if isinstance(wait_s, result.Err):
            return result.Err(reports.usage_error(wait_s.err_value))
        reason = str(self.option("reason") or "")
        if len(reason) > changes.MAX_REASON_CHARS or len(change_id) > 100:
            limit = f"{changes.MAX_REASON_CHARS} characters, a change id 100"
            return result.Err(reports.usage_error(f"a reason has at most {limit}"))
        change = changes.Change(
            change_id=ids.ChangeId(change_id),
            base_version=base_version,
            declaration=declaration,
            owner=identity.owner,
            reason=reason,
        )
        if identity.private_key is not None:
            change = change.with_signature(identity.private_key)
        accepted = await operator.submit(change)
        if isinstance(accepted, result.Err):
            return accepted
        version = accepted.ok_value.version
        data = {"version": version, "change_id": change_id, "in_force": None}
        text = f"accepted as version {version} (change {change_id})"
        if not self.option("wait"):
            return result.Ok(reports.Report(text, data))
        in_force = await operator.wait_in_force(
            version, wait_s.ok_value or DEFAULT_WAIT_S
        )
        return result.Ok(_in_force_report(version, text, data, in_force))

    async def edit(self, operator: client.OperatorClient, edit: Edit) -> base.Outcome:
        """Apply an edit to the current version; retry after a conflict."""
        outcome: base.Outcome | None = None
        for _ in range(MAX_EDIT_ATTEMPTS):
            current = await current_catalogue(operator)
            if isinstance(current, result.Err):
                return current
            version, declaration = current.ok_value
            edited = edit(declaration)
            if isinstance(edited, result.Err):
                return edited
            if edited.ok_value == declaration:
                data = {"version": version, "change_id": None, "in_force": None}
                text = f"nothing to change at version {version}"
                return result.Ok(reports.Report(text, data))
            identity = self.identity(declaration)
            if isinstance(identity, result.Err):
                return identity
            outcome = await self.submit(
                operator, identity.ok_value, version, edited.ok_value, new_change_id()
            )
            if outcome.is_ok() or not _is_conflict(outcome):
                return outcome
        assert outcome is not None
        return outcome


def new_change_id() -> str:
    """Return a new unique change id."""
    return str(uuid.uuid4())


def read_key(key_file: str) -> result.Result[str, reports.CommandError]:
    """Read the private key from a file."""
    try:
        text = pathlib.Path(key_file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return result.Err(
            reports.usage_error(
                f"cannot read the key {key_file}: {error}",
                "create one with 'yuccapitch key new FILE'",
            )
        )
    return signing.parse_private_key(text).map_err(
        lambda error: reports.usage_error(f"{key_file}: {error.message}")
    )


def read_declaration(
    path: str,
) -> result.Result[model.Declaration, reports.CommandError]:
    """Read a declaration from a YAML file."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return result.Err(reports.usage_error(f"cannot read {path}: {error}"))
    return loading.load_yaml(text).map_err(
        lambda error: _faults_error(f"{path} has faults", error.faults)
    )


async def current_catalogue(
    operator: client.OperatorClient,
) -> result.Result[tuple[ids.Version, model.Declaration], reports.CommandError]:
    """Return the current version and declaration; an empty catalogue is an error."""
    current = await operator.get("/v1/catalogue", api.CatalogueBody)
    if isinstance(current, result.Err):
        return current
    body = current.ok_value
    if body.declaration is None:
        return result.Err(
            reports.CommandError(
                exit_codes.ExitCode.FAILED,
                "the catalogue is empty",
                "apply a first declaration with 'yuccapitch apply FILE'",
            )
        )
    return result.Ok((body.version, body.declaration))


def validate_edit(
    declaration: model.Declaration,
) -> result.Result[model.Declaration, reports.CommandError]:
    """Return the edited declaration, or an error if it is invalid."""
    faults = validation.validate(declaration)
    if faults:
        return result.Err(_faults_error("the edit has faults", faults))
    return result.Ok(declaration)


def _faults_error(
    message: str, faults: tuple[validation.Fault, ...]
) -> reports.CommandError:
    details = tuple(str(fault) for fault in faults)
    return reports.usage_error(message, "fix the listed faults", *details)


def _owner_of_key(declaration: model.Declaration, private_key: str) -> str | None:
    public_key = signing.derive_public_key(private_key)
    for owner_id, owner in declaration.owners_by_id.items():
        if public_key in owner.public_keys:
            return owner_id
    return None


def _is_conflict(outcome: base.Outcome) -> bool:
    return (
        isinstance(outcome, result.Err)
        and outcome.err_value.exit_code is exit_codes.ExitCode.CONFLICT
    )


def _in_force_report(
    version: ids.Version,
    text: str,
    data: dict[str, object],
    waited: result.Result[api.InForceBody, reports.CommandError],
) -> reports.Report:
    if isinstance(waited, result.Ok) and waited.ok_value.everywhere:
        return reports.Report(
            f"{text}, in force everywhere", {**data, "in_force": True}
        )
    lagging = waited.ok_value.lagging if isinstance(waited, result.Ok) else ()
    lagging_text = ", ".join(lagging) or "unknown; no leader responded"
    return reports.Report(
        f"{text}, not yet in force everywhere; lagging: {lagging_text}\n"
        f"next: see 'yuccapitch status'; version {version} remains accepted",
        {**data, "in_force": False, "lagging": list(lagging)},
        exit_codes.ExitCode.NOT_IN_FORCE,
    )
