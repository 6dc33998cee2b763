"""Steps for calls that are meant for one incarnation of a worker."""

import json

import behave
from twisted.internet import testing

from guavaroad.domain.pool import outcomes, values
from guavaroad.ports import pool
from guavaroad_platform import workers

WORKER = values.WorkerId('w')
TOKEN = values.Token(3)
UNTIL_MS = 900


class Transport(testing.StringTransport):
    """Transport of a TCP connection that records what is written."""

    def setTcpNoDelay(self, _):  # noqa: N802
        """Do nothing."""


@behave.given('connections to a worker')
def given_connections(context):
    context.reactor = testing.MemoryReactorClock()
    context.workers = workers.Workers(reactor=context.reactor)
    context.workers.open(WORKER, '127.0.0.1:8000')
    context.connections = []
    context.outcome = None


def record_outcome(context, outcome):
    context.outcome = outcome


def connect(context):
    """Accept the connections that were opened."""
    clients = context.reactor.tcpClients
    while len(context.connections) < len(clients):
        factory = clients[len(context.connections)][2]
        connection = factory.buildProtocol(None)
        connection.makeConnection(Transport())
        context.connections.append(connection)


def take_received(context):
    """Return the path and body that the worker has received since the last."""
    connect(context)
    transport = context.connections[-1].transport
    received = transport.value()
    transport.clear()
    if not received:
        return None
    head, _, body = received.partition(b'\r\n\r\n')
    path = head.split()[1].decode().rpartition('/')[2]
    return path, json.loads(body)


def respond(context, status, document):
    """Send a response on the last connection."""
    connect(context)
    body = json.dumps(document).encode()
    head = f'HTTP/1.1 {status} \r\nContent-Length: {len(body)}\r\n\r\n'
    context.connections[-1].dataReceived(head.encode() + body)


@behave.when('a start is ordered from incarnation {started_ms:d}')
def when_start(context, started_ms):
    context.outcome = None
    order = pool.StartOrder(
        task=values.TaskName('t'),
        number=values.FIRST_RUN,
        payload='',
        until_ms=UNTIL_MS,
        token=TOKEN,
        started_ms=started_ms,
    )
    context.workers.start(
        WORKER, order, lambda outcome: record_outcome(context, outcome)
    )
    connect(context)


@behave.when('a stop is ordered')
def when_stop(context):
    order = pool.StopOrder(
        task=values.TaskName('t'), number=values.FIRST_RUN, token=TOKEN
    )
    context.workers.stop(
        WORKER, order, lambda outcome: record_outcome(context, outcome)
    )


@behave.when(
    'incarnation {started_ms:d} is polled with a lease and the ends up to {position:d}'
)
def when_poll(context, started_ms, position):
    poll = pool.StatusPoll(
        token=TOKEN,
        last_end_position=position,
        until_ms=UNTIL_MS,
        wait_ms=400,
        started_ms=started_ms,
    )
    context.workers.poll_status(
        WORKER, poll, lambda outcome: record_outcome(context, outcome)
    )


@behave.when('the worker answers as incarnation {started_ms:d}')
def when_identified(context, started_ms):
    context.received = take_received(context)
    report = {'ClockMs': 5, 'born': started_ms, 'Running': [], 'Ended': []}
    respond(context, 200, report)


@behave.when('the worker accepts')
def when_accepted(context):
    take_received(context)
    respond(context, 200, {'ClockMs': 5})


@behave.when('the worker refuses with "{reason}"')
def when_refused(context, reason):
    take_received(context)
    respond(context, 409, {'ClockMs': 5, 'Reason': reason})


@behave.when('the worker closes the connection')
def when_closed(context):
    connection = context.connections[-1]
    take_received(context)
    connection.connectionLost()


@behave.when('the worker is silent for {seconds:g} s')
def when_passed(context, seconds):
    context.reactor.advance(seconds)


@behave.then('the worker has received "{path}" without a lease and ends')
def then_plain_poll(context, path):
    assert take_received(context) == (path, {'FencingToken': TOKEN})


@behave.then(
    'the worker has received "{path}" with a lease and the ends up to {position:d}'
)
def then_full_poll(context, path, position):
    expected = {
        'FencingToken': TOKEN,
        'LastSeen': position,
        'UntilMs': UNTIL_MS,
        'WaitMs': 400,
    }
    assert take_received(context) == (path, expected)


@behave.then('the worker has received nothing more')
def then_nothing(context):
    received = take_received(context)
    assert received is None, received


@behave.then('the worker has received "{path}"')
def then_received(context, path):
    received = take_received(context)
    assert received is not None
    assert received[0] == path, received


@behave.then('the start is accepted')
def then_start_accepted(context):
    assert context.outcome == outcomes.Accepted(clock_ms=5), context.outcome


@behave.then('the start is refused as "{reason}"')
def then_start_refused(context, reason):
    assert isinstance(context.outcome, outcomes.Refused), context.outcome
    assert context.outcome.reason.value == reason, context.outcome


@behave.then('the poll returns the report of incarnation {started_ms:d}')
def then_report(context, started_ms):
    assert isinstance(context.outcome, outcomes.RunReport), context.outcome
    assert context.outcome.started_ms == started_ms
