"""Steps about the peer bus on real NNG sockets and a fake timer."""

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


class Note(msgspec.Struct, frozen=True, tag='test.note'):
    """A numbered message."""

    number: int


class Readers:
    """The part of a reactor that the bus uses."""

    def __init__(self):
        self.inlets = []

    def addReader(self, inlet):  # noqa: N802 - interface of Twisted
        """Take a reader."""
        self.inlets.append(inlet)

    def removeReader(self, inlet):  # noqa: N802 - as above
        """Drop a reader."""
        self.inlets.remove(inlet)


class BusUnderTest:
    """A bus with its fake timer and what it handed over."""

    def __init__(self, name):
        self.clock = task.Clock()
        self.readers = Readers()
        self.taken = []
        self.raises_on = None
        self.address = f'127.0.0.1:{ports.free_port()}'
        self.bus = nng_peers.NngBus(
            reactor=self.readers,
            timer_service=reactor_timers.ReactorTimers(clock=self.clock),
            sender=peer_wire.Sender(name, f'client-{name}', 'e1', self.address),
        )
        self.bus.subscribe(Note, self.take)

    def take(self, peer, note):
        """Keep a note, or raise."""
        if note.number == self.raises_on:
            raise ValueError('asked to raise')
        self.taken.append((peer.incarnation.availability_zone, note.number))

    def poll(self):
        """Let one tick pass."""
        self.clock.advance(nng_peers.DEFAULT_TICK_S)
        for inlet in self.readers.inlets:
            inlet.doRead()


def polled(context, condition):
    for one in context.buses.values():
        one.poll()
    return condition()


def poll_until(context, condition, what):
    processes.wait_until(functools.partial(polled, context, condition), what, 5)


def counters_of(context, name):
    return context.buses[name].bus.counters


def add_bus(context, name):
    context.buses[name] = BusUnderTest(name)
    context.add_cleanup(context.buses[name].bus.stop)


def connect(context, source, target):
    """Dial and wait for the connection, so that one tick is one frame."""
    bus = context.buses[source].bus
    address = context.buses[target].address
    if address not in bus.links:
        bus.links[address] = nng_peers.Link(address=address)
    processes.wait_until(bus.links[address].connected, 'connection is up', 5)


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


def send_notes(context, source, first, last, target):
    sender = context.buses[source]
    address = context.buses[target].address
    for number in range(first, last + 1):
        sender.bus.send(address, Note(number=number))


@behave.when(
    'bus "{source}" sends notes {first:d} to {last:d} to "{target}" within one tick'
)
def when_sends(context, source, first, last, target):
    connect(context, source, target)
    send_notes(context, source, first, last, target)


@behave.when(
    'bus "{source}" sends notes {first:d} to {last:d} to "{target}" before it listens'
)
def when_sends_early(context, source, first, last, target):
    send_notes(context, source, first, last, target)
    context.buses[source].clock.advance(nng_peers.DEFAULT_TICK_S)


@behave.when(
    'bus "{source}" sends {count:d} notes to an address where nobody listens'
)
def when_sends_nowhere(context, source, count):
    sender = context.buses[source]
    nowhere = f'127.0.0.1:{ports.free_port()}'
    for number in range(count):
        sender.bus.send(nowhere, Note(number=number))


@behave.when('the handler of bus "{name}" raises on note {number:d}')
def when_raises(context, name, number):
    context.buses[name].raises_on = number


def frame_of(message):
    sender = peer_wire.Sender('z', 'stranger', 'e9', '127.0.0.1:1')
    return peer_wire.encode_frame(sender, [msgspec.msgpack.encode(message)])


HEAD = b'GVR\x01'
NEXT_VERSION = b'GVR\x02'
STRANGE_FRAMES = types.MappingProxyType(
    {
        'no bytes': b'',
        'text': b'GET / HTTP/1.1\r\n\r\n',
        'a frame with a broken body': bytes((*HEAD, 0x92, 0xC1)),
        'a frame with deeply nested arrays': HEAD.ljust(100_000, b'\x91'),
        'a frame of the next version': NEXT_VERSION,
        'a frame over the size limit': HEAD.ljust(
            peer_wire.MAX_FRAME_BYTES + 1
        ),
        'a message of an unknown kind': frame_of({'type': 'test.other'}),
        'a note with a wrong field': frame_of(
            {'type': 'test.note', 'number': 'seven'}
        ),
    }
)


@behave.when('a stranger sends {frame} to bus "{name}"')
def when_stranger(context, frame, name):
    target = context.buses[name]
    with pynng.Push0(dial=f'tcp://{target.address}') as stranger:
        stranger.send(STRANGE_FRAMES[frame])
        poll_until(
            context,
            lambda: target.bus.counters.frames_received,
            'the frame came in',
        )


@behave.then(
    'bus "{name}" hands over notes {first:d} to {last:d} in order from "{source}"'
)
def then_in_order(context, name, first, last, source):
    expected = [(source, number) for number in range(first, last + 1)]
    taken = context.buses[name].taken
    poll_until(context, lambda: taken == expected, f'{expected} are taken')


@behave.then('bus "{name}" hands over notes 1 and 3 from "{source}"')
def then_others(context, name, source):
    expected = [(source, 1), (source, 3)]
    taken = context.buses[name].taken
    poll_until(context, lambda: taken == expected, f'{expected} are taken')


@behave.then('bus "{name}" sent {count:d} frame')
def then_frames(context, name, count):
    assert counters_of(context, name).frames_sent == count


@behave.then('bus "{name}" counts {count:d} {reason}')
def then_counts(context, name, count, reason):
    rejected = counters_of(context, name).rejected
    assert rejected[reason] == count, rejected


@behave.then('bus "{name}" has dropped {count:d} notes as full')
def then_full(context, name, count):
    assert counters_of(context, name).dropped_full == count


@behave.then(
    'after {seconds:d} s bus "{name}" has dropped {count:d} notes as unreachable'
)
def then_unreachable(context, seconds, name, count):
    under_test = context.buses[name]
    started = time.monotonic()
    ticks = round(seconds / nng_peers.RETRY_TICK_S)
    under_test.clock.pump(itertools.repeat(nng_peers.RETRY_TICK_S, ticks))
    assert under_test.bus.counters.dropped_unreachable == count
    assert time.monotonic() - started < 1, 'a dead peer blocked the loop'


@behave.when('another bus starts at the address of "{name}"')
def when_taken(context, name):
    rival = nng_peers.Inlet
    try:
        rival(address=context.buses[name].address, take=print)
    except error.CannotListenError as refused:
        context.refused = refused


@behave.then("it says that it can't listen")
def then_cannot_listen(context):
    assert 'Address in use' in str(context.refused), context.refused
