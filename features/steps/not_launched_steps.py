"""Steps for starts that owners have not sent."""

import types

import behave

from guavaroad.domain.pool import agent_messages, values
from guavaroad.services.pool import (
    job_launcher,
    pending_calls,
    start_router,
)


@behave.given('a call in the term with token {token:d}')
def given_call(context, token):
    context.outcomes = []
    context.pending = pending_calls.PendingCalls()
    context.call = context.pending.add(
        None, context.outcomes.append, deadline_s=1
    ).call
    context.router = start_router.StartRouter(
        token=values.Token(token),
        assignments=types.SimpleNamespace(agents=()),
        pending=context.pending,
        starter=None,
    )


@behave.when('the owner reports that it has not sent that call, with {token}')
def when_not_launched(context, token):
    message = agent_messages.NotLaunched(
        calls=(context.call,), is_job_open=True
    )
    if token != 'no token':
        message = agent_messages.NotLaunched(
            calls=(context.call,),
            is_job_open=True,
            token=values.Token(int(token.removeprefix('token '))),
        )
    context.router.on_not_launched(values.InstanceName('owner'), message)


@behave.then('the call is {state}')
def then_call(context, state):
    assert bool(context.outcomes) is (state == 'refused'), context.outcomes


@behave.given(
    'an owner whose start is rejected after it has followed the next allocator'
)
def given_rejected_late(context):
    context.sent = []
    link = types.SimpleNamespace(send=context.sent.append)
    job = types.SimpleNamespace(
        request=types.SimpleNamespace(payload=''), start_of=str
    )
    owner = types.SimpleNamespace(
        attempts=types.SimpleNamespace(find=lambda _: job), link=link, token=1
    )
    shipped = {}
    job_launcher.JobLauncher(
        owner=owner, starter=types.SimpleNamespace(send=shipped.update)
    ).launch(
        agent_messages.LaunchRuns(
            job=values.JobId('1'),
            launches=(
                agent_messages.Launch(
                    call=1,
                    index=0,
                    run=values.FIRST_RUN,
                    worker_id=values.WorkerId('w0'),
                    agent=values.InstanceName('agent'),
                    until_ms=900,
                ),
            ),
        ),
        is_outdated=False,
    )
    owner.token = 2
    shipped['on_rejected']((1,))


@behave.then('the next allocator is told of no start that was not sent')
def then_not_told(context):
    assert not context.sent, context.sent
