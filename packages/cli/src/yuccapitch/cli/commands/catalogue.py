"""The commands `plan`, `apply`, `get`, `history` and `diff`."""

from __future__ import annotations

import pathlib
from typing import ClassVar

import result
from cleo import helpers
from cleo.io.inputs import argument as cleo_argument, option as cleo_option

from yuccapitch.catalogue import api, difference, ids, loading, model
from yuccapitch.cli import client, exit_codes, reports, times
from yuccapitch.cli.commands import base, change_command

FILE_ARGUMENT = helpers.argument("file", "The declaration, as YAML.")


@base.register
class PlanCommand(change_command.ChangeCommand):
    """Shows the changes a declaration would make and who may apply it."""

    name = "plan"
    description = "Show the changes a declaration would make and who may apply it."
    arguments: ClassVar[list[cleo_argument.Argument]] = [FILE_ARGUMENT]

    async def run_with_client(self, operator: client.OperatorClient) -> base.Outcome:
        """Request the plan; the exit code is REFUSED if it may not be applied."""
        declaration = change_command.read_declaration(self.argument("file"))
        if isinstance(declaration, result.Err):
            return declaration
        identity = self.identity(declaration.ok_value)
        if isinstance(identity, result.Err) and self.has_identity_options():
            return identity
        owner = identity.ok_value.owner if isinstance(identity, result.Ok) else None
        plan = await operator.plan(
            api.PlanRequest(declaration=declaration.ok_value, owner=owner)
        )
        return plan.map(_plan_report)


@base.register
class ApplyCommand(change_command.ChangeCommand):
    """Submits a declaration as the next version."""

    name = "apply"
    description = "Submit a declaration as the next version."
    arguments: ClassVar[list[cleo_argument.Argument]] = [FILE_ARGUMENT]
    options: ClassVar[list[cleo_option.Option]] = [
        *change_command.ChangeCommand.options,
        helpers.option(
            "base",
            "b",
            "Version that the declaration is based on, as shown by 'plan'.",
            flag=False,
        ),
        helpers.option(
            "change-id",
            description="Id of the change, to send it again after a lost response.",
            flag=False,
        ),
        helpers.option(
            "yes", "y", "Use the current version as the base without confirmation."
        ),
    ]

    async def run_with_client(self, operator: client.OperatorClient) -> base.Outcome:
        """Determine the base version, then submit the declaration."""
        read = change_command.read_declaration(self.argument("file"))
        if isinstance(read, result.Err):
            return read
        declaration = read.ok_value
        identity = self.identity(declaration)
        if isinstance(identity, result.Err):
            return identity
        base_version = await self._base_version(
            operator, declaration, identity.ok_value.owner
        )
        if isinstance(base_version, result.Err):
            return base_version
        change_id = str(self.option("change-id") or change_command.new_change_id())
        return await self.submit(
            operator, identity.ok_value, base_version.ok_value, declaration, change_id
        )

    async def _base_version(
        self,
        operator: client.OperatorClient,
        declaration: model.Declaration,
        owner: ids.OwnerId,
    ) -> result.Result[ids.Version, reports.CommandError]:
        base_option = self.option("base")
        if base_option is not None:
            if not base_option.isdecimal():
                return result.Err(
                    reports.usage_error(f"--base {base_option!r} is not a version")
                )
            return result.Ok(ids.Version(int(base_option)))
        planned = await operator.plan(
            api.PlanRequest(declaration=declaration, owner=owner)
        )
        if isinstance(planned, result.Err):
            return planned
        plan = planned.ok_value
        if plan.version == 0 or self.option("yes"):
            return result.Ok(plan.version)
        report = _plan_report(plan)
        if not self.option("json"):
            self.io.write_error_line(report.text)
        if self.confirm_interactively(f"Apply this to version {plan.version}?"):
            return result.Ok(plan.version)
        # Without a base, an outdated file would silently revert changes of others.
        return result.Err(
            reports.usage_error(
                "no base version given",
                f"check the plan, then pass --base {plan.version} (or --yes)",
            )
        )


