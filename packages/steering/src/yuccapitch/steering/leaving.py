"""Notices that an endpoint is leaving, from sources with different delays."""

from __future__ import annotations

import dataclasses
import enum

from yuccapitch.catalogue import ids

CLOCK_SKEW_S = 1.0
"""Largest assumed clock difference between the platform and an endpoint."""


class NoticeSource(enum.Enum):
    """Origin of a notice about an endpoint."""

    ENDPOINT = "endpoint"
    PLATFORM = "platform"
    OPERATOR = "operator"


@dataclasses.dataclass(frozen=True)
class EndpointNotice:
    """Notice from the endpoint itself, in a load report, probe result or response."""

    endpoint_id: ids.EndpointId
    incarnation: int
    """Start time of the endpoint process, in milliseconds of its clock."""
    sequence: int
    leaving: bool


@dataclasses.dataclass(frozen=True)
class PlatformNotice:
    """Notice from an instance list published by the platform."""

    endpoint_id: ids.EndpointId
    published_at: float
    leaving: bool


@dataclasses.dataclass(frozen=True)
class OperatorNotice:
    """Notice from an operator: whether a catalogue version drains the endpoint."""

    endpoint_id: ids.EndpointId
    version: ids.Version
    leaving: bool


class LeavingTracker:
    """Newest notice of each source; one of them is enough to stop new requests."""

    def __init__(self) -> None:
        self._endpoint_notices_by_id: dict[ids.EndpointId, EndpointNotice] = {}
        self._platform_notices_by_id: dict[ids.EndpointId, PlatformNotice] = {}
        self._operator_notices_by_id: dict[ids.EndpointId, OperatorNotice] = {}

    def record_endpoint_notice(self, notice: EndpointNotice) -> bool:
        """Record a notice unless it is stale; return whether the endpoint restarted."""
        known = self._endpoint_notices_by_id.get(notice.endpoint_id)
        if known is not None and _endpoint_version(notice) <= _endpoint_version(known):
            return False
        self._endpoint_notices_by_id[notice.endpoint_id] = notice
        return known is not None and notice.incarnation > known.incarnation

    def record_platform_notice(self, notice: PlatformNotice) -> None:
        """Record a notice unless one from a newer list is known."""
        known = self._platform_notices_by_id.get(notice.endpoint_id)
        if known is None or notice.published_at > known.published_at:
            self._platform_notices_by_id[notice.endpoint_id] = notice

    def forget_platform_notice(self, endpoint_id: ids.EndpointId) -> None:
        """Discard the notice about an endpoint that no list names any more."""
        self._platform_notices_by_id.pop(endpoint_id, None)

    def record_operator_notice(self, notice: OperatorNotice) -> None:
        """Record a notice unless one from a newer catalogue version is known."""
        known = self._operator_notices_by_id.get(notice.endpoint_id)
        if known is None or notice.version > known.version:
            self._operator_notices_by_id[notice.endpoint_id] = notice

    def leaving_sources(self, endpoint_id: ids.EndpointId) -> frozenset[NoticeSource]:
        """Return the sources that report the endpoint as leaving."""
        sources = set()
        endpoint_notice = self._endpoint_notices_by_id.get(endpoint_id)
        if endpoint_notice is not None and endpoint_notice.leaving:
            sources.add(NoticeSource.ENDPOINT)
        platform_notice = self._platform_notices_by_id.get(endpoint_id)
        if platform_notice is not None and platform_notice.leaving:
            if not _is_superseded(platform_notice, endpoint_notice):
                sources.add(NoticeSource.PLATFORM)
        operator_notice = self._operator_notices_by_id.get(endpoint_id)
        if operator_notice is not None and operator_notice.leaving:
            sources.add(NoticeSource.OPERATOR)
        return frozenset(sources)

    def is_leaving(self, endpoint_id: ids.EndpointId) -> bool:
        """Return whether the endpoint gets no new requests."""
        return bool(self.leaving_sources(endpoint_id))


def _endpoint_version(notice: EndpointNotice) -> tuple[int, int]:
    return (notice.incarnation, notice.sequence)


def _is_superseded(platform: PlatformNotice, endpoint: EndpointNotice | None) -> bool:
    # The list cannot refer to a process that started after its publication.
    if endpoint is None:
        return False
    started_at = endpoint.incarnation / 1000.0
    return started_at > platform.published_at + CLOCK_SKEW_S
