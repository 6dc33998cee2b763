"""Steps about submissions while owners, platform or upstreams fail."""

import contextlib
import functools
import random
import socket
import threading
from concurrent import futures
from http import client as http_client

import behave

from guavaroad_standins import calls, fleet, processes

CONNECTION_ERRORS = (OSError, http_client.HTTPException)
ECHOES = (0, 1, 2)
OUTCOME_TIMEOUT_S = 40
PLATFORM_URL = 'http://{0}'


def small_body():
    payloads = [{'run_ms': 20, 'echo': index} for index in ECHOES]
    return {'tasks': [{'payload': payload} for payload in payloads]}


def operator_headers():
    return {'Authorization': f'Bearer {fleet.OPERATOR_TOKEN}'}


def headers_of(team, key='', **more):
    headers = {'Authorization': f'Bearer {team}-secret', **more}
    if key:
        headers['Idempotency-Key'] = key
    return headers


def post(address, key='', team='office', body=None, **more):
    return calls.call(
        'POST',
        address,
        '/v1/jobs/render/submissions',
        body=body or small_body(),
        headers=headers_of(team, key, **more),
        timeout_s=OUTCOME_TIMEOUT_S,
    )


def mint(address, count=1):
    reply = calls.call(
        'POST',
        address,
        '/v1/submission-ids',
        body={'count': count},
        headers=headers_of('office'),
    )
    return reply.decoded()['extra']['submission_ids']


def call_in_background(call, *arguments, **named):
    thread = threading.Thread(
        target=call_ignoring_errors,
        args=(call, *arguments),
        kwargs=named,
        daemon=True,
    )
    thread.start()


def call_ignoring_errors(call, *arguments, **named):
    with contextlib.suppress(*CONNECTION_ERRORS):
        call(*arguments, **named)


def instance_addresses(context):
    return [instance.address for instance in context.fleet.instances]


def owner_process(context):
    owner = context.fleet.instances[0]
    return owner.process


def held_count(address):
    return calls.call('GET', address, '/admin/held').decoded()


def held_at_upstreams(context):
    return sum(
        held_count(upstream.address) for upstream in context.fleet.upstreams
    )


def set_upstream_faults(context, **faults):
    for upstream in context.fleet.upstreams:
        fleet.set_faults(upstream.address, **faults)


def result_name(context, index, key):
    reply = post(instance_addresses(context)[index], key)
    context.last = reply.decoded()
    return context.last['name']


@behave.given('a fleet whose requests to the platform time out after 1 s')
def given_ownership_fleet(context):
    context.fleet = fleet.Fleet(plan=fleet.FleetPlan(upstreams_per_zone=1))
    context.fleet.plan.settings['platform'] = {
        'url': PLATFORM_URL.format(context.fleet.platform_address),
        'timeout_s': 1,
    }
    context.fleet.start()
    teams = ['office', 'rival']
    calls.call(
        'PATCH',
        instance_addresses(context)[0],
        '/v1/config',
        body={
            'teams': {team: {} for team in teams},
            'jobs': {'render': {'teams': teams}},
        },
        headers=operator_headers() | {'If-Match': '0'},
    )
    for address in instance_addresses(context):
        processes.wait_until(
            functools.partial(has_configuration, address), 'configuration'
        )


def read_state(address):
    return calls.call(
        'GET', address, '/v1/state', headers=operator_headers()
    ).decoded()


def has_configuration(address):
    return read_state(address)['configuration']['version'] == 1


def record_service_state(context):
    return read_state(instance_addresses(context)[0])['records']['records']


@behave.given('the platform holds write {number:d} at the {hold}')
def given_held_write(context, number, hold):
    fleet.set_faults(
        context.fleet.platform_address, hold=hold, hold_skip=number - 1
    )


@behave.given('the upstreams hold tasks at the {hold}')
def given_held_tasks(context, hold):
    set_upstream_faults(context, hold='' if hold == 'nothing' else hold)


