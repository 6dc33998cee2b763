"""Stops many runs on one worker at once: `python -m bench.stops [Mbit/s]`.

The orders of the platform program go over loopback TCP to a stand-in worker in
the same process.  The stand-in models the link to the worker: it delays each
request and each response by the time that the link needs for it and for those
before it, headers of the packets included, and by a latency.  It confirms every
stop at once.

Prints the figures; exits with 1 if a stop is not confirmed within the limit.
"""

import collections
import sys
from collections.abc import Callable
from typing import Any, Final

import httptools
from twisted.internet import protocol, reactor

from guavaroad.domain.pool import outcomes, values
from guavaroad.ports import pool
from guavaroad_platform import workers

RUNS: Final = 128
LIMIT_S: Final = 0.5
LINK_MBPS: Final = 12.5
LATENCY_S: Final = 0.001
# Ethernet, IP and TCP headers of a packet, and the acknowledgement of it.
PACKET_OVERHEAD_BYTES: Final = 2 * 66
BITS_PER_MBIT: Final = 1_000_000
BITS_PER_BYTE: Final = 8
MS_PER_S: Final = 1000
# Time after which the benchmark ends without all outcomes, in seconds.
GIVE_UP_S: Final = 5
WORKER: Final = values.WorkerId('w1')
ANSWER: Final = (
    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
    b'Content-Length: 29\r\n\r\n{"ClockMs":    1000000000000}'
)
_reactor: Any = reactor


class PacedLink:
    """One direction of a link of limited capacity.

    Attributes:
        bytes_per_s: Capacity, in bytes a second.
        free_s: Time from which the link is free, in seconds.
        carried: Bytes carried so far.
    """

    def __init__(self, *, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.free_s = float(0)
        self.carried = 0

    def carry(self, size: int, on_arrival: Callable[[], object]) -> None:
        """Call back when a packet of a size in bytes has arrived."""
        total = size + PACKET_OVERHEAD_BYTES
        now_s = _reactor.seconds()
        self.free_s = max(now_s, self.free_s) + total / self.bytes_per_s
        self.carried += total
        _reactor.callLater(self.free_s + LATENCY_S - now_s, on_arrival)


class WorkerConnection(protocol.Protocol):
    """A connection to the stand-in worker."""

    # The type stubs of Twisted declare only the general transport.
    transport: Any

    def __init__(self, *, inbound: PacedLink, outbound: PacedLink) -> None:
        self.inbound = inbound
        self.outbound = outbound
        self.parser = httptools.HttpRequestParser(self)

    def connectionMade(self) -> None:
        """Send small packets at once."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        """Parse a packet when it has passed the link."""
        self.inbound.carry(len(data), lambda: self.parser.feed_data(data))

    def on_message_complete(self) -> None:
        """Confirm a stop."""
        self.outbound.carry(len(ANSWER), lambda: self.transport.write(ANSWER))


class WorkerListener(protocol.ServerFactory):
    """Accepts connections of the stand-in worker."""

    noisy = False

    def __init__(self, *, inbound: PacedLink, outbound: PacedLink) -> None:
        self.inbound = inbound
        self.outbound = outbound

    def buildProtocol(self, _: Any) -> WorkerConnection:
        """Return the protocol for a new connection."""
        return WorkerConnection(inbound=self.inbound, outbound=self.outbound)


class StopBurst:
    """Stops of all runs, and their outcomes.

    Attributes:
        outcomes: Number of outcomes of each kind.
        began_s: Time of the stops, in seconds.
        took_s: Time until the last outcome, in seconds.
    """

    def __init__(self, *, calls: workers.Workers) -> None:
        self.calls = calls
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.began_s = float(0)
        self.took_s = float(0)

    def begin(self) -> None:
        """Order all stops in one iteration of the event loop."""
        self.began_s = _reactor.seconds()
        for number in range(RUNS):
            self.calls.stop(
                WORKER,
                pool.StopOrder(
                    task=values.TaskName(format(number, '016x')),
                    number=values.RunNumber(number),
                    token=values.Token(7),
                ),
                self.record,
            )

    def record(self, outcome: outcomes.OrderOutcome) -> None:
        """Count an outcome; end after the last one."""
        match outcome:
            case outcomes.Refused(reason=reason):
                self.outcomes[reason.value] += 1
            case _:
                self.outcomes[type(outcome).__name__] += 1
        self.took_s = _reactor.seconds() - self.began_s
        if self.outcomes.total() == RUNS:
            _reactor.stop()

    def holds(self) -> bool:
        """Return whether all stops were confirmed within the limit."""
        confirmed = self.outcomes[outcomes.Accepted.__name__]
        return confirmed == RUNS and self.took_s <= LIMIT_S


def main(mbps: float = LINK_MBPS) -> bool:
    """Run the benchmark; return whether the limit is kept."""
    inbound, outbound = (
        PacedLink(bytes_per_s=mbps * BITS_PER_MBIT / BITS_PER_BYTE)
        for _ in range(2)
    )
    port = _reactor.listenTCP(
        0,
        WorkerListener(inbound=inbound, outbound=outbound),
        interface='127.0.0.1',
    )
    calls = workers.Workers(reactor=_reactor)
    host = port.getHost()
    calls.open(WORKER, f'{host.host}:{host.port}')
    burst = StopBurst(calls=calls)
    _reactor.callWhenRunning(burst.begin)
    _reactor.callLater(GIVE_UP_S, _reactor.stop)
    _reactor.run()
    took_ms = round(burst.took_s * MS_PER_S)
    print(RUNS, 'stops at', mbps, 'Mbit/s:', dict(burst.outcomes))
    print('last outcome after', took_ms, 'ms')
    print('bytes to the worker:', inbound.carried)
    print('bytes from the worker:', outbound.carried)
    return burst.holds()


if __name__ == '__main__':
    given = [float(argument) for argument in sys.argv[1:]]
    sys.exit(not main(*given))
