"""Slots that this instance may fill, by upstream and pool."""

import collections
import dataclasses
import random
from typing import Any, Final

from guavaroad.domain import names
from guavaroad.domain.slots import upstream as upstream_facts

_SAMPLE_SIZE: Final = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamUse:
    """This instance's use of one upstream.

    Attributes:
        upstream: The upstream.
        share: Number of slots that this instance may fill.
        running: Number of slots in use, by running tasks or resting.
        consecutive_refusals: Attempts in a row that the upstream refused as
            busy.
        closed: Whether no task may start there: it is leaving or ejected.
        probing: Whether only one task at a time may start there, to find out
            whether the upstream is healthy again.
    """

    upstream: upstream_facts.Upstream
    share: int
    running: int = 0
    consecutive_refusals: int = 0
    closed: bool = False
    probing: bool = False

    def free(self) -> int:
        """Return the number of slots that may be filled now."""
        if self.closed:
            return 0
        bound = min(1, self.share) if self.probing else self.share
        return max(0, bound - self.running)


class PoolSlots:
    """Counts of the slots of one pool.

    Attributes:
        held: Slots that this instance may fill, those in use included.
        free: Number of these that are free.
        min_free: Minimum of `free` since `unused_since_last_read` was called.
        equal_share: Slots that an equal division would give this instance.
        open_uses: Uses with a free slot, least recently used first.
    """

    def __init__(self) -> None:
        self.held = 0
        self.free = 0
        self.min_free = 0
        self.equal_share = 0
        self.open_uses: collections.OrderedDict[
            names.UpstreamName, UpstreamUse
        ] = collections.OrderedDict()

    def capacity(self) -> int:
        """Return the slots from which shares of classes are computed."""
        return max(self.held, self.equal_share)

    def unused_since_last_read(self) -> int:
        """Return the slots that were free all the time since the last call."""
        unused = self.min_free
        self.min_free = self.free
        return unused

    def exclude(self, use: UpstreamUse) -> None:
        """Subtract a use from the counts before it changes."""
        if not use.closed:
            self.held -= use.share
        self.free -= use.free()

    def include(self, use: UpstreamUse) -> None:
        """Add a use to the counts after it changed."""
        free = use.free()
        if not use.closed:
            self.held += use.share
        self.free += free
        self.min_free = min(self.min_free, self.free)
        name = use.upstream.name
        if free:
            self.open_uses[name] = use
        else:
            self.open_uses.pop(name, None)


class SlotTable:
    """Uses of all upstreams, with counts by pool.

    Attributes:
        rng: Random source of `choose`.
        two_choices: Whether `choose` takes the less loaded of two random uses
            in place of the least recently used one.
        uses: Uses by upstream.
        pools: Counts by pool.
    """

    def __init__(self, *, rng: random.Random, two_choices: bool) -> None:
        self.rng = rng
        self.two_choices = two_choices
        self.uses: dict[names.UpstreamName, UpstreamUse] = {}
        self.pools: dict[names.PoolName, PoolSlots] = {}

    def pool(self, name: names.PoolName) -> PoolSlots:
        """Return the counts of a pool, created on first use."""
        slots = self.pools.get(name)
        if slots is None:
            slots = PoolSlots()
            self.pools[name] = slots
        return slots

    def set_upstreams(self, listed: tuple[UpstreamUse, ...]) -> None:
        """Replace the uses; slots in use and states are carried over."""
        before = self.uses
        self.uses = {}
        self.pools = {}
        for use in listed:
            previous = before.get(use.upstream.name, use)
            use.running = previous.running
            use.closed = previous.closed
            use.probing = previous.probing
            self.uses[use.upstream.name] = use
            self.pool(use.upstream.pool).include(use)

    def uses_in_zone(self, zone: names.AvailabilityZone) -> list[UpstreamUse]:
        """Return the uses of a zone's upstreams."""
        return [
            use
            for use in self.uses.values()
            if use.upstream.availability_zone == zone
        ]

    def choose(self, name: names.PoolName) -> UpstreamUse | None:
        """Return a use of a pool with a free slot, if there is one.

        The least recently used upstream goes first, so that an upstream that
        answers faster than others does not get more work for it.
        """
        open_uses = self.pool(name).open_uses
        if not open_uses:
            return None
        if not self.two_choices:
            return next(iter(open_uses.values()))
        count = min(_SAMPLE_SIZE, len(open_uses))
        drawn = self.rng.sample(list(open_uses.values()), count)
        return min(drawn, key=lambda use: use.running)

    def acquire(self, use: UpstreamUse) -> None:
        """Count a slot as in use and mark the upstream as recently used."""
        pool = self.pool(use.upstream.pool)
        pool.exclude(use)
        pool.open_uses.pop(use.upstream.name, None)
        use.running += 1
        pool.include(use)

    def release(self, use: UpstreamUse) -> None:
        """Count a slot as free."""
        pool = self.pool(use.upstream.pool)
        pool.exclude(use)
        use.running -= 1
        pool.include(use)

    def set_share(self, use: UpstreamUse, share: int) -> None:
        """Change the number of slots that may be filled at an upstream."""
        pool = self.pool(use.upstream.pool)
        pool.exclude(use)
        use.share = share
        pool.include(use)

    def set_state(
        self, use: UpstreamUse, *, closed: bool, probing: bool
    ) -> None:
        """Set whether tasks may start at an upstream.

        Args:
            use: Use of the upstream.
            closed: Whether no task may start there.
            probing: Whether only one task at a time may start there.
        """
        pool = self.pool(use.upstream.pool)
        pool.exclude(use)
        use.closed = closed
        use.probing = probing
        pool.include(use)

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
