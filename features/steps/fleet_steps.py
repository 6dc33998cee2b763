"""Steps that run a fleet of real processes."""

import functools
from concurrent import futures

import behave

from guavaroad_standins import calls, fleet, processes


def config_version(address):
    reply = calls.call('GET', address, '/v1/state', headers=operator())
    return reply.decoded()['configuration']['version']


def serves_version(address, version):
    return config_version(address) == version


def operator():
    return {'Authorization': f'Bearer {fleet.OPERATOR_TOKEN}'}


def submit(address, team, body, key=''):
    headers = {'Authorization': f'Bearer {team}-secret'}
    if key:
        headers['Idempotency-Key'] = key
    path = '/v1/jobs/render/submissions'
    return calls.call('POST', address, path, body=body, headers=headers)


def body_of(count, run_ms=20):
    payloads = [{'run_ms': run_ms, 'echo': index} for index in range(count)]
    return {'tasks': [{'payload': payload} for payload in payloads]}


@behave.given('a running fleet of 2 availability zones')
def given_fleet(context):
    context.fleet = fleet.Fleet(plan=fleet.FleetPlan())
    context.fleet.start()


@behave.given('the configuration has job "{job}" for team "{team}"')
def given_configuration(context, job, team):
    first = context.fleet.instances[0].address
    reply = calls.call(
        'PATCH',
        first,
        '/v1/config',
        body={'teams': {team: {}}, 'jobs': {job: {'teams': [team]}}},
        headers={'If-Match': '0', **operator()},
    )
    assert reply.status == 200, reply.body
    for instance in context.fleet.instances:
        processes.wait_until(
            functools.partial(serves_version, instance.address, 1),
            'the configuration is in force',
        )


@behave.when(
    'team "{team}" submits {count:d} tasks of {ms:d} ms to every instance'
)
def when_submits(context, team, count, ms):
    addresses = [instance.address for instance in context.fleet.instances]
    with futures.ThreadPoolExecutor() as pool:
        context.replies = list(
            pool.map(
                lambda address: submit(address, team, body_of(count, ms)),
                addresses,
            )
        )


@behave.when(
    'team "{team}" submits one id of {count:d} tasks to every instance twice'
)
def when_resubmits(context, team, count):
    addresses = [instance.address for instance in context.fleet.instances]
    minted = calls.call(
        'POST',
        addresses[0],
        '/v1/submission-ids',
        body={'count': 1},
        headers={'Authorization': f'Bearer {team}-secret'},
    ).decoded()
    key = minted['extra']['submission_ids'][0]
    with futures.ThreadPoolExecutor() as pool:
        context.replies = list(
            pool.map(
                lambda address: submit(address, team, body_of(count), key),
                addresses * 2,
            )
        )


@behave.then('every answer is COMPLETE with {count:d} answers in order')
def then_complete(context, count):
    for reply in context.replies:
        decoded = reply.decoded()
        assert decoded['name'] == 'COMPLETE', decoded
        echoes = [answer['echo'] for answer in decoded['answers']]
        assert echoes == list(range(count)), echoes


@behave.then('all answers are the same')
def then_same_answers(context):
    answer_lists = [reply.decoded()['answers'] for reply in context.replies]
    assert all(answers == answer_lists[0] for answers in answer_lists)


@behave.then('no task started twice')
def then_started_once(context):
    starts = context.fleet.starts()
    assert len(starts) == len(set(starts)), starts
