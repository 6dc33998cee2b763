"""Steps about the state dump."""

import behave
import edge_steps
import edge_support
from twisted.internet import task

from guavaroad.adapters import reactor_timers
from guavaroad.services import decisions


def broken_part():
    raise ValueError('sesame')


@behave.given("a part that can't be described")
def given_broken_part(context):
    context.instance.app.dump.add('slots', broken_part)


@behave.given('a ring of {count:d} decisions')
def given_ring(context, count):
    timer_service = reactor_timers.ReactorTimers(clock=task.Clock())
    context.ring = decisions.DecisionHistory(
        timer_service=timer_service, kept=count
    )


@behave.when('the decisions {names} are noted')
def when_noted(context, names):
    for name in names.split(', '):
        context.ring.record('part', name, 'reason')


@behave.when('{count:d} clients submit a task each')
def when_many_submit(context, count):
    for _ in range(count):
        line = context.instance.connect()
        line.send(edge_support.request(body=edge_steps.GOOD))


@behave.when('the operator reads the state dump')
def when_dumped(context):
    context.dump_text = context.instance.ask(
        edge_support.request('GET', '/v1/state', token='operator-secret')
    )
    context.dump = edge_steps.decoded(context.dump_text)


@behave.then('the dump has sections {names}')
def then_sections(context, names):
    assert set(names.split(', ')) <= set(context.dump), context.dump


@behave.then(
    'the dump shows 1 open submission with its owner and 1 waiting client'
)
def then_submission(context):
    section = context.dump['submissions']
    line = section['shown'][0]
    assert section['open'] == 1
    assert line['owner'] == context.dump['instance']['epoch']
    assert line['waiting_clients'] == 1


@behave.then(
    'the dump shows {waiting:d} waiting and {running:d} running task'
    ' of class {urgency} and team {team}'
)
def then_queue(context, waiting, running, urgency, team):
    line = context.dump['queues']['by_class_and_team'][0]
    assert (line['class'], line['team']) == (urgency, team)
    assert (line['waiting'], line['running']) == (waiting, running)


@behave.then('the dump shows the decision of part {part} with its reason')
def then_decision(context, part):
    noted = [one for one in context.dump['decisions'] if one['part'] == part]
    assert noted[0]['reason'], context.dump['decisions']


@behave.then('the dump holds no token')
def then_no_token(context):
    assert 'secret' not in context.dump_text


@behave.then('the instance of the dump is not ready because {reason}')
def then_not_ready_because(context, reason):
    section = context.dump['instance']
    assert (section['ready'], section['why_not_ready']) == (False, reason)


@behave.then('the section of that part says that it failed')
def then_section_failed(context):
    assert 'could not be described' in context.dump['slots']['error']
    assert 'sesame' not in context.dump_text


@behave.then('the ring holds d once, c once, b twice')
def then_ring(context):
    held = [(one.what, one.times) for one in context.ring.describe()]
    assert held == [('d', 1), ('c', 1), ('b', 2)], held


@behave.then('the dump counts {count:d} open submissions and shows {shown:d}')
def then_bounded(context, count, shown):
    section = context.dump['submissions']
    assert (section['open'], len(section['shown'])) == (count, shown)
