"""Settings of the collector of cyclic garbage."""

import gc
from typing import Final

# Allocated objects between two collections. With the default of 700, they take
# several percent of the processor time under load.
COLLECTION_THRESHOLD: Final = 20_000


def collect() -> None:
    """Free the objects in reference cycles that are no longer in use.

    The usual collections come too seldom for an idle process.
    """
    gc.collect()


def exempt_startup_objects() -> None:
    """Let no collection visit what the start has created, since it lasts."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECTION_THRESHOLD)
