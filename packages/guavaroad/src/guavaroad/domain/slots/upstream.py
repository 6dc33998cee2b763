"""Upstreams: the back ends that run tasks."""

import dataclasses

from guavaroad.domain import names


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """A back end that runs tasks.

    Attributes:
        name: Unique name.
        availability_zone: Zone of the upstream.
        pool: Pool that jobs name to be run here.
        address: `ip:port` of its HTTP endpoint.
        slots: Number of tasks it runs at once.
        leaving: Whether the platform lists it as leaving.
    """

    name: names.UpstreamName
    availability_zone: names.AvailabilityZone
    pool: names.PoolName
    address: str
    slots: int
    leaving: bool = False
