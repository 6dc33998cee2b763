"""A TCP proxy on loopback whose lines are delayed, cut one way, reset or silent.

It runs on a loop in a thread of its own; every call may come from any thread.
"""

import asyncio
import collections
import dataclasses
import threading
from collections.abc import Callable

QUEUE = 512


def unchanged(data):
    """Return what came as it came."""
    return data


@dataclasses.dataclass(slots=True, kw_only=True)
class LineFaults:
    """What goes wrong on the lines of a route.

    Attributes:
        delay_s: Bytes take this much longer, either way.
        stalls_requests: Bytes towards the target are held up.
        stalls_answers: Bytes back are held up.
        rewrite: Changes the bytes that come back.
    """

    delay_s: float = 0
    stalls_requests: bool = False
    stalls_answers: bool = False
    rewrite: Callable[[bytes], bytes] = unchanged


class Side(asyncio.Protocol):
    """One end of a proxied connection; its bytes go out at the other end.

    Attributes:
        route: Route that the connection belongs to.
        is_dialler: Whether this end faces who has dialled.
        other: The other end.
        is_silent: Whether it passes nothing on for good.
    """

    def __init__(self, route, *, is_dialler):
        self.route = route
        self.is_dialler = is_dialler
        self.other = None
        self.transport = None
        self.is_silent = False
        self.is_ending = False
        self.dialling = None
        self.held = collections.deque()

    def connection_made(self, transport):
        """Dial on, or let what has come go out."""
        self.transport = transport
        self.route.sides.add(self)
        if self.is_dialler:
            self.other = Side(self.route, is_dialler=False)
            self.other.other = self
            self.dialling = asyncio.ensure_future(self.dial())
        else:
            self.other.flush()

    async def dial(self):
        """Connect to the target; a failure resets the line."""
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self.other, *self.route.target)
        except OSError:
            self.transport.abort()

    def data_received(self, data):
        """Hold bytes until they are due."""
        faults = self.route.faults
        if not self.is_dialler:
            data = faults.rewrite(data)
        due_s = asyncio.get_running_loop().time() + faults.delay_s
        self.held.append((due_s, data))
        self.flush()

    def is_stalled(self):
        """Return whether bytes of this end are held up."""
        faults = self.route.faults
        if self.is_dialler:
            return self.is_silent or faults.stalls_requests
        return self.is_silent or faults.stalls_answers

    def flush(self):
        """Pass on what is due; look again when more is."""
        loop = asyncio.get_running_loop()
        outlet = self.other.transport
        while self.held and outlet is not None and not self.is_stalled():
            due_s, data = self.held[0]
            if due_s > loop.time():
                loop.call_at(due_s, self.flush)
                return
            self.held.popleft()
            outlet.write(data)
        if self.is_ending and not self.held and outlet is not None:
            outlet.close()

    def connection_lost(self, _):
        """Close the other end when what is held has gone out."""
        self.route.sides.discard(self)
        self.is_ending = True
        self.flush()


class Route:
    """An address that leads to another one.

    Attributes:
        target: Where it leads.
        faults: What goes wrong on its lines.
        sides: Ends of its open connections.
    """

    def __init__(self, proxy, target):
        self.proxy = proxy
        self.target = target
        self.faults = LineFaults()
        self.sides = set()

    def change(self, **faults):
        """Put faults on every line, or lift them when none is named."""
        self.proxy.call(self.apply, LineFaults(**faults))

    def apply(self, faults):
        """Take faults, and pass on what they no longer hold up."""
        self.faults = faults
        for side in tuple(self.sides):
            side.flush()

    def reset(self):
        """Reset every open connection."""
        self.proxy.call(self.abort_all)

    def abort_all(self):
        """Reset every open connection, on the loop."""
        for side in tuple(self.sides):
            side.transport.abort()

    def silence(self):
        """Let every open connection pass nothing on any more."""
        self.proxy.call(self.silence_all)

    def silence_all(self):
        """Silence every open connection, on the loop."""
        for side in self.sides:
            side.is_silent = True


class Proxy:
    """Routes on one loop."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()

    def call(self, action, *given):
        """Run a function on the loop, and wait for it."""
        return asyncio.run_coroutine_threadsafe(
            run(action, given), self.loop
        ).result()

    def add(self, listen, target):
        """Lead one address to another; return the route."""
        route = Route(self, target)
        asyncio.run_coroutine_threadsafe(
            self.loop.create_server(
                lambda: Side(route, is_dialler=True), *listen, backlog=QUEUE
            ),
            self.loop,
        ).result()
        return route

    def close(self):
        """End every line."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()


async def run(action, given):
    """Run a function as a task of the loop."""
    return action(*given)
