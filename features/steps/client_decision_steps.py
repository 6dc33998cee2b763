"""Steps for decisions about clients outside the limits."""

import functools
import types

import behave
from twisted.internet import task, testing

from guavaroad.adapters import (
    client_guard,
    http_listener,
    listening_ports,
    reactor_timers,
    server_connection,
)
from guavaroad.domain import client_limits
from support import crowds

MAX_TURNS = 10_000


class Transport(testing.StringTransport):
    """Transport of a TCP connection that records what is written.

    Attributes:
        on_write: Called after the next write.
    """

    def __init__(self):
        super().__init__()
        self.on_write = None

    def write(self, data):
        """Record what is written."""
        super().write(data)
        action = self.on_write
        self.on_write = None
        if action is not None:
            action()

    def setTcpNoDelay(self, _):  # noqa: N802
        """Do nothing."""

    def statuses(self):
        """Return the statuses of the answers."""
        parts = self.value().split(b'HTTP/1.1 ')[1:]
        return [int(part[:3]) for part in parts]


def connect(context):
    """Return a new connection to the listener."""
    connection = context.listener.buildProtocol(None)
    connection.makeConnection(Transport())
    context.clients.append(connection)
    return connection


def answered(context):
    """Return the number of answers to the clients."""
    return sum(len(client.transport.statuses()) for client in context.clients)


def is_disconnected(client):
    """Return whether the listener has closed a connection."""
    return client.transport.disconnecting


def answer(request):
    """Answer a request."""
    request.answer(http_listener.Answer(status=200))


@behave.given('clients {names} that hold {sizes} bytes')
def given_holders(context, names, sizes):
    context.held = client_limits.HeldBytes()
    for name, size in zip(names.split(', '), sizes.split(', '), strict=True):
        context.held.set_held(name, int(size))


@behave.then('over a limit of {limit:d} bytes no client is refused')
def then_none_refused(context, limit):
    assert context.held.largest(limit) == []


@behave.then('over a limit of {limit:d} bytes clients {names} are refused')
def then_refused(context, limit, names):
    assert context.held.largest(limit) == names.split(', ')


@behave.given('open connections that are {states}')
def given_connections(context, states):
    context.states = [
        (client_limits.Activity[kind.upper()], int(since), int(since))
        for kind, _, since, _ in map(str.split, states.split(', '))
    ]


@behave.then('connections are closed in the order {order}')
def then_order(context, order):
    expected = list(map(int, order.split(', ')))
    closed = client_limits.first_to_close(context.states, len(context.states))
    assert closed == expected, closed


@behave.then(
    'a machine with {mb:d} MB and {fds:d} descriptors holds {held:d} bytes on {count:d} connections'
)
def then_limits(context, mb, fds, held, count):
    machine = types.SimpleNamespace(memory_mb=mb, max_fds=fds)
    limits = client_limits.limits_of(machine)
    assert limits.held_limit(16_384, 262_144) == held
    assert limits.connections == count


@behave.given('a listener whose handler answers at once')
def given_listener(context):
    context.clock = task.Clock()
    context.clients = []
    context.listener = http_listener.HttpListener(
        handler=answer,
        bounds=http_listener.Bounds(),
        timer_service=reactor_timers.ReactorTimers(clock=context.clock),
    )


@behave.given('a listener whose handler answers later')
def given_later(context):
    given_listener(context)
    context.requests = []
    context.listener.handler = context.requests.append


@behave.when('a body of {size:d} bytes arrives in chunks of 1 byte')
def when_small_chunks(context, size):
    client = connect(context)
    client.dataReceived(crowds.CHUNKED)
    client.dataReceived(crowds.ONE_BYTE_CHUNK * size)
    client.dataReceived(b'0\r\n\r\n')


@behave.when('all turns are over')
def when_all_turns(context):
    for _ in range(MAX_TURNS):
        if not context.clock.getDelayedCalls():
            break
        context.clock.advance(0)


@behave.then('{count:d} request is answered')
@behave.then('{count:d} requests are answered')
def then_answered(context, count):
    assert answered(context) == count, answered(context)


@behave.when('{count:d} clients send {number:d} requests at once')
def when_pipelined(context, count, number):
    context.sent = count * number + 1
    for _ in range(count):
        connect(context).dataReceived(crowds.GET * number)


@behave.when('{count:d} clients send {number:d} chunks of 1 byte at once')
def when_chunks(context, count, number):
    chunks = crowds.ONE_BYTE_CHUNK * number
    for _ in range(count):
        connect(context).dataReceived(crowds.CHUNKED + chunks)


@behave.then('at most {limit:d} requests are answered')
def then_at_most(context, limit):
    context.answered = answered(context)
    assert context.answered <= limit, context.answered


@behave.then('at most {limit:d} bytes of bodies are parsed')
def then_parsed(context, limit):
    parsed = sum(len(client.receiver.body) for client in context.clients)
    assert parsed <= limit, parsed


@behave.then('an ordinary request of another client is answered at once')
def then_ordinary(context):
    client = connect(context)
    client.dataReceived(crowds.GET)
    assert client.transport.statuses() == [200]


@behave.then('after a turn at most {limit:d} more requests are answered')
def then_more(context, limit):
    # The fake clock would also run the turns after it.
    context.listener.guard.run_turns()
    more = answered(context) - context.answered
    assert 0 < more <= limit, more


@behave.then('after all turns every request is answered')
def then_all(context):
    when_all_turns(context)
    assert answered(context) == context.sent, answered(context)


@behave.when('a client whose answers are unread sends a request')
def when_unread(context):
    client = connect(context)
    client.transport.producer.pauseProducing()
    client.dataReceived(crowds.GET)


