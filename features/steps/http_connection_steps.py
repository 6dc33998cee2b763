"""Steps of the connections to one server."""

import types
from typing import Any, Final

import behave
from twisted.internet import error, testing
from twisted.python import failure

from guavaroad.adapters import http_connection

TIMEOUT_S: Final = 0.2
HANDSHAKE: Final = 'handshake'
KINDS: Final = types.MappingProxyType({True: 'unanswered', False: 'unsent'})


class Transport(testing.StringTransport):
    """Transport that records what is written."""

    def setTcpNoDelay(self, _):  # noqa: N802
        """Do nothing."""


class Server:
    """A server behind a fake reactor; connections have numbers from 1."""

    def __init__(self, most):
        self.reactor = testing.MemoryReactorClock()
        self.pool = http_connection.ConnectionPool(
            reactor=self.reactor, address='server:80', max_connections=most
        )
        self.links: dict[int, Any] = {}
        self.outcomes: list[str] = []
        self.followers: dict[str, str] = {}

    def send(self, name, incarnation=None):
        """Send a request; its path is its name."""
        handshake = incarnation and http_connection.Handshake(
            method='POST',
            path=f'/{HANDSHAKE}',
            body=b'',
            expected=incarnation,
            identify=int,
        )
        self.pool.send_request(
            method='POST',
            path=f'/{name}',
            body=b'',
            timeout_s=TIMEOUT_S,
            on_exchange=lambda exchange: self.record(name, exchange),
            handshake=handshake,
        )

    def record(self, name, exchange):
        """Record an outcome, and send the request that follows it."""
        match exchange:
            case http_connection.Reply(status=status):
                self.outcomes.append(f'{name}:{status}')
            case http_connection.RequestFailed(sent=sent):
                self.outcomes.append(f'{name}:{KINDS[sent]}')
            case http_connection.HandshakeFailed():
                self.outcomes.append(f'{name}:other')
        if name in self.followers:
            self.send(self.followers.pop(name))

    def connector(self, number):
        """Return the fake connector of a connection."""
        return self.reactor.connectors[number - 1]

    def establish(self, number):
        """Establish a connection."""
        link = self.pool.buildProtocol(None)
        self.links[number] = link
        transport = Transport()
        transport.abortConnection = lambda: self.lose_later(number)
        transport.loseConnection = lambda: self.lose_later(number)
        self.connector(number).disconnect = lambda: self.lose(number)
        link.makeConnection(transport)

    def lose_later(self, number):
        """Lose a connection in the next iteration, as Twisted does."""
        self.reactor.callLater(0, self.lose, number)

    def lose(self, number):
        """Lose a connection, unless it is lost already."""
        link = self.links.pop(number, None)
        if link is not None:
            lost = failure.Failure(error.ConnectionLost())
            link.connectionLost(lost)
            self.pool.clientConnectionLost(self.connector(number), lost)

    def refuse(self, number):
        """Refuse a connection."""
        refused = failure.Failure(error.ConnectionRefusedError())
        self.pool.clientConnectionFailed(self.connector(number), refused)

    def answer(self, number, body=b'7', extra=b'', times=1):
        """Answer the request on a connection."""
        link = self.links[number]
        link.transport.clear()
        head = b'HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n'
        link.dataReceived((head % (extra, len(body)) + body) * times)
        self.reactor.advance(0)

    def carried(self):
        """Return the names of the requests that await an answer."""
        return ' '.join(
            written_path(link.transport.value())
            for _, link in sorted(self.links.items())
        )


def written_path(written):
    """Return the last path that was written since the last answer."""
    if not written:
        return '-'
    return written.rpartition(b'POST /')[2].split()[0].decode()


def names_between(first, last):
    return map(chr, range(ord(first), ord(last) + 1))


@behave.given('{most:d} connection to a server')
@behave.given('{most:d} connections to a server')
def given_server(context, most):
    context.server = Server(most)


@behave.when('requests {first:l} to {last:l} are sent')
def when_sent(context, first, last):
    for name in names_between(first, last):
        context.server.send(name)


@behave.when(
    'requests {first:l} to {last:l} are sent, and {follower:l} when {name:l} has an outcome'
)
def when_followed(context, first, last, follower, name):
    context.server.followers[name] = follower
    when_sent(context, first, last)


@behave.when(
    'requests {first:l} to {last:l} are sent for the incarnations "{expected}"'
)
def when_sent_for(context, first, last, expected):
    incarnations = map(int, expected.split())
    for name, incarnation in zip(
        names_between(first, last), incarnations, strict=True
    ):
        context.server.send(name, incarnation)


@behave.when('all connections are established')
def when_all_established(context):
    for number in range(1, len(context.server.reactor.connectors) + 1):
        context.server.establish(number)


@behave.when('connection {number:d} is established')
def when_established(context, number):
    context.server.establish(number)


@behave.when('connection {number:d} is refused')
def when_refused(context, number):
    context.server.refuse(number)


@behave.when('connection {number:d} is lost')
def when_lost(context, number):
    context.server.lose(number)


@behave.when('connection {number:d} is answered')
def when_answered(context, number):
    context.server.answer(number)


@behave.when('connection {number:d} is answered for the last time')
def when_answered_last(context, number):
    context.server.answer(number, extra=b'Connection: close\r\n')


@behave.when('connection {number:d} is answered twice at once')
def when_answered_twice(context, number):
    context.server.answer(number, times=2)


@behave.when('incarnation {incarnation:d} answers connection {number:d}')
def when_incarnation_answers(context, incarnation, number):
    context.server.answer(number, body=str(incarnation).encode())


@behave.when('{seconds:g} s pass for the connections')
def when_time_passes(context, seconds):
    context.server.reactor.advance(seconds)


@behave.when('the connections are closed')
def when_closed(context):
    context.server.pool.close()


@behave.then('the connections carry "{expected}"')
def then_carried(context, expected):
    assert context.server.carried() == expected, context.server.carried()


@behave.then('the outcomes are ""')
def then_none(context):
    then_outcomes(context, '')


@behave.then('the outcomes are "{expected}"')
def then_outcomes(context, expected):
    outcomes = ' '.join(context.server.outcomes)
    assert outcomes == expected, outcomes
