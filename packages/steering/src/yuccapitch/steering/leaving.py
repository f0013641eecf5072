"""Signs that an endpoint is leaving, from several sources that lag differently."""

from __future__ import annotations

import dataclasses
import enum

from yuccapitch.catalogue import ids

CLOCK_SKEW_S = 1.0
"""Largest difference assumed between the clocks of the platform and an endpoint."""


class NoticeSource(enum.Enum):
    """Who said whether an endpoint is leaving."""

    ENDPOINT = "endpoint"
    PLATFORM = "platform"
    OPERATOR = "operator"


@dataclasses.dataclass(frozen=True)
class EndpointNotice:
    """The endpoint's own statement, on a report, probe or answer."""

    endpoint_id: ids.EndpointId
    incarnation: int
    """Start time of the endpoint process, in milliseconds of its clock."""
    sequence: int
    leaving: bool


@dataclasses.dataclass(frozen=True)
class PlatformNotice:
    """What a published list of instances says of an endpoint."""

    endpoint_id: ids.EndpointId
    published_at: float
    leaving: bool


@dataclasses.dataclass(frozen=True)
class OperatorNotice:
    """Whether a drain in a version of the catalogue covers the endpoint."""

    endpoint_id: ids.EndpointId
    version: ids.Version
    leaving: bool


class LeavingTracker:
    """The newest sign of each source; any of them suffices to stop new work."""

    def __init__(self) -> None:
        self._endpoint_notices_by_id: dict[ids.EndpointId, EndpointNotice] = {}
        self._platform_notices_by_id: dict[ids.EndpointId, PlatformNotice] = {}
        self._operator_notices_by_id: dict[ids.EndpointId, OperatorNotice] = {}

    def record_endpoint_notice(self, sign: EndpointNotice) -> bool:
        """Take an endpoint's statement; return whether it is a new incarnation."""
        known = self._endpoint_notices_by_id.get(sign.endpoint_id)
        if known is not None and _endpoint_version(sign) <= _endpoint_version(known):
            return False
        self._endpoint_notices_by_id[sign.endpoint_id] = sign
        return known is not None and sign.incarnation > known.incarnation

    def record_platform_notice(self, sign: PlatformNotice) -> None:
        """Take a list's statement unless a newer list is known."""
        known = self._platform_notices_by_id.get(sign.endpoint_id)
        if known is None or sign.published_at > known.published_at:
            self._platform_notices_by_id[sign.endpoint_id] = sign

    def record_operator_notice(self, sign: OperatorNotice) -> None:
        """Take a catalogue version's statement unless a newer version is known."""
        known = self._operator_notices_by_id.get(sign.endpoint_id)
        if known is None or sign.version > known.version:
            self._operator_notices_by_id[sign.endpoint_id] = sign

    def leaving_sources(self, endpoint_id: ids.EndpointId) -> frozenset[NoticeSource]:
        """Return the sources by which the endpoint is leaving."""
        sources = set()
        endpoint_sign = self._endpoint_notices_by_id.get(endpoint_id)
        if endpoint_sign is not None and endpoint_sign.leaving:
            sources.add(NoticeSource.ENDPOINT)
        platform_sign = self._platform_notices_by_id.get(endpoint_id)
        if platform_sign is not None and platform_sign.leaving:
            if not _is_superseded(platform_sign, endpoint_sign):
                sources.add(NoticeSource.PLATFORM)
        operator_sign = self._operator_notices_by_id.get(endpoint_id)
        if operator_sign is not None and operator_sign.leaving:
            sources.add(NoticeSource.OPERATOR)
        return frozenset(sources)

    def is_leaving(self, endpoint_id: ids.EndpointId) -> bool:
        """Return whether the endpoint gets no new work."""
        return bool(self.leaving_sources(endpoint_id))


def _endpoint_version(sign: EndpointNotice) -> tuple[int, int]:
    return (sign.incarnation, sign.sequence)


def _is_superseded(platform: PlatformNotice, endpoint: EndpointNotice | None) -> bool:
    # A process that started after the list was published is not the one it names.
    if endpoint is None:
        return False
    started_at = endpoint.incarnation / 1000.0
    return started_at > platform.published_at + CLOCK_SKEW_S
