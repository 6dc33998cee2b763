"""Steps about the planned stop."""

import functools
from concurrent import futures

import behave
import edge_steps
import edge_support
import fleet_steps
from twisted.internet import defer, task

from guavaroad.services import drain
from guavaroad_standins import calls, fleet, processes

CLIENTS = 4
TASKS = 2
RUN_MS = 1500
END_TIMEOUT_S = 15


def submission_request(context):
    return edge_support.request(
        body=edge_steps.GOOD, Idempotency_Key=context.key
    )


@behave.given('a client that waits for a submission')
def given_waiting(context):
    context.key = edge_steps.mint_key(context)
    context.connection = context.instance.connect()
    context.connection.send(submission_request(context))


@behave.given('a client with an idle connection')
def given_idle(context):
    context.connection = context.instance.connect()
    context.connection.send(edge_support.request('GET', '/healthz'))


@behave.given('hooks that take {seconds:d} seconds')
def given_hooks(context, seconds):
    context.called_hooks = []
    hooks = context.instance.app.drain.hooks
    for name in ('leaving', 'handover', 'release'):
        hook = functools.partial(slow_hook, context, name, seconds)
        getattr(hooks, f'on_{name}').append(hook)


def slow_hook(context, name, seconds):
    context.called_hooks.append(name)
    return task.deferLater(context.instance.reactor, seconds, str)


@behave.given('a hook that fails')
def given_failing_hook(context):
    broken = functools.partial(defer.fail, ValueError('no peer'))
    hooks = context.instance.app.drain.hooks
    hooks.on_leaving.append(broken)


@behave.when('the instance is asked to stop')
def when_asked(context):
    context.instance.app.stop()


@behave.when('the same id is submitted again')
def when_same_id(context):
    context.second_connection = context.instance.connect()
    context.second_connection.send(submission_request(context))


@behave.when('{seconds:d} seconds pass')
def when_pass(context, seconds):
    context.instance.pass_time(seconds)


@behave.then('it is not ready')
def then_not_ready(context):
    text = context.instance.ask(edge_support.request('GET', '/readyz'))
    assert text.startswith('HTTP/1.1 503'), text


@behave.then('a new submission is refused with {name}')
def then_refused_new(context, name):
    text = context.instance.ask(edge_support.request(body=edge_steps.GOOD))
    answer = edge_steps.decoded(text)
    assert (answer['name'], answer['ran']) == (name, 'no'), answer


@behave.then('the stop is in progress after {seconds:d} seconds')
def then_goes_on_after(context, seconds):
    context.instance.pass_time(seconds)
    assert context.instance.app.drain.phase is drain.Phase.FINISHING


@behave.then('the waiting client has its complete answer')
def then_complete_answer(context):
    answer = edge_steps.decoded(context.connection.text())
    assert answer['name'] == 'COMPLETE', answer


@behave.then('both clients have the same answer')
def then_same_answer(context):
    connections = (context.connection, context.second_connection)
    first, second = [
        edge_steps.decoded(connection.text()) for connection in connections
    ]
    assert first['answers'] == second['answers']


@behave.then('the stop ends without interrupting work')
def then_nothing_cut(context):
    context.instance.pass_time(1)
    assert context.instance.app.drain.phase is drain.Phase.ENDED
    assert context.instance.app.exit_code == 0
    assert context.instance.reactor.hasStopped


@behave.then('the idle connection is closed')
def then_idle_closed(context):
    assert context.connection.gone


@behave.then('the hooks called so far are {names}')
def then_hooks(context, names):
    context.instance.pass_time(1)
    assert context.called_hooks == names.split(', '), context.called_hooks


@behave.then('the stop is cut short because {reason}')
def then_cut(context, reason):
    assert context.instance.app.exit_code == 1
    assert context.instance.drain_result.reason == reason


@behave.then(
    'after {seconds:d} seconds the stop is cut short with'
    ' {requests:d} requests and {submissions:d} submissions'
)
def then_cut_after(context, seconds, requests, submissions):
    context.instance.pass_time(seconds)
    assert context.instance.app.exit_code == 1
    cut = {
        remainder.part: remainder.count
        for remainder in context.instance.drain_result.cut
    }
    assert cut == {'requests': requests, 'submissions': submissions}, cut


@behave.given('a running instance with requests in progress at its upstream')
def given_process(context):
    start_process(context, bound_s=END_TIMEOUT_S)


@behave.given(
    'a running instance with requests in progress at its upstream'
    ' and a time limit of {seconds:g} seconds'
)
def given_process_bound(context, seconds):
    start_process(context, bound_s=seconds)


def start_process(context, bound_s):
    plan = fleet.FleetPlan(zones=('zone-a',), settings={'drain_s': bound_s})
    context.fleet = fleet.Fleet(plan=plan)
    context.fleet.start()
    fleet_steps.given_configuration(context, 'render', 'office')
    body = fleet_steps.body_of(TASKS, RUN_MS)
    address = context.fleet.instances[0].address
    context.pool = futures.ThreadPoolExecutor(CLIENTS)
    context.pending = [
        context.pool.submit(fleet_steps.submit, address, 'office', body)
        for _ in range(CLIENTS)
    ]
    processes.wait_until(
        lambda: len(context.fleet.starts()) == CLIENTS * TASKS,
        'every task has started',
    )


@behave.when('the process gets SIGTERM')
def when_sigterm(context):
    instance = context.fleet.instances[0]
    instance.process.terminate()
    processes.wait_until(
        lambda: not is_ready(instance.address), 'the instance is not ready'
    )


def is_ready(address):
    return fleet.responds_ok(address, '/readyz')


@behave.then('every request in progress gets its complete answer')
def then_all_complete(context):
    for pending in context.pending:
        answer = pending.result(END_TIMEOUT_S).decoded()
        assert answer['name'] == 'COMPLETE', answer
        assert len(answer['answers']) == TASKS


@behave.then('the process ends with code {code:d} and every task ran once')
def then_ends(context, code):
    process = context.fleet.instances[0].process
    assert process.wait(END_TIMEOUT_S) == code
    starts = context.fleet.starts()
    assert len(starts) == len(set(starts)) == CLIENTS * TASKS
    finished = [
        calls.call('GET', upstream.address, '/admin/counters').decoded()
        for upstream in context.fleet.upstreams
    ]
    assert sum(counters['finished'] for counters in finished) == CLIENTS * TASKS


@behave.then('the process ends with code {code:d} and its log lists {words}')
def then_ends_log(context, code, words):
    process = context.fleet.instances[0].process
    assert process.wait(END_TIMEOUT_S) == code
    text = process.log.read_text()
    assert f'cut {CLIENTS} requests' in text, text
    assert f'cut {CLIENTS} submissions' in text, text
