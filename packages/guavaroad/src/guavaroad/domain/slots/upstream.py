"""One back end that runs tasks."""

import dataclasses

from guavaroad.domain import names


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """One back end that runs tasks.

    Attributes:
        name: Unique name.
        availability_zone: Zone it is in.
        pool: Pool that jobs name.
        address: `ip:port` of its HTTP endpoint.
        slots: Tasks it runs at once.
        leaving: Whether the platform lists it as leaving.
    """

    name: names.UpstreamName
    availability_zone: names.AvailabilityZone
    pool: names.PoolName
    address: str
    slots: int
    leaving: bool = False
