"""A priority queue whose items change their rank."""

import heapq
from typing import Final, Generic, TypeVar

Item = TypeVar('Item', bound=str)
Rank = tuple[float, ...]

_STALE_PER_ITEM: Final = 3
_STALE_SPARE: Final = 64


class Ranking(Generic[Item]):
    """Items by rank, least first; each change takes logarithmic time.

    A changed or discarded item leaves a stale heap entry behind, which is
    dropped when it comes to the top or when stale entries prevail.
    """

    def __init__(self) -> None:
        self.ranks: dict[Item, Rank] = {}
        self.heap: list[tuple[Rank, Item]] = []

    def place(self, item: Item, rank: Rank) -> None:
        """Add an item, or change its rank."""
        if self.ranks.get(item) == rank:
            return
        self.ranks[item] = rank
        heapq.heappush(self.heap, (rank, item))
        if len(self.heap) > _STALE_SPARE + _STALE_PER_ITEM * len(self.ranks):
            self.compact()

    def discard(self, item: Item) -> None:
        """Remove an item if it is there."""
        self.ranks.pop(item, None)

    def least(self) -> Item | None:
        """Return the item of the least rank, if there is any."""
        while self.heap:
            rank, item = self.heap[0]
            if self.ranks.get(item) == rank:
                return item
            heapq.heappop(self.heap)
        return None

    def compact(self) -> None:
        """Drop every stale entry."""
        self.heap = [(rank, item) for item, rank in self.ranks.items()]
        heapq.heapify(self.heap)
