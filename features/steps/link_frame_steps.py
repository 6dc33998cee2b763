"""Steps of the frames of links between instances."""

import json
import struct

import behave
from features.support import platform_requests
from twisted.internet import task, testing

from guavaroad.adapters import http_listener, pool_wire
from guavaroad.domain import names
from guavaroad.domain.pool import messages, open_jobs, routing, values
from guavaroad_platform import submissions

JOB_ID = '00000000000000aa'
ROUTE = routing.Route(
    name='r',
    host='jobs.example',
    prefix='/q/',
    pool=names.PoolName('pool'),
    urgency=1,
    max_attempts=2,
    stretch=1.6,
    grace_ms=60,
    timeout_ms=1500,
)


class Transport(testing.StringTransport):
    """Transport of a TCP connection that records what is written."""

    def setTcpNoDelay(self, _):  # noqa: N802
        """Do nothing."""


def declaration(number, size):
    """Return a declaration with a payload of a size in bytes."""
    return messages.Declare(
        job=values.JobId(str(number)),
        pool='p',
        urgency=0,
        max_attempts=1,
        payload='x' * size,
        estimate_ms=0,
        age_ms=0,
        objective_ms=0,
        client_timeout_ms=0,
        tasks=(),
    )


def send(context, sizes):
    """Send declarations at once, and receive what is written."""
    clock = task.Clock()
    sender = pool_wire.Link(reactor=clock, on_connected=print)
    sender.makeConnection(Transport())
    for number, size in enumerate(sizes, start=1):
        sender.send(declaration(number, size))
    clock.advance(0)
    written = sender.transport.value()
    context.frames = list(frame_sizes(written))
    context.arrived = []
    receiver = pool_wire.Link(reactor=clock, on_connected=print)
    receiver.makeConnection(Transport())
    receiver.on_message = lambda message: context.arrived.append(message.job)
    receiver.dataReceived(written)
    assert not receiver.transport.disconnecting


def frame_sizes(written):
    """Yield the sizes of the frames, in bytes."""
    position = 0
    while position < len(written):
        size = struct.unpack_from('>I', written, position)[0]
        yield size
        position += size + 4


@behave.when('{count:d} declarations of {size:d} bytes are sent at once')
def when_many(context, count, size):
    context.count = count
    send(context, (size for _ in range(count)))


@behave.when(
    'declarations of {first:d}, {second:d} and {third:d} bytes are sent at once'
)
def when_three(context, first, second, third):
    send(context, (first, second, third))


@behave.then('all of them arrive in order, in frames of {size:d} bytes at most')
def then_all(context, size):
    numbers = range(1, context.count + 1)
    assert context.arrived == list(map(str, numbers)), len(context.arrived)
    assert max(context.frames) <= size, max(context.frames)


@behave.then('they were sent in one frame')
def then_one(context):
    assert len(context.frames) == 1, context.frames


@behave.then('declarations "{jobs}" arrive in {count:d} frames')
def then_some(context, jobs, count):
    assert context.arrived == jobs.split(), context.arrived
    assert len(context.frames) == count, context.frames


@behave.when(
    'a job of {tasks:d} tasks that require a label of {length:d} characters is submitted'
)
def when_job(context, tasks, length):
    step = {'Count': tasks, 'Cpu': 1, 'Requirements': 'x' * length}
    request = http_listener.Request(connection=None, method='POST')
    request.body = json.dumps(
        platform_requests.valid_job(Steps=[step])
    ).encode()
    request.headers = {}
    context.decoded = submissions.parse_request(request, ROUTE, JOB_ID, 1)


@behave.then('it is accepted')
def then_accepted(context):
    assert isinstance(context.decoded, open_jobs.JobRequest), context.decoded


@behave.then('it is refused')
def then_refused(context):
    assert context.decoded.status.value == 400, context.decoded
    assert context.decoded.reason == 'the job is too large', context.decoded
