"""The commands `shift set`, `shift remove` and `shift list`."""

from __future__ import annotations

from typing import Any, ClassVar

import pydantic
import result
from cleo import helpers
from cleo.io.inputs import argument as cleo_argument, option as cleo_option

from yuccapitch.catalogue import ids, model
from yuccapitch.cli import client, reports
from yuccapitch.cli.commands import base, change_command

SHIFT_ARGUMENT = helpers.argument("shift", "Id of the shift.")

_FIELDS_BY_OPTION = {
    "service": "service",
    "from": "source",
    "to": "target",
    "endpoint-owner": "endpoint_owner",
    "cap": "cap_per_s",
    "fraction": "fraction",
}


@base.register
class ShiftSetCommand(change_command.ChangeCommand):
    """Adds a shift or changes the given fields of one."""

    name = "shift set"
    description = "Add a shift, or change the given fields of one."
    arguments: ClassVar[list[cleo_argument.Argument]] = [SHIFT_ARGUMENT]
    options: ClassVar[list[cleo_option.Option]] = [
        *change_command.ChangeCommand.options,
        helpers.option(
            "service", description="Service whose traffic is shifted.", flag=False
        ),
        helpers.option("from", description="Source region.", flag=False),
        helpers.option("to", description="Target region.", flag=False),
        helpers.option(
            "endpoint-owner",
            description="Owner of the endpoints in the target region.",
            flag=False,
        ),
        helpers.option(
            "cap",
            description="Maximum requests per second to the target's endpoints.",
            flag=False,
        ),
        helpers.option(
            "fraction",
            description="Fraction, 0 to 1, shifted even while the source has capacity.",
            flag=False,
        ),
    ]

    async def run_with_client(self, operator: client.OperatorClient) -> base.Outcome:
        """Add or update the shift in the current version."""
        shift_id = ids.ShiftId(self.argument("shift"))
        fields = {
            field: self.option(name)
            for name, field in _FIELDS_BY_OPTION.items()
            if self.option(name) is not None
        }

        def add_or_update(
            declaration: model.Declaration,
        ) -> result.Result[model.Declaration, reports.CommandError]:
            shift = _merge_fields(declaration.shifts_by_id.get(shift_id), fields)
            if isinstance(shift, result.Err):
                return shift
            shifts = {**declaration.shifts_by_id, shift_id: shift.ok_value}
            update = {"shifts_by_id": shifts}
            return change_command.validate_edit(declaration.model_copy(update=update))

        return await self.edit(operator, add_or_update)


@base.register
class ShiftRemoveCommand(change_command.ChangeCommand):
    """Removes a shift."""

    name = "shift remove"
    description = "Remove a shift."
    arguments: ClassVar[list[cleo_argument.Argument]] = [SHIFT_ARGUMENT]

    async def run_with_client(self, operator: client.OperatorClient) -> base.Outcome:
        """Remove the shift from the current version."""
        shift_id = self.argument("shift")

        def remove(
            declaration: model.Declaration,
        ) -> result.Result[model.Declaration, reports.CommandError]:
            shifts = {**declaration.shifts_by_id}
            shifts.pop(shift_id, None)
            return result.Ok(declaration.model_copy(update={"shifts_by_id": shifts}))

        return await self.edit(operator, remove)


@base.register
class ShiftListCommand(base.ServerCommand):
    """Lists the declared shifts."""

    name = "shift list"
    description = "List the shifts."

    async def run_with_client(self, operator: client.OperatorClient) -> base.Outcome:
        """Fetch the current version's shifts."""
        current = await change_command.current_catalogue(operator)
        return current.map(lambda found: _shifts_report(found[1]))


def _merge_fields(
    shift: model.Shift | None, fields: dict[str, Any]
) -> result.Result[model.Shift, reports.CommandError]:
    data = {} if shift is None else shift.model_dump()
    try:
        return result.Ok(model.Shift.model_validate({**data, **fields}))
    except pydantic.ValidationError as error:
        option_by_field = {field: name for name, field in _FIELDS_BY_OPTION.items()}
        details = tuple(
            f"--{option_by_field.get(str(item['loc'][0]))}: {item['msg']}"
            for item in error.errors()
        )
        message = "the shift is incomplete or has faults"
        return result.Err(reports.usage_error(message, "fix these options", *details))


def _shifts_report(declaration: model.Declaration) -> reports.Report:
    shifts = declaration.shifts_by_id
    rows = [
        (
            shift_id,
            shift.service,
            shift.source,
            shift.target,
            shift.endpoint_owner,
            shift.cap_per_s,
            shift.fraction,
        )
        for shift_id, shift in shifts.items()
    ]
    headings = ("SHIFT", "SERVICE", "FROM", "TO", "ENDPOINT OWNER", "CAP/S", "FRACTION")
    data = {
        shift_id: shift.model_dump(mode="json") for shift_id, shift in shifts.items()
    }
    return reports.Report(reports.table(headings, rows) if rows else "none", data)
