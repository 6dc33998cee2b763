"""A TCP proxy on loopback that can delay, stall or reset connections.

It runs on an event loop in its own thread; its public methods may be called
from any thread.
"""

import asyncio
import collections
import dataclasses
import threading
from collections.abc import Callable

LISTEN_BACKLOG = 512


def unchanged(data):
    """Return the data unchanged."""
    return data


@dataclasses.dataclass(slots=True, kw_only=True)
class RouteFaults:
    """Faults of the connections of a route.

    Attributes:
        delay_s: Additional delay in each direction, in seconds.
        stalls_requests: Whether bytes to the target are held back.
        stalls_responses: Whether bytes from the target are held back.
        rewrite: Changes the bytes from the target.
    """

    delay_s: float = 0
    stalls_requests: bool = False
    stalls_responses: bool = False
    rewrite: Callable[[bytes], bytes] = unchanged


class Endpoint(asyncio.Protocol):
    """One end of a proxied connection; forwards its bytes to the other end.

    Attributes:
        route: Route that the connection belongs to.
        is_client_side: Whether this end faces the client.
        other: The other end.
        is_stopped: Whether it forwards nothing any more.
    """

    def __init__(self, route, *, is_client_side):
        self.route = route
        self.is_client_side = is_client_side
        self.other = None
        self.transport = None
        self.is_stopped = False
        self.is_ending = False
        self.connecting = None
        self.buffer = collections.deque()

    def connection_made(self, transport):
        """Connect to the target, or forward what the client has sent."""
        self.transport = transport
        self.route.endpoints.add(self)
        if self.is_client_side:
            self.other = Endpoint(self.route, is_client_side=False)
            self.other.other = self
            self.connecting = asyncio.ensure_future(self.connect())
        else:
            self.other.flush()

    async def connect(self):
        """Connect to the target; a failure resets the client's connection."""
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self.other, *self.route.target)
        except OSError:
            self.transport.abort()

    def data_received(self, data):
        """Buffer bytes until their delay has passed."""
        faults = self.route.faults
        if not self.is_client_side:
            data = faults.rewrite(data)
        due_s = asyncio.get_running_loop().time() + faults.delay_s
        self.buffer.append((due_s, data))
        self.flush()

    def is_stalled(self):
        """Return whether bytes from this end are held back."""
        faults = self.route.faults
        if self.is_client_side:
            return self.is_stopped or faults.stalls_requests
        return self.is_stopped or faults.stalls_responses

    def flush(self):
        """Forward the bytes that are due; schedule a call for the others."""
        loop = asyncio.get_running_loop()
        outlet = self.other.transport
        while self.buffer and outlet is not None and not self.is_stalled():
            due_s, data = self.buffer[0]
            if due_s > loop.time():
                loop.call_at(due_s, self.flush)
                return
            self.buffer.popleft()
            outlet.write(data)
        if self.is_ending and not self.buffer and outlet is not None:
            outlet.close()

    def connection_lost(self, _):
        """Close the other end after the buffered bytes are forwarded."""
        self.route.endpoints.discard(self)
        self.is_ending = True
        self.flush()


class Route:
    """An address that is forwarded to another address.

    Attributes:
        target: Address to which it forwards.
        faults: Faults of its connections.
        endpoints: Ends of its open connections.
    """

    def __init__(self, proxy, target):
        self.proxy = proxy
        self.target = target
        self.faults = RouteFaults()
        self.endpoints = set()

    def set_faults(self, **faults):
        """Set the faults of all connections; clear those not given."""
        self.proxy.call(self.apply, RouteFaults(**faults))

    def apply(self, faults):
        """Apply faults, and forward the bytes that are no longer held back."""
        self.faults = faults
        for endpoint in tuple(self.endpoints):
            endpoint.flush()

    def reset(self):
        """Reset every open connection."""
        self.proxy.call(self.abort_all)

    def abort_all(self):
        """Reset every open connection; runs on the loop."""
        for endpoint in tuple(self.endpoints):
            endpoint.transport.abort()

    def stall_open_connections(self):
        """Stop forwarding on every open connection, permanently."""
        self.proxy.call(self.stop_all)

    def stop_all(self):
        """Stop forwarding on every open connection; runs on the loop."""
        for endpoint in self.endpoints:
            endpoint.is_stopped = True


class Proxy:
    """Routes on one event loop."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()

    def call(self, action, *arguments):
        """Run a function on the loop, and wait for it."""
        return asyncio.run_coroutine_threadsafe(
            run(action, arguments), self.loop
        ).result()

    def add(self, listen, target):
        """Forward one address to another; return the route."""
        route = Route(self, target)
        asyncio.run_coroutine_threadsafe(
            self.loop.create_server(
                lambda: Endpoint(route, is_client_side=True),
                *listen,
                backlog=LISTEN_BACKLOG,
            ),
            self.loop,
        ).result()
        return route

    def close(self):
        """Stop the event loop and its thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()


async def run(action, arguments):
    """Run a function as a task of the loop."""
    return action(*arguments)
