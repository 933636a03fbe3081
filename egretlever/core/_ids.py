"""Identifiers and units shared by all packages."""

from typing import NewType

NodeId = NewType("NodeId", str)
HostName = NewType("HostName", str)
FailureDomain = NewType("FailureDomain", str)
RegionName = NewType("RegionName", str)
ServerId = NewType("ServerId", str)
ServiceName = NewType("ServiceName", str)
CallerId = NewType("CallerId", str)
CustomerId = NewType("CustomerId", str)
RouteId = NewType("RouteId", str)
RankName = NewType("RankName", str)
OrderKey = NewType("OrderKey", str)
RequestId = NewType("RequestId", str)
EditId = NewType("EditId", str)
Digest = NewType("Digest", str)

Version = NewType("Version", int)
StoreEra = NewType("StoreEra", int)
Incarnation = NewType("Incarnation", int)

Seconds = NewType("Seconds", float)
"""A duration, or a reading of the runtime's monotonic clock, in seconds."""
