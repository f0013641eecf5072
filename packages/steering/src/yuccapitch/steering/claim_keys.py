"""Idempotency keys of the form `<region>.<unix_ms>.<random>`."""

from __future__ import annotations

import dataclasses
import enum
import re

import result

from yuccapitch.catalogue import ids

KEY_LIFETIME_S = 600.0
CLOCK_SKEW_S = 2.0
MAX_KEY_LENGTH = 200
MAX_ATTEMPT = 1_000_000
_RANDOM_PART = re.compile(r"[A-Za-z0-9_-]{16,64}")
_DIGITS = re.compile(r"[0-9]{1,16}")


class KeyFault(enum.Enum):
    """Reason why a key or an attempt number is malformed."""

    TOO_LONG = f"key is longer than {MAX_KEY_LENGTH} characters"
    PARTS = "key is not of the form <region>.<unix_ms>.<random>"
    REGION = "region of the key is not declared"
    TIME = "time of the key is not a whole number of milliseconds"
    RANDOM = "random part of the key is not 16 to 64 of A-Z, a-z, 0-9, _ and -"
    FUTURE = f"time of the key is more than {CLOCK_SKEW_S:g} s in the future"
    ATTEMPT = f"attempt is not a whole number from 1 to {MAX_ATTEMPT}"


@dataclasses.dataclass(frozen=True)
class MalformedKey:
    """A key that holders do not accept; the request is refused."""

    fault: KeyFault


@dataclasses.dataclass(frozen=True)
class ExpiredKey:
    """A key whose records may be deleted already; the outcome is unknown."""

    age_s: float


@dataclasses.dataclass(frozen=True)
class Key:
    """A parsed key."""

    text: str
    region_id: ids.RegionId
    time_s: float


def parse(text: str, now: float) -> result.Result[Key, MalformedKey | ExpiredKey]:
    """Parse a key and check its time against `now`, a wall clock time."""
    if len(text) > MAX_KEY_LENGTH:
        return result.Err(MalformedKey(KeyFault.TOO_LONG))
    parts = text.rsplit(".", 2)
    if len(parts) != 3:
        return result.Err(MalformedKey(KeyFault.PARTS))
    region, time_ms, random_part = parts
    if not region:
        return result.Err(MalformedKey(KeyFault.REGION))
    if not _DIGITS.fullmatch(time_ms):
        return result.Err(MalformedKey(KeyFault.TIME))
    if not _RANDOM_PART.fullmatch(random_part):
        return result.Err(MalformedKey(KeyFault.RANDOM))
    key = Key(text, ids.RegionId(region), int(time_ms) / 1000)
    if key.time_s > now + CLOCK_SKEW_S:
        return result.Err(MalformedKey(KeyFault.FUTURE))
    if key.time_s < now - KEY_LIFETIME_S:
        return result.Err(ExpiredKey(now - key.time_s))
    return result.Ok(key)


def parse_attempt(text: str | None) -> result.Result[int, MalformedKey]:
    """Parse the value of the Idempotency-Attempt header; the default is 1."""
    if text is None:
        return result.Ok(1)
    if not _DIGITS.fullmatch(text) or not 1 <= int(text) <= MAX_ATTEMPT:
        return result.Err(MalformedKey(KeyFault.ATTEMPT))
    return result.Ok(int(text))
