"""Steps for jobs whose allocator is lost, and for the next election."""

import behave

from guavaroad.domain.pool import (
    election,
    open_jobs,
    peer_messages,
    rival_claims,
    values,
)

SILENT = peer_messages.PollAnswer(token=values.Token(1), last_message_age_ms=-1)
SERVED = peer_messages.PollAnswer(token=values.Token(1), last_message_age_ms=20)


def term_of(allocator):
    """Return the term of an allocator without successors."""
    return election.Term(
        token=values.Token(1),
        allocator=values.InstanceName(allocator),
        reserved_token_base=values.Token(1),
    )


def instance_away(pool):
    """Return an instance in another zone than the allocator."""
    zone = pool.allocator().zone
    return next(
        instance
        for instance in pool.instances.values()
        if instance.zone != zone
    )


@behave.when(
    '{per_s:d} jobs per second of {tasks:d} tasks of {ms:d} ms are submitted outside it for {seconds:g} s'
)
def when_load_outside(context, per_s, tasks, ms, seconds):
    pool = context.pool
    names = [
        name
        for name, instance in pool.instances.items()
        if instance.zone != pool.cut_zone
    ]
    before = set(pool.sent)
    pool.load(seconds, per_s, names=names, tasks=tasks, work_ms=ms)
    context.sent_jobs = set(pool.sent) - before


@behave.then('each of these jobs is complete within {ms:d} ms')
def then_complete(context, ms):
    outcomes = context.pool.outcomes
    assert context.sent_jobs
    found = {
        job: outcomes.get(job)
        for job in context.sent_jobs
        if job not in outcomes
        or not isinstance(outcomes[job][0], open_jobs.Completed)
        or outcomes[job][1] * 1000 > ms
    }
    assert not found, found


@behave.when(
    'a job of {tasks:d} tasks of {ms:d} ms is submitted away from the allocator, whose instance is cut off'
)
def when_submitted_cut_off(context, tasks, ms):
    pool = context.pool
    owner = instance_away(pool)
    pool.cut_instances = {owner.name}
    owner.cluster.is_disconnected = True
    context.last_job = pool.submit(owner.name, tasks=tasks, work_ms=ms)


@behave.when(
    'a job of {tasks:d} tasks of {ms:d} ms starts, and its instance is cut off before the ends'
)
def when_started_cut_off(context, tasks, ms):
    pool = context.pool
    owner = instance_away(pool)
    context.last_job = pool.submit(owner.name, tasks=tasks, work_ms=ms)
    while not pool.promises.job(context.last_job).starts:
        pool.run(0.005)
    pool.cut_instances = {owner.name}
    owner.cluster.is_disconnected = True


@behave.then('the last job is refused as not run within {ms:d} ms')
def then_not_run(context, ms):
    outcome, age_s = context.pool.outcomes[context.last_job]
    assert isinstance(outcome, open_jobs.NotRun), outcome
    assert age_s * 1000 <= ms, age_s


@behave.then('the outcome of the last job is unknown')
def then_unknown(context):
    outcome, _ = context.pool.outcomes[context.last_job]
    assert isinstance(outcome, open_jobs.OutcomeUnknown), outcome


@behave.given(
    'instances "{ranked}" in zones "{zones}", of which "{allocator}" was the allocator'
)
def given_ranked(context, ranked, zones, allocator):
    context.term = term_of(allocator)
    context.zones = dict(zip(ranked.split(), zones.split(), strict=True))


@behave.then('they take turns in the order "{order}"')
def then_order(context, order):
    candidates = [
        name for name in context.zones if name != context.term.allocator
    ]

    turns_s = {
        name: election.turn_delay_s(
            term=context.term,
            name=name,
            instances=context.zones,
            zones=context.zones,
        )
        for name in candidates
    }
    assert sorted(candidates, key=turns_s.get) == order.split(), turns_s


@behave.given('an election poll of {others:d} other instances')
def given_poll(context, others):
    context.others = others


@behave.when(
    '{silent:d} answer that they follow no allocator, and {served:d} that they follow one'
)
def when_answers(context, silent, served):
    context.is_conclusive = election.is_conclusive(
        term=term_of('a'),
        others=context.others,
        answers=[SILENT for _ in range(silent)]
        + [SERVED for _ in range(served)],
    )


@behave.then('the poll is {state}')
def then_poll(context, state):
    assert context.is_conclusive == (state == 'over')


@behave.then('an instance allocates within {ms:d} ms')
def then_allocates_within(context, ms):
    context.pool.run(ms / 1000)
    assert context.pool.allocators()


@behave.given(
    'the row of another instance was first seen {ms:d} ms before a poll'
)
def given_row(context, ms):
    context.row = election.AllocatorRow(
        token=values.Token(35), allocator=values.InstanceName('a'), version=3
    )
    context.claims = rival_claims.RivalClaims()
    context.claims.record(context.row, -ms / 1000)


@behave.when(
    'it is read {ms:d} ms after the poll, and its instance has answered {answer}'
)
def when_row_read(context, ms, answer):
    reply = None
    if answer != 'nothing':
        token = values.Token(0 if answer == 'that it is new' else 35)
        reply = peer_messages.PollAnswer(token=token, last_message_age_ms=-1)
    context.is_over = context.claims.is_over(
        context.row, polled_s=0, answer=reply, now_s=ms / 1000
    )


@behave.then('the claim is {state}')
def then_claim(context, state):
    assert context.is_over == (state == 'over')
