"""Settings for the division of slots among the instances."""

import enum
from typing import Annotated

import pydantic

from guavaroad.domain.configuration import document

_MAX_S = 3600
Seconds = Annotated[float, pydantic.Field(gt=0, le=_MAX_S)]


class SlotMode(enum.Enum):
    """How the slots of the upstreams are divided among the instances."""

    STATIC = 'static'
    TWO_CHOICES = 'two_choices'
    LEASES_UNTIL_IDLE = 'leases_until_idle'
    LEASES = 'leases'


class Slots(document.StrictModel):
    """How slots are leased.

    Attributes:
        mode: How slots are divided among the instances.
        tick_ms: How long changes are collected before they are sent.
        lease_s: How long a lease lasts without a message of the allocator.
        linger_s: How long a slot may stay idle before it is returned.
        fallback_s: How long to wait for an allocator before an equal share is
            used.
        stock: Part of an equal share that is kept even if idle.
        nearest_zones: Other zones to request slots from, the nearest first.
    """

    mode: SlotMode = SlotMode.LEASES
    tick_ms: Annotated[float, pydantic.Field(ge=0, le=1000)] = 2
    lease_s: Seconds = 6
    linger_s: Seconds = 0.1
    fallback_s: Seconds = 1
    stock: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.25
    nearest_zones: tuple[document.Name, ...] = ()
