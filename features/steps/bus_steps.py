"""Steps about the peer bus, on real NNG sockets and a fake clock."""

import functools
import itertools
import time
import types

import behave
import msgspec
import pynng
from twisted.internet import error, task

from guavaroad.adapters import nng_peers, peer_wire, reactor_timers
from guavaroad_standins import ports, processes


class NumberedMessage(msgspec.Struct, frozen=True, tag='test.note'):
    """A numbered message."""

    number: int


class FakeReactor:
    """The reader interface of a reactor, as the bus uses it."""

    def __init__(self):
        self.readers = []

    def addReader(self, reader):  # noqa: N802 - Twisted interface
        """Add a reader."""
        self.readers.append(reader)

    def removeReader(self, reader):  # noqa: N802 - Twisted interface
        """Remove a reader."""
        self.readers.remove(reader)


class BusUnderTest:
    """A bus on a fake clock, with the messages that it delivered."""

    def __init__(self, name):
        self.clock = task.Clock()
        self.reactor = FakeReactor()
        self.received = []
        self.raises_on = None
        self.address = f'127.0.0.1:{ports.free_port()}'
        self.bus = nng_peers.NngBus(
            reactor=self.reactor,
            timer_service=reactor_timers.ReactorTimers(clock=self.clock),
            sender=peer_wire.Sender(name, f'client-{name}', 'e1', self.address),
        )
        self.bus.subscribe(NumberedMessage, self.receive)

    def receive(self, peer, message):
        """Record a message, or raise."""
        if message.number == self.raises_on:
            raise ValueError('error requested by the test')
        self.received.append(
            (peer.incarnation.availability_zone, message.number)
        )

    def poll(self):
        """Advance the clock by one tick and read the socket."""
        self.clock.advance(nng_peers.DEFAULT_TICK_S)
        for reader in self.reactor.readers:
            reader.doRead()


def poll_all(context, condition):
    for bus in context.buses.values():
        bus.poll()
    return condition()


def poll_until(context, condition, what):
    processes.wait_until(
        functools.partial(poll_all, context, condition), what, 5
    )


def counters_of(context, name):
    return context.buses[name].bus.counters


def add_bus(context, name):
    context.buses[name] = BusUnderTest(name)
    context.add_cleanup(context.buses[name].bus.stop)


def connect(context, source, target):
    """Wait for the connection, so that one tick sends one frame."""
    bus = context.buses[source].bus
    address = context.buses[target].address
    if address not in bus.links:
        bus.links[address] = nng_peers.PeerLink(address=address)
    processes.wait_until(
        bus.links[address].connected, 'the connection is open', 5
    )


@behave.given('peer buses "{first}" and "{second}" on real sockets')
def given_buses(context, first, second):
    context.buses = {}
    for name in (first, second):
        add_bus(context, name)
        context.buses[name].bus.start()


@behave.given('peer bus "{name}" on real sockets')
def given_bus(context, name):
    context.buses = {}
    add_bus(context, name)
    context.buses[name].bus.start()
    add_bus(context, 'b')


@behave.when('peer bus "{name}" starts to listen')
def when_listens(context, name):
    context.buses[name].bus.start()


def send_messages(context, source, first, last, target):
    sender = context.buses[source]
    address = context.buses[target].address
    for number in range(first, last + 1):
        sender.bus.send(address, NumberedMessage(number=number))


@behave.when(
    'bus "{source}" sends messages {first:d} to {last:d} to "{target}" within one tick'
)
def when_sends(context, source, first, last, target):
    connect(context, source, target)
    send_messages(context, source, first, last, target)


@behave.when(
    'bus "{source}" sends messages {first:d} to {last:d} to "{target}" before it listens'
)
def when_sends_early(context, source, first, last, target):
    send_messages(context, source, first, last, target)
    context.buses[source].clock.advance(nng_peers.DEFAULT_TICK_S)


