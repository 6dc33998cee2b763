"""Slots of a zone's upstreams that nobody holds."""

from collections.abc import Mapping

from guavaroad.domain.slots import upstream


class FreeSlots:
    """Slots and holdings by upstream.

    Attributes:
        surrendered: Slots that holders gave back to this allocator; only
            these are free for certain while `waiting`.
        waiting: Whether holders may not have announced everything yet.
    """

    def __init__(self) -> None:
        self.waiting = True
        self.surrendered: dict[str, int] = {}
        self.upstreams: dict[str, upstream.Upstream] = {}
        self.held: dict[str, int] = {}

    def list_upstreams(self, listed: tuple[upstream.Upstream, ...]) -> None:
        """Take the zone's upstreams."""
        self.upstreams = {known.name: known for known in listed}

    def change(self, counts: Mapping[str, int], sign: int) -> None:
        """Add slots to those held, or take them off."""
        for name, count in counts.items():
            before = self.held.get(name, 0)
            self.held[name] = before + sign * count

    def surrender(self, returned: Mapping[str, int]) -> None:
        """Note slots that a holder gave back."""
        if self.waiting:
            for name, count in returned.items():
                before = self.surrendered.get(name, 0)
                self.surrendered[name] = before + count

    def grant(self, name: str) -> None:
        """Count one more slot as held."""
        self.change({name: 1}, 1)
        if self.waiting:
            self.surrendered[name] -= 1

    def free_at(self, known: upstream.Upstream) -> int:
        """Return the slots of an upstream that may be granted."""
        if known.leaving:
            return 0
        free = known.slots - self.held.get(known.name, 0)
        if self.waiting:
            return min(free, self.surrendered.get(known.name, 0))
        return free

    def pools(self) -> tuple[str, ...]:
        """Return the pools of the upstreams."""
        return tuple({known.pool for known in self.upstreams.values()})

    def choose(self, pool: str, refused: tuple[str, ...]) -> str | None:
        """Return the upstream of a pool with the most free slots.

        Args:
            pool: The pool.
            refused: Upstreams to leave out.

        Returns:
            Its name; none if nothing is free.
        """
        free = {
            name: self.free_at(known)
            for name, known in self.upstreams.items()
            if known.pool == pool
        }
        for name in refused:
            free.pop(name, None)
        freest = max(free, key=free.__getitem__, default=None)
        if freest is None or free[freest] <= 0:
            return None
        return freest

    def holds_any(self, held: Mapping[str, int], pool: str) -> bool:
        """Return whether holdings have a slot of a pool."""
        return any(
            held.get(name)
            for name, known in self.upstreams.items()
            if known.pool == pool
        )

    def excess(self) -> dict[str, int]:
        """Return the slots held beyond what each upstream has."""
        return {
            name: self.held.get(name, 0) - known.slots
            for name, known in self.upstreams.items()
            if self.held.get(name, 0) > known.slots
        }
