"""Exit codes of the command line and their meanings."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command, as listed in docs/reference/command-line.md."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    REFUSED = 4
    UNAVAILABLE = 5
    UNKNOWN_OUTCOME = 6
    NOT_IN_FORCE = 7
    AUDIT_FAULT = 8


meanings_by_code = {
    ExitCode.OK: "Done.",
    ExitCode.FAILED: "Failed for the reason in the message.",
    ExitCode.USAGE: "Invalid arguments, or a file that is unreadable or has faults.",
    ExitCode.CONFLICT: "A concurrent change won; get, edit and apply again.",
    ExitCode.REFUSED: "The catalogue refused the change.",
    ExitCode.UNAVAILABLE: "No instance could respond; nothing was changed.",
    ExitCode.UNKNOWN_OUTCOME: (
        "The response was lost and the change may still be accepted; send it again"
        " with the same change id."
    ),
    ExitCode.NOT_IN_FORCE: "Accepted, but not in force everywhere before the timeout.",
    ExitCode.AUDIT_FAULT: "The audit trail has faults.",
}