@behave.given('the upstreams drop connections {when} the start')
def given_dropping(context, when):
    set_upstream_faults(context, **{f'drop_{when}': True})


@behave.given('the platform loses the answers of the next {count:d} writes')
def given_lost_answers(context, count):
    fleet.set_faults(context.fleet.platform_address, lost_answers=count)


@behave.given('the platform is down')
def given_platform_down(context):
    fleet.set_faults(context.fleet.platform_address, down=True)


@behave.when(
    'an asynchronous submission of 3 tasks is sent to the first instance'
)
def when_sent_asynchronously(context):
    first = instance_addresses(context)[0]
    context.key = mint(first)[0]
    call_in_background(post, first, context.key, Prefer='respond-async')


@behave.when(
    'a submission of 3 tasks is sent to the first instance in the background'
)
def when_sent_in_background(context):
    first = instance_addresses(context)[0]
    context.key = mint(first)[0]
    call_in_background(post, first, context.key)


@behave.when('an id is minted by the first instance and the owner is killed')
def when_only_minted(context):
    context.key = mint(instance_addresses(context)[0])[0]
    owner_process(context).kill()


def wait_for_step(context, step):
    if step == 'answer recorded':
        processes.wait_until(
            lambda: result_name(context, 0, context.key) == 'COMPLETE', step
        )
        processes.wait_until(lambda: is_all_written(context), step)
    elif step in {'request written', 'upstream started'}:
        processes.wait_until(lambda: held_at_upstreams(context) == 3, step)
    else:
        platform = context.fleet.platform_address
        processes.wait_until(lambda: held_count(platform) == 1, step)


def is_all_written(context):
    return record_service_state(context)['unwritten'] == 0


@behave.when('it reaches the step "{step}" and the owner is killed')
def when_killed_at(context, step):
    wait_for_step(context, step)
    owner_process(context).kill()


@behave.when('it reaches the step "{step}" and the owner is frozen')
def when_frozen_at(context, step):
    wait_for_step(context, step)
    owner_process(context).freeze()


@behave.when('its tasks have started and the owner is killed')
def when_started_killed(context):
    processes.wait_until(lambda: held_at_upstreams(context) == 3, 'held')
    owner_process(context).kill()


@behave.when('its tasks have started and the client disconnects')
def when_client_disconnects(context):
    processes.wait_until(lambda: held_at_upstreams(context) == 3, 'held')
    address, _, port = instance_addresses(context)[0].rpartition(':')
    with socket.create_connection((address, int(port))) as connection:
        connection.sendall(b'GET /v1/submissions/x HTTP/1.1\r\nHost: x\r\n')


@behave.when('all held requests are released')
def when_released(context):
    fleet.set_faults(context.fleet.platform_address)
    set_upstream_faults(context)


@behave.when(
    'all held requests are released {when} the second instance is queried'
)
def when_released_around(context, when):
    if when == 'after':
        processes.wait_until(
            lambda: result_name(context, 1, context.key) == 'COMPLETE',
            'taken over',
        )
    when_released(context)


@behave.when('all held requests are released and the owner is resumed')
def when_owner_resumed(context):
    when_released(context)
    owner_process(context).thaw()


@behave.when('the platform is available again')
def when_platform_available(context):
    fleet.set_faults(context.fleet.platform_address)


@behave.then('the {which} instance answers {name} repeatedly')
def then_answers(context, which, name):
    index = ('first', 'second').index(which)
    processes.wait_until(
        lambda: result_name(context, index, context.key) == name,
        f'{which} instance answers {name}',
        OUTCOME_TIMEOUT_S,
    )
    first_answers = context.last.get('answers')
    for _ in range(3):
        assert result_name(context, index, context.key) == name, context.last
        assert context.last.get('answers') == first_answers, context.last
    if name == 'COMPLETE':
        assert [answer['echo'] for answer in first_answers] == [0, 1, 2], (
            first_answers
        )


