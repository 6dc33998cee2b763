"""Connections of this process to each worker."""

import dataclasses
from typing import Any, Final

from guavaroad.adapters import http_connection

# Connections for orders to one worker. A worker accepts 64 connections in total
# from all instances.
MAX_ORDER_CONNECTIONS: Final = 12
# Connections for polls to one worker: the waiting poll, an extra poll, and
# polls whose answers were lost.
MAX_POLL_CONNECTIONS: Final = 5


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerPools:
    """Connections to one worker.

    Polls have connections of their own, as they wait at the worker.
    """

    orders: http_connection.ConnectionPool
    polls: http_connection.ConnectionPool

    def close(self) -> None:
        """Close every connection."""
        self.orders.close()
        self.polls.close()


def create_pools(
    *, reactor: Any, address: str, headers: dict[str, str]
) -> WorkerPools:
    """Return pools without connections.

    Args:
        reactor: Twisted's reactor.
        address: Address of the worker, `host:port`.
        headers: Headers of every call.
    """
    orders, polls = (
        http_connection.ConnectionPool(
            reactor=reactor,
            address=address,
            max_connections=most,
            headers=headers,
        )
        for most in (MAX_ORDER_CONNECTIONS, MAX_POLL_CONNECTIONS)
    )
    return WorkerPools(orders=orders, polls=polls)
