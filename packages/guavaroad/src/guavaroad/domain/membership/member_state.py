"""What an instance believes of another."""

import enum


class MemberState(enum.Enum):
    """State of an instance in the view of another."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'
