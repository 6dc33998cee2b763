"""States of the failure detector."""

import enum


class MemberState(enum.Enum):
    """State of an instance, as evaluated by another one."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'
