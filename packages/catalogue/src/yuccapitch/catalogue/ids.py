"""Identifier types of the objects in a declaration."""

from __future__ import annotations

import typing

OwnerId = typing.NewType("OwnerId", str)
RegionId = typing.NewType("RegionId", str)
FailureDomainId = typing.NewType("FailureDomainId", str)
LinkId = typing.NewType("LinkId", str)
InstanceId = typing.NewType("InstanceId", str)
ServiceId = typing.NewType("ServiceId", str)
EndpointId = typing.NewType("EndpointId", str)
RouteId = typing.NewType("RouteId", str)
ShiftId = typing.NewType("ShiftId", str)
ChangeId = typing.NewType("ChangeId", str)
Version = typing.NewType("Version", int)
