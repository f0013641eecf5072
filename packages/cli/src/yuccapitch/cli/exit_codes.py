"""Exit codes of the command line and what they mean."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """How a command ended; docs/reference/command-line.md lists them."""

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
    ExitCode.FAILED: "Failed for a reason that the message names.",
    ExitCode.USAGE: "Wrong arguments, or a file that cannot be read or has faults.",
    ExitCode.CONFLICT: "Another change won; get, edit and apply again.",
    ExitCode.REFUSED: "The catalogue refused the change.",
    ExitCode.UNAVAILABLE: "No instance could answer; nothing was changed.",
    ExitCode.UNKNOWN_OUTCOME: (
        "The answer was lost and the change may yet be accepted; send it again with"
        " the same change id."
    ),
    ExitCode.NOT_IN_FORCE: "Accepted, but not in force everywhere in the time given.",
    ExitCode.AUDIT_FAULT: "The audit trail has faults.",
}