@behave.when(
    'bus "{source}" sends {count:d} messages to an address without a listener'
)
def when_sends_unreachable(context, source, count):
    sender = context.buses[source]
    unreachable = f'127.0.0.1:{ports.free_port()}'
    for number in range(count):
        sender.bus.send(unreachable, NumberedMessage(number=number))


@behave.when('the handler of bus "{name}" raises on message {number:d}')
def when_raises(context, name, number):
    context.buses[name].raises_on = number


def frame_of(message):
    sender = peer_wire.Sender('z', 'stranger', 'e9', '127.0.0.1:1')
    return peer_wire.encode_frame(sender, [msgspec.msgpack.encode(message)])


HEADER = b'GVR\x01'
NEXT_VERSION = b'GVR\x02'
MALFORMED_FRAMES = types.MappingProxyType(
    {
        'no bytes': b'',
        'text': b'GET / HTTP/1.1\r\n\r\n',
        'a frame with a broken body': bytes((*HEADER, 0x92, 0xC1)),
        'a frame with deeply nested arrays': HEADER.ljust(100_000, b'\x91'),
        'a frame of the next version': NEXT_VERSION,
        'a frame over the size limit': HEADER.ljust(
            peer_wire.MAX_FRAME_BYTES + 1
        ),
        'a message of an unknown kind': frame_of({'type': 'test.other'}),
        'a message with a wrong field': frame_of(
            {'type': 'test.note', 'number': 'seven'}
        ),
    }
)


@behave.when('an unknown peer sends {frame} to bus "{name}"')
def when_malformed_frame(context, frame, name):
    target = context.buses[name]
    with pynng.Push0(dial=f'tcp://{target.address}') as socket:
        socket.send(MALFORMED_FRAMES[frame])
        poll_until(
            context,
            lambda: target.bus.counters.frames_received,
            'the frame is received',
        )


@behave.then(
    'bus "{name}" delivers messages {first:d} to {last:d} in order from "{source}"'
)
def then_in_order(context, name, first, last, source):
    expected = [(source, number) for number in range(first, last + 1)]
    received = context.buses[name].received
    poll_until(
        context, lambda: received == expected, f'{expected} are delivered'
    )


@behave.then('bus "{name}" delivers messages 1 and 3 from "{source}"')
def then_remaining(context, name, source):
    expected = [(source, 1), (source, 3)]
    received = context.buses[name].received
    poll_until(
        context, lambda: received == expected, f'{expected} are delivered'
    )


@behave.then('bus "{name}" sent {count:d} frame')
def then_frames(context, name, count):
    assert counters_of(context, name).frames_sent == count


@behave.then('bus "{name}" counts {count:d} {reason}')
def then_counts(context, name, count, reason):
    rejected = counters_of(context, name).rejected
    assert rejected[reason] == count, rejected


@behave.then(
    'bus "{name}" has dropped {count:d} messages because the queue is full'
)
def then_full(context, name, count):
    assert counters_of(context, name).dropped_full == count


@behave.then(
    'after {seconds:d} s bus "{name}" has dropped {count:d} messages because the peer is unreachable'
)
def then_unreachable(context, seconds, name, count):
    under_test = context.buses[name]
    started = time.monotonic()
    ticks = round(seconds / nng_peers.RETRY_PERIOD_S)
    under_test.clock.pump(itertools.repeat(nng_peers.RETRY_PERIOD_S, ticks))
    assert under_test.bus.counters.dropped_unreachable == count
    assert time.monotonic() - started < 1, (
        'an unreachable peer blocked the event loop'
    )


@behave.when('another bus starts at the address of "{name}"')
def when_address_taken(context, name):
    receiver_class = nng_peers.FrameReceiver
    try:
        receiver_class(address=context.buses[name].address, on_frame=print)
    except error.CannotListenError as listen_error:
        context.listen_error = listen_error


@behave.then('it fails to listen with "Address in use"')
def then_fails_to_listen(context):
    assert 'Address in use' in str(context.listen_error), context.listen_error