@behave.then('{count:d} tasks started and none twice')
def then_count(context, count):
    processes.wait_until(
        lambda: len(context.fleet.starts()) >= count, 'the starts'
    )
    starts = context.fleet.starts()
    assert len(starts) == count, starts
    assert len(set(starts)) == count, starts


@behave.then('at most {count:d} tasks started and none twice')
def then_at_most(context, count):
    starts = context.fleet.starts()
    assert len(starts) <= count, starts
    assert len(set(starts)) == len(starts), starts


@behave.then('{count:d} tasks start without any request')
def then_start_without_request(context, count):
    processes.wait_until(
        lambda: len(context.fleet.starts()) == count,
        'the scan',
        OUTCOME_TIMEOUT_S,
    )


@behave.then('no task of the fleet started twice')
def then_none_twice(context):
    starts = context.fleet.starts()
    assert len(starts) == len(set(starts))


@behave.then('a submission without a key is answered {name}')
def then_keyless(context, name):
    reply = post(instance_addresses(context)[0])
    context.last = reply.decoded()
    context.key = context.last['submission_id']
    assert context.last['name'] == name, context.last


@behave.then('the next asynchronous submission is answered {name}')
def then_asynchronous(context, name):
    processes.wait_until(
        lambda: not record_service_state(context)['platform_available'], 'away'
    )
    answer = post(
        instance_addresses(context)[0], Prefer='respond-async'
    ).decoded()
    assert answer['name'] == name, answer


@behave.then('a submission with the client key "{key}" is answered {name}')
def then_client_key(context, key, name):
    answer = post(instance_addresses(context)[0], key).decoded()
    assert answer['name'] == name, answer


@behave.then(
    'the answer given during the outage can be read after the owner is killed'
)
def then_recorded_later(context):
    processes.wait_until(lambda: is_all_written(context), 'the backlog')
    owner_process(context).kill()
    assert result_name(context, 1, context.key) == 'COMPLETE', context.last


def send_to_all(context, key):
    with futures.ThreadPoolExecutor() as pool:
        replies = pool.map(
            lambda at: post(at, key).decoded(), instance_addresses(context) * 4
        )
        context.copies = list(replies)


@behave.when(
    'one body with the client key "{key}" is sent to every instance 4 times'
)
def when_key_everywhere(context, key):
    send_to_all(context, key)


@behave.when('one minted id is sent to every instance 4 times')
def when_id_everywhere(context):
    context.key = mint(instance_addresses(context)[0])[0]
    send_to_all(context, context.key)


@behave.when('it is sent to every instance again')
def when_sent_again(context):
    before = context.copies
    send_to_all(context, context.key)
    context.copies += before


@behave.then('every copy is answered COMPLETE with the same answers')
def then_same_copies(context):
    for copy in context.copies:
        assert copy['name'] == 'COMPLETE', copy
        assert copy['answers'] == context.copies[0]['answers'], copy


def cancel(address, key):
    return calls.call(
        'DELETE',
        address,
        f'/v1/submissions/{key}',
        headers=headers_of('office'),
    ).decoded()


def look_up(address, key):
    return calls.call(
        'GET',
        address,
        f'/v1/submissions/{key}',
        headers=headers_of('office'),
    ).decoded()


@behave.when(
    '{count:d} submissions are cancelled while they and {others:d} others start'
)
def when_cancel_wave(context, count, others):
    first, second = instance_addresses(context)
    keys = mint(first, count + others)
    context.uncancelled = keys[count:]
    with futures.ThreadPoolExecutor(2 * len(keys)) as pool:
        submissions = submit_all(pool, first, keys)
        cancellations = {
            key: pool.submit(cancel, second, key) for key in keys[:count]
        }
        # Holding the first tasks leaves later submissions in the queue, where
        # a cancel can still prevent their start.
        wait_for_prevented_start(second, cancellations)
        when_released(context)
        futures.wait([*submissions, *cancellations.values()])
    context.cancels = {
        key: pending.result() for key, pending in cancellations.items()
    }
    context.ended = {key: wait_for_end(context, key) for key in keys}


