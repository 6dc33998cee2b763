"""Steps for requests of clients to one instance of the simulated pool."""

from http import HTTPStatus

import behave
import msgspec

from guavaroad.adapters import http_listener
from guavaroad.domain import names
from guavaroad.domain.pool import routing
from guavaroad_platform import front, wire

JOB_ID = '0123456789abcdef'
TASK = f'{JOB_ID}.0.0.0'
WORK_S = 0.9
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
STEP = wire.Step(count=1, cpu=14_000, estimate_ms=900)
BODY = msgspec.json.encode(
    wire.Submission(task_spec='', steps=[STEP], best_effort=True)
)


class Connection:
    """A client's connection; keeps the answers.

    Attributes:
        answers: The answers so far.
    """

    def __init__(self):
        self.answers = []

    def finish(self, _, answer):
        """Take an answer."""
        self.answers.append(answer)

    def statuses(self):
        """Return the status of each answer."""
        return [answer.status for answer in self.answers]


@behave.given('a client of an instance other than the allocator')
def given_client(context):
    pool = context.pool
    allocator_name = pool.allocator().name
    context.owner = next(
        instance
        for name, instance in pool.instances.items()
        if name != allocator_name
    )
    watch = context.owner.node.configuration
    watch.table = routing.RouteTable(routes=(ROUTE,))
    pool.history.cpu[TASK] = STEP.cpu
    pool.history.work_s[TASK] = WORK_S


@behave.when('the client posts a job of one task of 900 ms')
@behave.when('the client posts the job again')
def when_posted(context):
    context.connection = Connection()
    request = http_listener.Request(
        connection=context.connection, method='POST'
    )
    request.path = f'{ROUTE.prefix}{JOB_ID}'
    request.headers = {'host': ROUTE.host, 'deadline-ms': '4680'}
    request.body = BODY
    context.request = request
    front.Front(instance=context.owner.node).handle_request(request)


@behave.when('the connection of the client is lost')
def when_connection_lost(context):
    context.request.answered = True
    context.request.on_disconnect()


@behave.when('the instance stops within {seconds:g} s')
def when_stops(context, seconds):
    now_s = context.pool.clock.seconds()
    context.owner.node.stop(exit_deadline_s=now_s + seconds)


@behave.then('the request is answered as one of unknown outcome')
def then_unknown(context):
    statuses = context.connection.statuses()
    assert statuses == [HTTPStatus.GATEWAY_TIMEOUT], statuses


@behave.then('the request is answered with its result')
def then_answered(context):
    statuses = context.connection.statuses()
    assert statuses == [HTTPStatus.OK], statuses


@behave.then('the request is refused as not run')
def then_refused(context):
    statuses = context.connection.statuses()
    assert statuses == [HTTPStatus.SERVICE_UNAVAILABLE], statuses
