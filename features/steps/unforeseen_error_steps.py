"""Steps for errors that nobody has foreseen."""

import functools

import behave
from twisted.internet import task, testing

from guavaroad.adapters import http_listener, pool_wire, reactor_timers
from guavaroad.domain.pool import messages, values

HUGE = 10**30


@behave.when(
    'reads of "{name}" fail with an unforeseen error for {seconds:g} s'
)
def when_reads_fail(context, name, seconds):
    pool = context.pool
    clusters = [instance.cluster for instance in pool.instances.values()]
    for cluster in clusters:
        setattr(cluster, name, fail_in_call)
    pool.run(seconds)
    for cluster in clusters:
        delattr(cluster, name)
    context.fault_s = pool.clock.seconds()


@behave.then('the allocator has read that worker "{name}" drains')
def then_draining(context, name):
    machine = context.pool.allocator().node.active_allocator.machine
    assert machine.state.workers[name].worker_info.draining


async def fail_in_call(*_):
    """Fail as no method of the store is expected to."""
    raise ZeroDivisionError


@behave.when('every call to worker "{name}" fails with an unforeseen error')
def when_calls_fail(context, name):
    for instance in context.pool.instances.values():
        instance.workers.start = functools.partial(
            start_elsewhere, name, instance.workers.start
        )


def start_elsewhere(name, start, worker_id, order, on_outcome):
    """Order a start, and fail for one worker."""
    if worker_id == name:
        raise ZeroDivisionError(name)
    start(worker_id, order, on_outcome)


@behave.when(
    '{count:d} jobs of {tasks:d} tasks of {ms:d} ms are submitted at the allocator'
)
def when_submitted(context, count, tasks, ms):
    pool = context.pool
    for _ in range(count):
        pool.submit(pool.allocator().name, tasks=tasks, work_ms=ms)


@behave.when('a message with a number of 30 digits is sent between two others')
def when_huge_sent(context):
    clock = task.Clock()
    sender = pool_wire.Link(reactor=clock, on_connected=print)
    sender.makeConnection(Transport())
    for number in (1, HUGE, 2):
        sender.send(
            messages.Withdraw(
                job=values.JobId('j'), attempt=values.AttemptNumber(number)
            )
        )
    clock.advance(0)
    context.received = []
    receiver = pool_wire.Link(reactor=clock, on_connected=print)
    receiver.makeConnection(Transport())
    receiver.on_message = context.received.append
    receiver.dataReceived(sender.transport.value())


class Transport(testing.StringTransport):
    """Transport of a TCP connection that records what is written."""

    def setTcpNoDelay(self, _):  # noqa: N802
        """Do nothing."""


@behave.then('the two others arrive')
def then_two(context):
    attempts = [message.attempt for message in context.received]
    assert attempts == [1, 2], context.received


@behave.when('two requests arrive, and the handler of the first one fails')
def when_handler_fails(context):
    listener = http_listener.HttpListener(
        handler=fail_on_first,
        bounds=http_listener.Bounds(),
        timer_service=reactor_timers.ReactorTimers(clock=task.Clock()),
    )
    connection = listener.buildProtocol(None)
    connection.makeConnection(Transport())
    for path in ('/first', '/second'):
        connection.dataReceived(f'GET {path} HTTP/1.1\r\n\r\n'.encode())
    context.written = connection.transport.value().decode()


def fail_on_first(request):
    """Fail for one request, and answer the others."""
    if request.path == '/first':
        raise ZeroDivisionError(request.path)
    request.answer(http_listener.Answer(status=200))


@behave.then(
    'the first one is answered with {first:d} and the second one with {second:d}'
)
def then_answered(context, first, second):
    lines = [
        line for line in context.written.splitlines() if 'HTTP/1.1' in line
    ]
    statuses = [int(line.split('HTTP/1.1 ')[1][:3]) for line in lines]
    assert statuses == [first, second], context.written
