"""Steps for ejections, suspended jobs and leaving upstreams."""

import dataclasses

import behave
import msgspec

from guavaroad.domain import attempts, codes, names
from guavaroad.domain.health import upstream_record
from guavaroad.domain.slots import messages
from guavaroad.services import dispatch

FAILED = attempts.Failed(detail='status 500')


def state_of(context, name):
    tracker = context.world.health.upstreams
    return tracker.record_of(names.UpstreamName(name)).state


def use_of(context, name):
    return context.world.slots.uses[names.UpstreamName(name)]


@behave.given('upstream "{name}" fails every task immediately')
def given_failing_upstream(context, name):
    context.world.port.outcomes[name] = FAILED


@behave.given('every upstream fails every task immediately')
def given_all_fail(context):
    for listed in context.world.listed:
        context.world.port.outcomes[listed.name] = FAILED


@behave.given('job "{job}" fails on every upstream')
def given_failing_job(context, job):
    context.world.port.outcomes[job] = FAILED


@behave.given('upstream "{name}" refuses every task because it leaves')
def given_leaving(context, name):
    reason = attempts.NotStartedReason.LEAVING
    context.world.port.outcomes[name] = attempts.NotStarted(reason=reason)
    context.notices = []
    context.world.health.on_upstream_leaving.append(
        lambda *notice: context.notices.append(notice)
    )


@behave.when('upstream "{name}" recovers')
def when_recovers(context, name):
    context.world.port.outcomes.pop(name)


@behave.when('the upstreams "{listed}" succeed {count:d} times each')
def when_succeed(context, listed, count):
    success = attempts.Answered(body=msgspec.Raw(b'1'))
    for name in listed.split():
        for _ in range(count):
            context.world.health.record(
                use_of(context, name), names.JobName('render'), success
            )


@behave.when('the upstream "{name}" fails 2 of every 3 tasks, {count:d} in all')
def when_often_fails(context, name, count):
    success = attempts.Answered(body=msgspec.Raw(b'1'))
    for number in range(count):
        context.world.health.record(
            use_of(context, name),
            names.JobName('render'),
            FAILED if number % 3 else success,
        )


@behave.when('the platform lists that "{name}" leaves')
def when_listed(context, name):
    world = context.world
    world.listed = [
        dataclasses.replace(listed, leaving=listed.name == name)
        for listed in world.listed
    ]
    world.list_upstreams()


@behave.when('a peer reports that "{name}" leaves')
def when_peer_reports(context, name):
    use = use_of(context, name)
    notice = messages.LeavingNotice(
        upstream=use.upstream.name, address=use.upstream.address
    )
    context.world.health.on_leaving_notice(None, notice)


@behave.when('the platform lists every upstream as not leaving')
def when_not_leaving(context):
    world = context.world
    world.dispatcher.set_upstreams(
        dispatch.equal_uses(tuple(world.listed), 0, 1)
    )


@behave.then('upstream "{name}" is {state}')
def then_state(context, name, state):
    assert state_of(context, name) is upstream_record.HealthState(state), (
        state_of(context, name)
    )


@behave.then('upstream "{name}" has started at most {count:d} tasks')
def then_at_most(context, name, count):
    started = [
        upstream
        for upstream, _ in context.world.port.starts
        if upstream == name
    ]
    assert len(started) <= count, len(started)


@behave.then('at most {count:d} upstreams are ejected')
def then_ejected(context, count):
    tracker = context.world.health.upstreams
    ejected = [
        record for record in tracker.records.values() if record.ejections
    ]
    assert len(ejected) <= count, ejected


@behave.then('job "{job}" is refused as suspended')
def then_suspended(context, job):
    request = context.world.request('office', 'normal', 1, job)
    refusal = context.world.dispatcher.refuse(request)
    assert refusal.code is codes.ResultCode.JOB_SUSPENDED, refusal


@behave.then('job "{job}" is not refused')
def then_not_refused(context, job):
    request = context.world.request('office', 'normal', 1, job)
    refusal = context.world.dispatcher.refuse(request)
    assert refusal is None, refusal


@behave.then('the peers are notified once that "{name}" leaves')
def then_notified(context, name):
    assert [upstream for upstream, _ in context.notices] == [name], (
        context.notices
    )
