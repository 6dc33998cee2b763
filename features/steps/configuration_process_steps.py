"""Steps for configuration patches on a fleet of real processes."""

import functools
import threading
import types
from concurrent import futures
from http import client

import behave

from guavaroad_standins import calls, fleet, processes

OPERATOR = types.MappingProxyType(
    {'Authorization': f'Bearer {fleet.OPERATOR_TOKEN}'}
)


def patch_real(instance, base, tasks=50):
    change = {
        'teams': {'office': {}},
        'jobs': {'render': {'teams': ['office'], 'max_tasks': tasks}},
    }
    return calls.call(
        'PATCH',
        instance.address,
        '/v1/config',
        body=change,
        headers={'If-Match': str(base), **OPERATOR},
        timeout_s=40,
    )


def version_of(instance):
    try:
        reply = calls.call(
            'GET', instance.address, '/v1/config', headers=OPERATOR
        )
    except (OSError, client.HTTPException):
        return None
    return (reply.decoded().get('extra') or {}).get('version')


def serves_now(instance, version):
    return version_of(instance) == version


@behave.when(
    '{count:d} operators patch version {base:d} of the real fleet at once'
)
def when_concurrent(context, count, base):
    instances = context.fleet.instances
    chosen = [instances[number % len(instances)] for number in range(count)]
    with futures.ThreadPoolExecutor(count) as pool:
        context.replies = list(
            pool.map(
                lambda number: patch_real(chosen[number], base, number + 1),
                range(count),
            )
        )


@behave.when('an operator patches version {base:d} at the last process')
def when_patch_last(context, base):
    context.replies = [patch_real(context.fleet.instances[-1], base)]


@behave.then('one answer is PATCH_ACCEPTED and {stale_count:d} are PATCH_STALE')
def then_real_answers(context, stale_count):
    answer_names = [reply.decoded()['name'] for reply in context.replies]
    assert answer_names.count('PATCH_ACCEPTED') == 1, answer_names
    assert answer_names.count('PATCH_STALE') == stale_count, answer_names


@behave.then('every process serves version {version:d} within {seconds:d} s')
def then_process_version(context, version, seconds):
    for instance in context.fleet.instances:
        processes.wait_until(
            functools.partial(serves_now, instance, version),
            f'{instance.name} serves version {version}',
            seconds,
        )


def process_of(context, position):
    index = {'first': 0, 'last': -1}[position]
    instance = context.fleet.instances[index]
    return instance.process


@behave.when('the {position:w} process is stopped')
def when_stopped(context, position):
    process_of(context, position).freeze()


@behave.when('the {position:w} process is continued')
def when_continued(context, position):
    process_of(context, position).thaw()


@behave.when('the platform stand-in goes down')
def when_platform_down(context):
    fleet.set_faults(context.fleet.platform_address, down=True)


@behave.when('the first process is killed and started again')
def when_restarted(context):
    process_of(context, 'first').kill()
    context.fleet.start_instance(context.fleet.instances[0])


def has_proposal(instance):
    reply = calls.call('GET', instance.address, '/v1/config', headers=OPERATOR)
    return reply.decoded()['extra']['proposal']


def patch_ignoring_errors(instance):
    try:
        patch_real(instance, 0)
    except (OSError, client.HTTPException):
        return


@behave.when('the first process is killed while it drives a patch of version 0')
def when_killed_driving(context):
    driver = context.fleet.instances[0]
    patch_thread = threading.Thread(target=patch_ignoring_errors, args=[driver])
    patch_thread.start()
    processes.wait_until(
        functools.partial(has_proposal, driver), 'the proposal is open'
    )
    process_of(context, 'first').kill()
    patch_thread.join()


@behave.then(
    'a patch of version {base:d} at the last process is accepted within {seconds:d} s'
)
def then_next_real(context, base, seconds):
    instance = context.fleet.instances[-1]
    processes.wait_until(
        lambda: (
            patch_real(instance, base).decoded()['name'] == 'PATCH_ACCEPTED'
        ),
        'the next patch is accepted',
        seconds,
    )