@base.register
class GetCommand(base.ServerCommand):
    """Prints a version of the declaration as YAML."""

    name = "get"
    description = "Print the declaration as YAML."
    options: ClassVar[list[cleo_option.Option]] = [
        *base.ServerCommand.options,
        helpers.option(
            "at", description="A stored version; default: the current one.", flag=False
        ),
        helpers.option("output", "o", "Output file.", flag=False),
    ]

    async def run_with_client(self, operator: client.OperatorClient) -> base.Outcome:
        """Fetch the version and print or write it."""
        fetched = await _fetch_version(operator, self.option("at"))
        if isinstance(fetched, result.Err):
            return fetched
        body = fetched.ok_value
        if body.declaration is None:
            return result.Err(
                reports.CommandError(
                    exit_codes.ExitCode.FAILED,
                    "the catalogue is empty",
                    "apply a first declaration with 'yuccapitch apply FILE'",
                )
            )
        text = f"# Version {body.version}.\n{loading.to_yaml(body.declaration)}"
        data = {
            "version": body.version,
            "digest": body.digest,
            "declaration": loading.to_plain(body.declaration),
        }
        path = self.option("output")
        if path is None:
            return result.Ok(reports.Report(text.rstrip("\n"), data))
        try:
            pathlib.Path(path).write_text(text, encoding="utf-8")
        except OSError as error:
            return result.Err(reports.usage_error(f"cannot write {path}: {error}"))
        return result.Ok(
            reports.Report(f"wrote version {body.version} to {path}", data)
        )


@base.register
class HistoryCommand(base.ServerCommand):
    """Lists the stored versions, newest first."""

    name = "history"
    description = "List the versions, newest first."
    options: ClassVar[list[cleo_option.Option]] = [
        *base.ServerCommand.options,
        helpers.option(
            "limit", "l", "Maximum number of versions.", flag=False, default="20"
        ),
    ]

    async def run_with_client(self, operator: client.OperatorClient) -> base.Outcome:
        """Fetch the versions."""
        limit = str(self.option("limit"))
        fetched = await operator.get(
            "/v1/catalogue/versions", api.VersionsBody, {"limit": limit}
        )
        return fetched.map(_history_report)


@base.register
class DiffCommand(base.ServerCommand):
    """Shows the differences between two versions."""

    name = "diff"
    description = "Show the differences between two versions."
    arguments: ClassVar[list[cleo_argument.Argument]] = [
        helpers.argument("before", "A version."),
        helpers.argument(
            "after", "Another version; default: the current one.", optional=True
        ),
    ]

    async def run_with_client(self, operator: client.OperatorClient) -> base.Outcome:
        """Fetch both versions and compare them."""
        before = await _fetch_version(operator, self.argument("before"))
        if isinstance(before, result.Err):
            return before
        after = await _fetch_version(operator, self.argument("after"))
        if isinstance(after, result.Err):
            return after
        if after.ok_value.declaration is None:
            return result.Ok(reports.Report("no differences", []))
        items = difference.compare(
            before.ok_value.declaration, after.ok_value.declaration
        )
        data = [item.model_dump(mode="json") for item in items]
        return result.Ok(reports.Report(_difference_table(items), data))


async def _fetch_version(
    operator: client.OperatorClient, version: str | None
) -> result.Result[api.CatalogueBody, reports.CommandError]:
    if version is None:
        return await operator.get("/v1/catalogue", api.CatalogueBody)
    if not version.isdecimal():
        return result.Err(reports.usage_error(f"{version!r} is not a version"))
    return await operator.get(f"/v1/catalogue/versions/{version}", api.CatalogueBody)


def _plan_report(plan: api.PlanBody) -> reports.Report:
    lines = [_difference_table(plan.differences)]
    lines.append(f"current version: {plan.version}")
    if plan.owner_in_turn is not None:
        lines.append(
            f"owner whose turn it is to change shared entries: {plan.owner_in_turn}"
        )
    lines.extend(f"not permitted: {fault}" for fault in plan.faults)
    exit_code = exit_codes.ExitCode.REFUSED if plan.faults else exit_codes.ExitCode.OK
    return reports.Report("\n".join(lines), plan.model_dump(mode="json"), exit_code)


def _difference_table(items: tuple[difference.Difference, ...]) -> str:
    if not items:
        return "no differences"
    rows = [
        (
            item.kind.value,
            f"{item.section}.{item.entry_id}" if item.entry_id else item.section,
            item.owner_or_shared,
            ", ".join(
                f"{change.field} {change.before} -> {change.after}"
                for change in item.fields
            ),
        )
        for item in items
    ]
    return reports.table(("WHAT", "ENTRY", "OWNER", "FIELDS"), rows)


def _history_report(body: api.VersionsBody) -> reports.Report:
    rows = [
        (
            record.version,
            times.to_text(record.time_ms),
            record.owner,
            record.change_id,
            record.reason,
        )
        for record in body.versions
    ]
    text = reports.table(("VERSION", "TIME (UTC)", "OWNER", "CHANGE", "REASON"), rows)
    return reports.Report(text, body.model_dump(mode="json"))
