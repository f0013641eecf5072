"""Parsing of yuccapitchd's settings from flags and environment variables."""

from __future__ import annotations

import argparse
import dataclasses
import difflib
import sys
import typing
from collections.abc import Mapping, Sequence

import pydantic
import result

# Importing settings_checks fills the registry of checks.
from yuccapitch.node import settings_checks, settings_table  # noqa: F401

Settings = settings_table.Settings
Peer = settings_table.Peer
Role = settings_table.Role

EXIT_BAD_SETTINGS = 2


@dataclasses.dataclass(frozen=True)
class SettingError:
    """A problem with one or more settings and how to fix it."""

    setting: str
    problem: str
    fix: str

    def __str__(self) -> str:
        return f"{self.setting}: {self.problem}; {self.fix}"


def load(argv: Sequence[str], environ: Mapping[str, str]) -> Settings:
    """Return the settings, or print all errors and exit with code 2."""
    outcome = parse(argv, environ)
    if isinstance(outcome, result.Ok):
        return outcome.ok_value
    for error in outcome.err_value:
        print(f"yuccapitchd: {error}", file=sys.stderr)
    print("yuccapitchd: 'yuccapitchd --help' lists every setting", file=sys.stderr)
    sys.exit(EXIT_BAD_SETTINGS)


def parse(
    argv: Sequence[str], environ: Mapping[str, str]
) -> result.Result[Settings, list[SettingError]]:
    """Return the settings or all errors; a flag takes precedence over its variable."""
    arguments, unknown = _parser().parse_known_args(list(argv))
    errors = [_unknown_flag_error(argument) for argument in unknown]
    texts_by_name = _texts_by_name(vars(arguments), environ)
    values: dict[str, typing.Any] = {}
    for row in settings_table.rows():
        if row.name not in texts_by_name:
            values[row.name] = row.default
            continue
        match _validate(row, texts_by_name[row.name]):
            case result.Ok(value):
                values[row.name] = value
            case result.Err(error):
                errors.append(error)
    errors.extend(_run_checks(values))
    if errors:
        return result.Err(errors)
    if values["allow_unsigned"] is None:
        values["allow_unsigned"] = not values["control_peers"]
    return result.Ok(Settings(**values))


def unknown_variables(environ: Mapping[str, str]) -> list[str]:
    """Return the variables with the settings' prefix that match no setting."""
    known = {row.variable for row in settings_table.rows()}
    prefix = settings_table.VARIABLE_PREFIX
    return sorted(name for name in set(environ) - known if name.startswith(prefix))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="yuccapitchd",
        description="Run one yuccapitch instance. Each flag has an environment"
        " variable, shown with it; the flag takes precedence.",
        allow_abbrev=False,
        argument_default=argparse.SUPPRESS,
    )
    for row in settings_table.rows():
        parser.add_argument(
            row.flag,
            dest=row.name,
            nargs="?",
            # A flag without a value is reported together with all other errors.
            const="true" if row.is_switch else "",
            metavar="VALUE",
            help=_help(row),
        )
    return parser


def _help(row: settings_table.Row) -> str:
    default = f", default {row.default_text}" if row.default_text else ""
    unit = f" {row.unit}" if row.unit else ""
    text = f"{row.help_text} {row.variable}: {row.value_description}{unit}{default}."
    return text.replace("%", "%%")


def _texts_by_name(
    arguments: Mapping[str, str], environ: Mapping[str, str]
) -> dict[str, str]:
    # An empty variable counts as unset, so an environment file may list variables
    # without a value.
    from_environ = {
        row.name: environ[row.variable]
        for row in settings_table.rows()
        if environ.get(row.variable)
    }
    return {**from_environ, **arguments}


def _validate(
    row: settings_table.Row, text: str
) -> result.Result[typing.Any, SettingError]:
    setting = f"{row.flag} / {row.variable}"
    if text == "":
        return result.Err(
            SettingError(
                setting, "the value is missing", f"give {row.value_description}"
            )
        )
    try:
        return result.Ok(row.adapter.validate_python(text))
    except pydantic.ValidationError as validation_error:
        reason = validation_error.errors()[0]
        cause = reason.get("ctx", {}).get("error")
        problem = f"{text!r} is not valid" + (f" ({cause})" if cause else "")
        return result.Err(
            SettingError(setting, problem, f"give {row.value_description}")
        )


def _run_checks(values: Mapping[str, typing.Any]) -> list[SettingError]:
    rows_by_name = {row.name: row for row in settings_table.rows()}
    errors = []
    for names, function in settings_table.CHECKS:
        if any(name not in values for name in names):
            continue
        fix = function({name: values[name] for name in names})
        if fix is not None:
            rows = [rows_by_name[name] for name in names]
            setting = ", ".join(f"{row.flag} / {row.variable}" for row in rows)
            errors.append(SettingError(setting, _describe_rule(function), fix))
    return errors


def _describe_rule(function: settings_table.Check) -> str:
    """Return a problem text with the rule that is the docstring of the check."""
    return "breaks the rule '" + (function.__doc__ or "").strip().rstrip(".") + "'"


def _unknown_flag_error(argument: str) -> SettingError:
    flags = [row.flag for row in settings_table.rows()]
    similar = difflib.get_close_matches(argument.split("=")[0], flags, n=1)
    fix = f"did you mean {similar[0]}?" if similar else "remove it"
    return SettingError(argument, "there is no such flag", fix)
