"""Settings of how slots are divided among the instances."""

import enum
from typing import Annotated

import pydantic

from guavaroad.domain.configuration import document

_LONGEST_S = 3600
Seconds = Annotated[float, pydantic.Field(gt=0, le=_LONGEST_S)]


class SlotMode(enum.Enum):
    """How the slots of upstreams are divided among the instances."""

    STATIC = 'static'
    TWO_CHOICES = 'two_choices'
    LEASES_UNTIL_IDLE = 'leases_until_idle'
    LEASES = 'leases'


class Slots(document.StrictModel):
    """How slots are leased.

    Attributes:
        mode: Way of dividing them.
        tick_ms: Changes are collected this long before they are told.
        lease_s: Holdings last this long without a word of the allocator.
        linger_s: Slots that nobody used for so long go back.
        fallback_s: Wait for an allocator before an equal share is used.
        stock: Part of an equal share that is kept though idle.
        nearest_zones: Other zones to ask for slots, the nearest first.
    """

    mode: SlotMode = SlotMode.LEASES
    tick_ms: Annotated[float, pydantic.Field(ge=0, le=1000)] = 2
    lease_s: Seconds = 6
    linger_s: Seconds = 0.1
    fallback_s: Seconds = 1
    stock: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.25
    nearest_zones: tuple[document.Name, ...] = ()
