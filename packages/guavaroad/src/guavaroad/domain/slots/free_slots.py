"""Slots of a zone's upstreams and how many of them are held."""

from collections.abc import Mapping

from guavaroad.domain.slots import upstream


class FreeSlots:
    """Counts of held slots by upstream, from which free slots follow.

    Attributes:
        in_grace_period: Whether holders may have slots that they have not
            reported to this allocator yet.
        returned: Slots by upstream that holders returned to this allocator;
            only these are certain to be free during the grace period.
        upstreams: Upstreams of the zone by name.
        held: Slots held by all holders, by upstream.
    """

    def __init__(self) -> None:
        self.in_grace_period = True
        self.returned: dict[str, int] = {}
        self.upstreams: dict[str, upstream.Upstream] = {}
        self.held: dict[str, int] = {}

    def set_upstreams(self, listed: tuple[upstream.Upstream, ...]) -> None:
        """Replace the zone's upstreams."""
        self.upstreams = {source.name: source for source in listed}

    def change(self, counts: Mapping[str, int], sign: int) -> None:
        """Change the counts of held slots.

        Args:
            counts: Slots by upstream.
            sign: 1 to add the slots, -1 to subtract them.
        """
        for name, count in counts.items():
            before = self.held.get(name, 0)
            self.held[name] = before + sign * count

    def record_returned(self, returned: Mapping[str, int]) -> None:
        """Record slots that a holder returned during the grace period."""
        if self.in_grace_period:
            for name, count in returned.items():
                before = self.returned.get(name, 0)
                self.returned[name] = before + count

    def grant(self, name: str) -> None:
        """Count one more slot of an upstream as held."""
        self.change({name: 1}, 1)
        if self.in_grace_period:
            self.returned[name] -= 1

    def free_at(self, source: upstream.Upstream) -> int:
        """Return the number of slots of an upstream that may be granted."""
        if source.leaving:
            return 0
        free = source.slots - self.held.get(source.name, 0)
        if self.in_grace_period:
            return min(free, self.returned.get(source.name, 0))
        return free

    def pools(self) -> tuple[str, ...]:
        """Return the pools of the upstreams."""
        return tuple({source.pool for source in self.upstreams.values()})

    def choose(self, pool: str, refused: tuple[str, ...]) -> str | None:
        """Return the upstream of a pool with the most free slots.

        Args:
            pool: The pool.
            refused: Names of upstreams to leave out.

        Returns:
            Name of the upstream, or None if no slot is free.
        """
        free = {
            name: self.free_at(source)
            for name, source in self.upstreams.items()
            if source.pool == pool
        }
        for name in refused:
            free.pop(name, None)
        best = max(free, key=free.__getitem__, default=None)
        if best is None or free[best] <= 0:
            return None
        return best

    def has_pool_slots(self, held: Mapping[str, int], pool: str) -> bool:
        """Return whether the held slots include one of a pool.

        Args:
            held: Slots by upstream.
            pool: The pool.

        Returns:
            Whether an upstream of the pool is among them.
        """
        return any(
            held.get(name)
            for name, source in self.upstreams.items()
            if source.pool == pool
        )

    def excess(self) -> dict[str, int]:
        """Return the held slots that exceed those of their upstream."""
        return {
            name: self.held.get(name, 0) - source.slots
            for name, source in self.upstreams.items()
            if self.held.get(name, 0) > source.slots
        }
