"""A priority queue with items whose rank can change."""

import heapq
from typing import Final, Generic, TypeVar

Item = TypeVar('Item', bound=str)
Rank = tuple[float, ...]

_STALE_PER_ITEM: Final = 3
_SPARE_ENTRIES: Final = 64


class Ranking(Generic[Item]):
    """Items ordered by rank, lowest first; updates take logarithmic time.

    A changed or discarded item leaves a stale heap entry behind, which is
    dropped when it reaches the top of the heap, or when the heap has grown
    to several times the number of items.

    Attributes:
        ranks: Present rank of each item.
        heap: Ranks with their items, stale ones included.
    """

    def __init__(self) -> None:
        self.ranks: dict[Item, Rank] = {}
        self.heap: list[tuple[Rank, Item]] = []

    def set_rank(self, item: Item, rank: Rank) -> None:
        """Add an item, or change its rank."""
        if self.ranks.get(item) == rank:
            return
        self.ranks[item] = rank
        heapq.heappush(self.heap, (rank, item))
        if len(self.heap) > _SPARE_ENTRIES + _STALE_PER_ITEM * len(self.ranks):
            self.compact()

    def discard(self, item: Item) -> None:
        """Remove an item if it is present."""
        self.ranks.pop(item, None)

    def lowest(self) -> Item | None:
        """Return the item with the lowest rank, if there is any."""
        while self.heap:
            rank, item = self.heap[0]
            if self.ranks.get(item) == rank:
                return item
            heapq.heappop(self.heap)
        return None

    def compact(self) -> None:
        """Drop all stale entries."""
        self.heap = [(rank, item) for item, rank in self.ranks.items()]
        heapq.heapify(self.heap)
