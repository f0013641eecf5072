from __future__ import annotations

from yuccapitch.cli import exit_codes
from yuccapitch.cli.commands import operations


# Guards against a command that ends with a traceback.
def test_lookup_reports_a_response_that_is_nested_too_deeply() -> None:
    error = operations._lookup_report(100_000 * b"[").unwrap_err()
    assert error.exit_code is exit_codes.ExitCode.USAGE