@behave.then('once its answers are read {count:d} request is answered')
def then_read(context, count):
    context.clients[0].transport.producer.resumeProducing()
    when_all_turns(context)
    then_answered(context, count)


@behave.when('a client sends a request, and then what is no request')
def when_malformed(context):
    client = connect(context)
    client.dataReceived(crowds.GET)
    client.dataReceived(b'?\r\n\r\n')


@behave.then('it gets {first:d} and {second:d} once the first one is answered')
def then_both(context, first, second):
    client = context.clients[0]
    assert not client.transport.statuses()
    answer(context.requests[0])
    assert client.transport.statuses() == [first, second]


@behave.when(
    'bodies arrive at {slow:d} and at {fast:d} bytes a second for {seconds:d} s'
)
def when_rates(context, slow, fast, seconds):
    clients = [connect(context), connect(context)]
    for client in clients:
        client.dataReceived(crowds.HEAD)
        client.dataReceived(b'Content-Length: 262144\r\n\r\n')
    for _ in range(seconds):
        context.clock.advance(1)
        for client, rate in zip(clients, (slow, fast), strict=True):
            client.dataReceived(b'x' * rate)
        context.clock.advance(0)
        context.listener.close_idle(context.clock.seconds())


@behave.then('only the first client is disconnected')
def then_first(context):
    closed = list(map(is_disconnected, context.clients))
    assert closed == [True, False], closed


@behave.given('ports with a client that has sent half a request')
def given_ports(context):
    context.clock = task.Clock()
    context.clients = []
    ports = listening_ports.ListeningPorts(
        reactor=context.clock,
        timer_service=reactor_timers.ReactorTimers(clock=context.clock),
    )
    context.listener = ports.make_http_listener(answer)
    connect(context).dataReceived(crowds.HEAD)
    context.clock.advance(1)


@behave.when('the process pauses for {seconds:d} s')
def when_pauses(context, seconds):
    context.clock.advance(seconds)


@behave.then('the client is still connected')
def then_connected(context):
    assert not is_disconnected(context.clients[0])


@behave.then('it is disconnected when it sends nothing for {seconds:d} s more')
def then_closed(context, seconds):
    for _ in range(seconds):
        context.clock.advance(1)
    assert is_disconnected(context.clients[0])


class Holder:
    """A client whose refusal is one more answer that it does not read.

    Attributes:
        refused: How often it was refused.
    """

    def __init__(self, guard, size):
        self.guard = guard
        self.size = size
        self.refused = 0

    def refuse(self, _):
        """Hold the refusal as well."""
        self.refused += 1
        self.guard.set_held(self, self.size)


@behave.given(
    '{count:d} holders of {size:d} bytes each whose refusals are held as well'
)
def given_many_holders(context, count, size):
    context.clock = task.Clock()
    context.guard = client_guard.ClientGuard(
        bounds=http_listener.Bounds(),
        timer_service=reactor_timers.ReactorTimers(clock=context.clock),
        limits=client_limits.ProcessLimits(held_bytes=1),
    )
    context.holders = [Holder(context.guard, size) for _ in range(count)]
    for holder in context.holders:
        context.guard.held.set_held(holder, size)


@behave.when('one of them holds more than the limit')
def when_over_limit(context):
    bounds = context.guard.bounds
    limit = context.guard.limits.held_limit(
        bounds.head_bytes, bounds.body_bytes
    )
    context.guard.set_held(context.holders[0], limit)


@behave.then('no holder is refused twice')
def then_once(context):
    refused = [holder.refused for holder in context.holders]
    assert max(refused) == 1, max(refused)


@behave.when('a client whose answers are unread is refused for its memory')
def when_unread_refused(context):
    client = connect(context)
    client.dataReceived(crowds.GET)
    client.transport.producer.pauseProducing()
    client.refuse(client_limits.Reason.HELD_BYTES)


@behave.then('it is disconnected without an answer')
def then_no_answer(context):
    client = context.clients[0]
    assert client.transport.statuses() == [200], client.transport.statuses()
    assert client.state is server_connection.State.CLOSED


@behave.then('it holds nothing any more')
def then_holds_nothing(context):
    assert not context.listener.guard.held.largest(-1)


@behave.when(
    'a client sends a request, and is refused for its memory while that is answered'
)
def when_refused_meanwhile(context):
    client = connect(context)
    client.dataReceived(crowds.GET)
    client.transport.on_write = functools.partial(
        client.refuse, client_limits.Reason.HELD_BYTES
    )
    answer(context.requests[0])


@behave.then('its answers have the statuses {expected}')
def then_statuses(context, expected):
    statuses = context.clients[0].transport.statuses()
    assert statuses == list(map(int, expected.split(', '))), statuses


@behave.when('a client sends a request with a header of {size:d} bytes')
def when_large_header(context, size):
    client = connect(context)
    head = crowds.GET.removesuffix(b'\r\n')
    client.dataReceived(head + b'X: %s\r\n\r\n' % (b'x' * size))
    assert context.requests


@behave.then('its connection keeps no header')
def then_no_header(context):
    assert not context.clients[0].receiver.headers


@behave.when(
    'a client sends a request and half of another one, and the first is answered {seconds:d} s later'
)
def when_answered_later(context, seconds):
    client = connect(context)
    client.dataReceived(crowds.GET + crowds.HEAD)
    context.clock.advance(seconds)
    answer(context.requests[0])
    context.listener.close_idle(context.clock.seconds())


@behave.then(
    'the connection is closed when it sends nothing for {seconds:d} s more'
)
def then_other_closed(context, seconds):
    context.clock.advance(seconds)
    context.listener.close_idle(context.clock.seconds())
    assert is_disconnected(context.clients[0])