def submit_all(pool, address, keys):
    rng = random.Random(4)
    return [
        pool.submit(
            post, address, key, Prefer=rng.choice(('', 'respond-async'))
        )
        for key in keys
    ]


def wait_for_prevented_start(address, cancellations):
    try:
        processes.wait_until(
            lambda: any(
                has_prevented_start(address, key, cancellation)
                for key, cancellation in cancellations.items()
            ),
            'a cancel of a queued submission',
        )
    except processes.ConditionTimeoutError as error:
        answers = [
            (cancellation.result(), look_up(address, key))
            for key, cancellation in cancellations.items()
            if cancellation.done()
        ]
        raise AssertionError(answers) from error


def has_prevented_start(address, key, cancellation):
    if not cancellation.done():
        return False
    answer = cancellation.result()
    if answer['name'] == 'CANCEL_TAKEN':
        # The end of a recorded submission is known once it is written.
        answer = look_up(address, key)
    return answer['name'] == 'CANCELLED'


def wait_for_end(context, key):
    processes.wait_until(functools.partial(has_ended, context, key), 'the end')
    return context.last


def has_ended(context, key):
    return result_name(context, 1, key) != 'PENDING'


def keys_named(answers, name):
    return {key for key, answer in answers.items() if answer['name'] == name}


@behave.then('every submission that is answered CANCELLED started nothing')
def then_cancelled_not_started(context):
    started = {task.partition('/')[0] for task in context.fleet.starts()}
    cancelled = keys_named(context.ended, 'CANCELLED')
    assert cancelled, context.ended
    assert keys_named(context.cancels, 'CANCELLED') <= cancelled, (
        context.cancels,
        context.ended,
    )
    assert not cancelled & started


@behave.then('every submission that is answered COMPLETE has all its answers')
def then_all_answers(context):
    known = {'CANCELLED', 'CANCELLED_DURING_RUN', 'COMPLETE'}
    for answer in context.ended.values():
        assert answer['name'] in known, answer
        if answer['name'] == 'COMPLETE':
            assert len(answer['answers']) == 3, answer


@behave.then('every submission that was not cancelled is answered COMPLETE')
def then_others_complete(context):
    complete = keys_named(context.ended, 'COMPLETE')
    assert complete.issuperset(context.uncancelled), context.ended


@behave.then('a cancel after the end gets the same answer')
def then_same_after_end(context):
    second = instance_addresses(context)[1]
    for key, answer in context.ended.items():
        late = cancel(second, key)
        assert late['name'] == answer['name'], (late, answer)


@behave.when('an unused id is cancelled at the second instance')
def when_unused_cancelled(context):
    first, second = instance_addresses(context)
    context.key = mint(first)[0]
    assert cancel(second, context.key)['name'] == 'CANCELLED'


@behave.when(
    'two teams send 500 requests each, interleaved, with random delays'
)
def when_interleaved(context):
    rng = random.Random(1000)
    requests = [
        (team, f'{team}-{number}', rng.randint(1, 40))
        for number in range(500)
        for team in ('office', 'rival')
    ]
    address = instance_addresses(context)[0]
    with futures.ThreadPoolExecutor(16) as pool:
        pending = [pool.submit(post_echo, address, *item) for item in requests]
    context.pairs = [item.result() for item in pending]


def post_echo(address, team, text, run_ms):
    payload = {'run_ms': run_ms, 'echo': text}
    body = {'tasks': [{'payload': payload}]}
    return text, post(address, team=team, body=body).decoded()


@behave.then('every answer carries the text of its own request')
def then_own_text(context):
    assert len(context.pairs) == 1000
    for text, answer in context.pairs:
        assert answer['name'] == 'COMPLETE', answer
        assert answer['answers'][0]['echo'] == text, (text, answer)
