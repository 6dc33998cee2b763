"""Steps of the soak's checks on made-up observations."""

import dataclasses

import behave

from support import platform_fleet, soak_checks

JOB_ID = '0000000000000001'
QUEUE = 'c'
RESPONSE_S = 0.01


def observe(context, *, status, body, sent_s):
    """Record an answer of the one process to a request for the queue."""
    context.answers = [
        *getattr(context, 'answers', ()),
        platform_fleet.Answer(
            job_id=JOB_ID,
            path=f'/{QUEUE}/{JOB_ID}',
            tasks=1,
            attempt=1,
            status=status,
            body=body,
            process='i0',
            incarnation=1,
            sent_s=sent_s,
            ended_s=sent_s + RESPONSE_S,
            opened_s=sent_s,
        ),
    ]


@behave.given('a client of a queue got status {status:d} with the body {body}')
def given_answer(context, status, body):
    observe(context, status=status, body=body.encode(), sent_s=0)


@behave.when('the same process answers 404 {delay_s:g} s later')
def when_not_found(context, delay_s):
    observe(
        context,
        status=404,
        body=b'{"Reason":"no such queue"}',
        sent_s=RESPONSE_S + delay_s,
    )


@behave.given('connections that were {fault} from 1 s to 2 s')
def given_connections(context, fault):
    disruption = soak_checks.Disruption(
        kind='connection',
        subject='i0',
        begun_s=1,
        ended_s=2,
        is_lasting=fault == 'stalled for good',
    )
    context.disruptions = [disruption]


@behave.when(
    'a client on a connection of {opened_s:g} s sends a request at {sent_s:g} s and waits {waited_s:g} s'
)
def when_waited(context, opened_s, sent_s, waited_s):
    observe(context, status=504, body=b'{}', sent_s=sent_s)
    context.answers[-1] = dataclasses.replace(
        context.answers[-1], opened_s=opened_s, ended_s=sent_s + waited_s
    )


@behave.then('the check reports {found} long wait')
def then_waits(context, found):
    reported = [
        violation
        for violation in soak_checks.violations(observations(context))
        if ' waited ' in violation
    ]
    assert len(reported) == (found == 'a'), reported


def found_by_version_check(context):
    """Return the violations of the check, called as for a real run."""
    return [
        found
        for found in soak_checks.violations(observations(context))
        if QUEUE in found.split()
    ]


def observations(context):
    """Return the observations of a run without starts."""
    return soak_checks.Observations(
        answers=context.answers,
        state={
            'starts': [],
            'done': [],
            'crashes': [],
            'broken': [],
            'late_starts': [],
        },
        disruptions=getattr(context, 'disruptions', []),
        stops=[],
        versions={QUEUE: 0},
    )


@behave.then('the check reports no violation')
def then_no_violation(context):
    found = found_by_version_check(context)
    assert not found, found


@behave.then('the check reports "{violation}"')
def then_violation(context, violation):
    found = found_by_version_check(context)
    assert len(found) == 1, found
    assert violation in found[0], found
