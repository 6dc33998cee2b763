"""Steps about ejections, suspended jobs and leaving upstreams."""

import dataclasses

import behave
import msgspec

from guavaroad.domain import attempts, codes, names
from guavaroad.domain.health import upstream_record
from guavaroad.domain.slots import messages
from guavaroad.services import dispatch

FAILED = attempts.Failed(detail='status 500')


def state_of(context, name):
    books = context.world.health.upstreams
    return books.record_of(names.UpstreamName(name)).state


def use_of(context, name):
    return context.world.slots.uses[names.UpstreamName(name)]


@behave.given('upstream "{name}" fails every task at once')
def given_black_hole(context, name):
    context.world.port.outcomes[name] = FAILED


@behave.given('every upstream fails every task at once')
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
    context.told = []
    context.world.health.on_upstream_leaving.append(
        lambda *notice: context.told.append(notice)
    )


@behave.when('upstream "{name}" is mended')
def when_mended(context, name):
    context.world.port.outcomes.pop(name)


@behave.when('the upstreams "{listed}" succeed {count:d} times each')
def when_succeed(context, listed, count):
    success = attempts.Answered(body=msgspec.Raw(b'1'))
    for name in listed.split():
        for _ in range(count):
            context.world.health.record(
                use_of(context, name), names.JobName('render'), success
            )


@behave.when('the upstream "{name}" fails two times in three of {count:d}')
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
        dataclasses.replace(one, leaving=one.name == name)
        for one in world.listed
    ]
    world.list_upstreams()


@behave.when('a peer tells that "{name}" leaves')
def when_peer_tells(context, name):
    use = use_of(context, name)
    notice = messages.LeavingNotice(
        upstream=use.upstream.name, address=use.upstream.address
    )
    context.world.health.on_leaving_notice(None, notice)


@behave.when('the platform lists every upstream as staying')
def when_staying(context):
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
    started = [one for one, _ in context.world.port.starts if one == name]
    assert len(started) <= count, len(started)


@behave.then('at most {count:d} upstreams are ejected')
def then_ejected(context, count):
    book = context.world.health.upstreams
    ejected = [one for one in book.records.values() if one.ejections]
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


@behave.then('the peers are told once that "{name}" leaves')
def then_told(context, name):
    assert [told for told, _ in context.told] == [name], context.told
