"""Steps about the state dump."""

import behave
import edge_steps
import edge_support
from twisted.internet import task

from guavaroad.adapters import reactor_timers
from guavaroad.services import decisions


def failing_section():
    raise ValueError('sesame')


@behave.given('a section that raises an error')
def given_failing_section(context):
    context.instance.app.dump.add('slots', failing_section)


@behave.given('a history of {count:d} decisions')
def given_history(context, count):
    timer_service = reactor_timers.ReactorTimers(clock=task.Clock())
    context.history = decisions.DecisionHistory(
        timer_service=timer_service, max_decisions=count
    )


@behave.when('the decisions {names} are recorded')
def when_recorded(context, names):
    for name in names.split(', '):
        context.history.record('part', name, 'reason')


@behave.when('{count:d} clients submit a task each')
def when_many_submit(context, count):
    for _ in range(count):
        connection = context.instance.connect()
        connection.send(edge_support.request(body=edge_steps.GOOD))


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
    connection = section['shown'][0]
    assert section['open'] == 1
    assert connection['owner'] == context.dump['instance']['epoch']
    assert connection['waiting_clients'] == 1


@behave.then(
    'the dump shows {waiting:d} waiting and {running:d} running task'
    ' of class {urgency} and team {team}'
)
def then_queue(context, waiting, running, urgency, team):
    connection = context.dump['queues']['by_class_and_team'][0]
    assert (connection['class'], connection['team']) == (urgency, team)
    assert (connection['waiting'], connection['running']) == (waiting, running)


@behave.then('the dump shows the decision of part {part} with its reason')
def then_decision(context, part):
    decisions_of_part = [
        decision
        for decision in context.dump['decisions']
        if decision['part'] == part
    ]
    assert decisions_of_part[0]['reason'], context.dump['decisions']


@behave.then('the dump contains no token')
def then_no_token(context):
    assert 'secret' not in context.dump_text


@behave.then('the instance of the dump is not ready because {reason}')
def then_not_ready_because(context, reason):
    section = context.dump['instance']
    assert (section['ready'], section['why_not_ready']) == (False, reason)


@behave.then('that section reports its failure')
def then_section_failed(context):
    assert 'could not be described' in context.dump['slots']['error']
    assert 'sesame' not in context.dump_text


@behave.then('the history holds d once, c once, b twice')
def then_history(context):
    recorded = [
        (decision.what, decision.times)
        for decision in context.history.describe()
    ]
    assert recorded == [('d', 1), ('c', 1), ('b', 2)], recorded


@behave.then('the dump counts {count:d} open submissions and shows {shown:d}')
def then_bounded(context, count, shown):
    section = context.dump['submissions']
    assert (section['open'], len(section['shown'])) == (count, shown)
