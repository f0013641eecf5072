"""The commands `drain add`, `drain remove` and `drain list`."""

from __future__ import annotations

import hashlib
from typing import ClassVar

import result
from cleo import helpers
from cleo.io.inputs import argument as cleo_argument

from yuccapitch.catalogue import model, validation
from yuccapitch.cli import client, reports
from yuccapitch.cli.commands import base, change_command

KINDS = ", ".join(kind.value for kind in model.DrainKind)
TARGET_ARGUMENTS = [
    helpers.argument("kind", f"One of: {KINDS}."),
    helpers.argument("target", "Id of the object."),
]


@base.register
class DrainAddCommand(change_command.ChangeCommand):
    """Declares that an object gets no new requests."""

    name = "drain add"
    description = "Declare that an object gets no new requests."
    arguments: ClassVar[list[cleo_argument.Argument]] = TARGET_ARGUMENTS

    async def run_with_client(self, operator: client.OperatorClient) -> base.Outcome:
        """Add the drain to the current version."""
        kind = _parse_kind(self.argument("kind"))
        if isinstance(kind, result.Err):
            return kind
        drain = model.Drain(
            kind=kind.ok_value,
            target=self.argument("target"),
            reason=str(self.option("reason") or ""),
        )

        def add(
            declaration: model.Declaration,
        ) -> result.Result[model.Declaration, reports.CommandError]:
            if _find_drain_ids(declaration, drain.kind, drain.target):
                return result.Ok(declaration)
            drains = {**declaration.drains_by_id, _drain_id(drain): drain}
            update = {"drains_by_id": drains}
            return change_command.validate_edit(declaration.model_copy(update=update))

        return await self.edit(operator, add)


@base.register
class DrainRemoveCommand(change_command.ChangeCommand):
    """Removes the drain of an object."""

    name = "drain remove"
    description = "Remove the drain of an object."
    arguments: ClassVar[list[cleo_argument.Argument]] = TARGET_ARGUMENTS

    async def run_with_client(self, operator: client.OperatorClient) -> base.Outcome:
        """Remove the object's drains from the current version."""
        kind = _parse_kind(self.argument("kind"))
        if isinstance(kind, result.Err):
            return kind
        target = self.argument("target")

        def remove(
            declaration: model.Declaration,
        ) -> result.Result[model.Declaration, reports.CommandError]:
            found = _find_drain_ids(declaration, kind.ok_value, target)
            drains = {
                drain_id: drain
                for drain_id, drain in declaration.drains_by_id.items()
                if drain_id not in found
            }
            return result.Ok(declaration.model_copy(update={"drains_by_id": drains}))

        return await self.edit(operator, remove)


@base.register
class DrainListCommand(base.ServerCommand):
    """Lists the declared drains."""

    name = "drain list"
    description = "List the drains."

    async def run_with_client(self, operator: client.OperatorClient) -> base.Outcome:
        """Fetch the current version's drains."""
        current = await change_command.current_catalogue(operator)
        return current.map(lambda found: _drains_report(found[1]))


def _parse_kind(text: str) -> result.Result[model.DrainKind, reports.CommandError]:
    try:
        return result.Ok(model.DrainKind(text))
    except ValueError:
        return result.Err(reports.usage_error(f"{text!r} is not one of: {KINDS}"))


def _drain_id(drain: model.Drain) -> str:
    drain_id = f"{drain.kind.value}.{drain.target}"
    if validation.ID_PATTERN.match(drain_id):
        return drain_id
    digest = hashlib.sha256(drain.target.encode()).hexdigest()
    return f"{drain.kind.value}.{digest[:32]}"


def _find_drain_ids(
    declaration: model.Declaration, kind: model.DrainKind, target: str
) -> set[str]:
    return {
        drain_id
        for drain_id, drain in declaration.drains_by_id.items()
        if drain.kind is kind and drain.target == target
    }


def _drains_report(declaration: model.Declaration) -> reports.Report:
    rows = [
        (drain.kind.value, drain.target, drain_id, drain.reason)
        for drain_id, drain in declaration.drains_by_id.items()
    ]
    data = {
        drain_id: drain.model_dump(mode="json")
        for drain_id, drain in declaration.drains_by_id.items()
    }
    text = reports.table(("KIND", "TARGET", "ID", "REASON"), rows) if rows else "none"
    return reports.Report(text, data)
