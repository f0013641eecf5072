"""The registry of logged events and the function that logs one."""

from __future__ import annotations

import dataclasses
import enum

import eliot


class Level(enum.IntEnum):
    """How much an event matters to an operator."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


@dataclasses.dataclass(frozen=True)
class Event:
    """A declared event."""

    name: str
    level: Level
    meaning: str


EVENTS_BY_NAME: dict[str, Event] = {}


def declare(name: str, meaning: str, level: Level = Level.INFO) -> None:
    """Add an event to the registry."""
    if name in EVENTS_BY_NAME:
        raise ValueError(f"the event {name!r} is declared twice")
    EVENTS_BY_NAME[name] = Event(name, level, meaning)


def event(event_name: str, /, **fields: object) -> None:
    """Log an event with its fields."""
    eliot.log_message(message_type=event_name, **fields)


declare("process.started", "The process is ready to serve.")
declare("process.stopping", "A signal asked the process to stop; the drain begins.")
declare("process.stopped", "The process has finished all work and closed its files.")
declare(
    "process.failed",
    "A broken invariant or an unexpected error stopped the process.",
    Level.ERROR,
)
declare(
    "process.task-failed",
    "A background task ended with an unexpected error.",
    Level.ERROR,
)
declare(
    "settings.unknown-variable",
    "An environment variable has the settings' prefix but names no setting.",
    Level.WARNING,
)
declare("link.opened", "An inner link to or from another instance is open.")
declare(
    "link.failed",
    "An inner link did not open; told once until it does.",
    Level.WARNING,
)
declare("link.closed", "An inner link has closed.")
declare(
    "link.refused",
    "A peer on the inner port was refused: unknown or not speaking the protocol.",
    Level.WARNING,
)
declare(
    "link.silent",
    "An inner link was closed because nothing arrived within its timeout.",
    Level.WARNING,
)
declare("tls.reloaded", "The certificates for inner links were read again.")
declare(
    "tls.reload-failed",
    "Changed certificates could not be read; the former ones stay in use.",
    Level.ERROR,
)
declare("log.recovered", "The replicated log was read from disk.")
declare(
    "log.tail-truncated",
    "A torn record at the end of the log was cut off during recovery.",
    Level.WARNING,
)
declare("log.corrupt", "A record inside the log fails its checksum.", Level.ERROR)
declare("log.snapshot-written", "A snapshot was written and the log shortened.")
declare("log.snapshot-installed", "A snapshot from the leader replaced the own state.")
declare("consensus.election-started", "The instance stands for election.")
declare("consensus.leader-elected", "The instance became the leader of a term.")
declare("consensus.leader-changed", "The instance follows another leader.")
declare(
    "consensus.stepped-down",
    "The leader gave up its term because it lost its quorum or saw a later term.",
    Level.WARNING,
)
declare("consensus.members-changed", "The set of voting instances changed.")
declare("change.accepted", "A change of the catalogue was committed.")
declare("change.refused", "A change was refused.", Level.WARNING)
declare("change.repeated", "A resent change was given its first outcome again.")
declare("change.in-force", "A version is in force on every entry instance.")
declare("entry.lease-granted", "The instance holds a configuration lease.")
declare(
    "entry.lease-refused",
    "A control instance granted no lease; another is asked.",
    Level.DEBUG,
)
declare("entry.lease-renewed", "A configuration lease was renewed.", Level.DEBUG)
declare(
    "entry.lease-lapsed",
    "The configuration lease lapsed; the instance takes no new work.",
    Level.WARNING,
)
declare("entry.version-applied", "The instance acts on a new configuration version.")
declare("entry.drain-started", "The instance leaves the answers and starts to drain.")
declare("entry.drain-finished", "Nothing is in flight any more.")
declare("share.granted", "A share of a limit was leased.", Level.DEBUG)
declare("share.lapsed", "A share of a limit lapsed unrenewed.", Level.WARNING)
declare(
    "request.cut-off",
    "An answer that had begun could not be ended; its connection was closed.",
    Level.WARNING,
)
declare(
    "request.failed",
    "A request ended without a whole answer.",
    Level.DEBUG,
)
declare(
    "request.crashed",
    "The instance failed on a request by a fault of its own.",
    Level.WARNING,
)
declare(
    "request.refused",
    "A request was refused before any of it left for an endpoint.",
    Level.DEBUG,
)
declare("endpoint.up", "An endpoint takes work.")
declare("endpoint.down", "An endpoint takes no work because it failed.", Level.WARNING)
declare("endpoint.leaving", "An endpoint leaves and takes no new work.")
declare(
    "endpoint.report-invalid",
    "An endpoint's load report could not be read and was ignored.",
    Level.WARNING,
)
declare(
    "platform.list-failed",
    "The platform's list of instances could not be read.",
    Level.WARNING,
)
declare("shift.started", "Traffic of a service is being moved to another region.")
declare("shift.stopped", "Traffic of a service is no longer moved.")
declare("log.dropped", "Lines were left out to bound the volume of the log.")
declare("settings.reloaded", "The settings were read again.")
declare(
    "settings.reload-failed",
    "Changed settings are invalid; the former stay.",
    Level.ERROR,
)
declare("routes.applied", "The instance acts on a newer declaration of routes.")
declare("routes.refused", "A committed declaration cannot be read here.", Level.ERROR)
declare("endpoints.applied", "The instance acts on a newer list of endpoints.")
declare(
    "caller.refused",
    "A caller's bytes were refused: malformed, too large or too slow.",
    Level.WARNING,
)
declare("request.answered", "A caller got an endpoint's answer.")
declare("request.placed", "A request was sent to an endpoint.", Level.DEBUG)
declare("request.resent", "A request goes to a further endpoint.")
declare("request.unmatched", "No route matches a request.")
declare("request.abandoned", "The caller left before its answer.")
declare("list.read-failed", "The list of endpoints could not be read.", Level.WARNING)
declare("list.read-again", "The list of endpoints can be read again.")
declare("order.failed", "An order got no quorum in time.", Level.WARNING)
declare("follow.leader-found", "A leader answers; the state is current again.")
declare(
    "follow.leader-lost",
    "No leader answers; the last state is used.",
    Level.WARNING,
)
declare("order.applied", "A committed order changed routes or evacuations.")
declare(
    "order.unchanged", "A committed order changed nothing: it is repeated or overtaken."
)
declare("fleet.entry-joined", "An entry instance made itself known.")
declare("fleet.entry-lost", "An entry instance fell silent or is stopping.")
declare(
    "fleet.dispatchers-chosen",
    "The leader chose which instance grants the places of each region.",
)
declare("fleet.endpoints-changed", "The platform's list of endpoints changed.")
declare("endpoint.listed", "An endpoint appeared on the platform's list.")
declare("endpoint.unlisted", "An endpoint left the platform's list.")
declare("place.dispatcher-changed", "Another instance grants the region's places.")
declare(
    "place.dispatcher-lost",
    "The region's dispatcher gives no answer; the own part of the slots is used.",
    Level.WARNING,
)
declare("endpoint.lent", "An endpoint takes the requests of another region now.")
declare("list.entry-skipped", "An entry of the list cannot be read.", Level.WARNING)
declare("operator.refused", "An operator's call was refused.", Level.WARNING)
declare("operator.unavailable", "An operator's call got no quorum.", Level.WARNING)
declare("operator.acknowledged", "An operator's order is committed.")
declare("lookup.empty", "No entry instance can be named.", Level.WARNING)
