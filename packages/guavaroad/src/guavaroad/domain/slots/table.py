"""Slots that this instance may fill, by upstream and pool."""

import collections
import dataclasses
import random
from typing import Any, Final

from guavaroad.domain import names
from guavaroad.domain.slots import upstream as upstream_facts

_CHOICES: Final = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamUse:
    """This instance's use of one upstream.

    Attributes:
        upstream: The upstream.
        share: Slots this instance may fill.
        running: Slots in use: tasks that run, and slots that rest.
        consecutive_refusals: Attempts in a row that the upstream refused as
            busy.
        closed: Whether nothing may start there: leaving or ejected.
        probing: Whether one task at a time tells if it is healthy again.
    """

    upstream: upstream_facts.Upstream
    share: int
    running: int = 0
    consecutive_refusals: int = 0
    closed: bool = False
    probing: bool = False

    def free(self) -> int:
        """Return the slots that may be filled now."""
        if self.closed:
            return 0
        bound = min(1, self.share) if self.probing else self.share
        return max(0, bound - self.running)


class PoolSlots:
    """Slots of one pool.

    Attributes:
        held: Slots this instance may fill, busy ones included.
        free: Slots of those that are free.
        least_free: Least of `free` since it was last read.
        equal_share: Slots an equal division would give this instance.
        open_uses: Uses with a free slot, the longest unused first.
    """

    def __init__(self) -> None:
        self.held = 0
        self.free = 0
        self.least_free = 0
        self.equal_share = 0
        self.open_uses: collections.OrderedDict[
            names.UpstreamName, UpstreamUse
        ] = collections.OrderedDict()

    def capacity(self) -> int:
        """Return the slots by which shares of classes are counted."""
        return max(self.held, self.equal_share)

    def unused_since_last_read(self) -> int:
        """Return the slots that nobody used since the last call."""
        least = self.least_free
        self.least_free = self.free
        return least

    def withdraw(self, use: UpstreamUse) -> None:
        """Leave a use out of the counts while it changes."""
        if not use.closed:
            self.held -= use.share
        self.free -= use.free()

    def offer(self, use: UpstreamUse) -> None:
        """Count a use after it changed."""
        free = use.free()
        if not use.closed:
            self.held += use.share
        self.free += free
        self.least_free = min(self.least_free, self.free)
        name = use.upstream.name
        if free:
            self.open_uses[name] = use
        else:
            self.open_uses.pop(name, None)


class SlotTable:
    """Uses of all upstreams, with counts by pool."""

    def __init__(self, *, rng: random.Random, two_choices: bool) -> None:
        self.rng = rng
        self.two_choices = two_choices
        self.uses: dict[names.UpstreamName, UpstreamUse] = {}
        self.pools: dict[names.PoolName, PoolSlots] = {}

    def pool(self, name: names.PoolName) -> PoolSlots:
        """Return the slots of a pool."""
        known = self.pools.get(name)
        if known is None:
            known = PoolSlots()
            self.pools[name] = known
        return known

    def set_upstreams(self, listed: tuple[UpstreamUse, ...]) -> None:
        """Take a new list; running tasks and closed uses are carried over."""
        before = self.uses
        self.uses = {}
        self.pools = {}
        for use in listed:
            known = before.get(use.upstream.name, use)
            use.running = known.running
            use.closed = known.closed
            use.probing = known.probing
            self.uses[use.upstream.name] = use
            self.pool(use.upstream.pool).offer(use)

    def uses_in_zone(self, zone: names.AvailabilityZone) -> list[UpstreamUse]:
        """Return the uses of a zone's upstreams."""
        return [
            use
            for use in self.uses.values()
            if use.upstream.availability_zone == zone
        ]

    def choose(self, name: names.PoolName) -> UpstreamUse | None:
        """Return a use of the pool with a free slot, if there is one.

        The longest unused goes first, so that an upstream that answers
        faster than others gets no more work for it.
        """
        opened = self.pool(name).open_uses
        if not opened:
            return None
        if not self.two_choices:
            return next(iter(opened.values()))
        count = min(_CHOICES, len(opened))
        drawn = self.rng.sample(list(opened.values()), count)
        return min(drawn, key=lambda use: use.running)

    def acquire(self, use: UpstreamUse) -> None:
        """Count a slot as in use; the upstream goes to the back."""
        pool = self.pool(use.upstream.pool)
        pool.withdraw(use)
        pool.open_uses.pop(use.upstream.name, None)
        use.running += 1
        pool.offer(use)

    def release(self, use: UpstreamUse) -> None:
        """Count a slot as free."""
        pool = self.pool(use.upstream.pool)
        pool.withdraw(use)
        use.running -= 1
        pool.offer(use)

    def set_share(self, use: UpstreamUse, share: int) -> None:
        """Change the slots that may be filled at one upstream."""
        pool = self.pool(use.upstream.pool)
        pool.withdraw(use)
        use.share = share
        pool.offer(use)

    def set_state(
        self, use: UpstreamUse, *, closed: bool, probing: bool
    ) -> None:
        """Close or open an upstream, or let one task at a time probe it."""
        pool = self.pool(use.upstream.pool)
        pool.withdraw(use)
        use.closed = closed
        use.probing = probing
        pool.offer(use)

    def describe(self) -> list[dict[str, Any]]:
        """Return every use for the state dump."""
        return [
            {
                'name': use.upstream.name,
                'share': use.share,
                'running': use.running,
                'closed': use.closed,
                'probing': use.probing,
            }
            for use in self.uses.values()
        ]
