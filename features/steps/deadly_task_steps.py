"""Steps for tasks that crash the workers that start them."""

import dataclasses

import behave

from guavaroad.domain.pool import open_jobs
from support import pool_deadly, pool_worlds

RESEND_DELAY_S = 1.3
MAX_LATE_STARTS = 2


def deadly_request(context, **changes):
    pool = context.pool
    context.deadly = pool_deadly.DeadlyTasks(world=pool)
    request = dataclasses.replace(pool.request(tasks=1, work_ms=60), **changes)
    context.deadly.tasks.add(request.tasks[0].name)
    context.last_job = request.job_id
    return request


def away_from_allocator(pool):
    allocator = pool.allocator().name
    return next(name for name in pool.instances if name != allocator)


@behave.when(
    'a job with a task that crashes its workers is submitted by a client that waits {seconds:g} s'
)
def when_deadly(context, seconds):
    request = deadly_request(context, client_timeout_ms=int(seconds * 1000))
    context.pool.hand_in(away_from_allocator(context.pool), request)


@behave.when(
    'a job with a task that crashes its workers is submitted at the allocator'
)
def when_deadly_at_allocator(context):
    context.request = deadly_request(context, client_timeout_ms=30_000)
    context.pool.hand_in(context.pool.allocator().name, context.request)


@behave.when(
    'the allocator is killed after the task has crashed {count:d} workers'
)
def when_killed_after_crashes(context, count):
    pool = context.pool
    name = context.request.tasks[0].name
    while context.deadly.crashes[name] < count:
        pool.run(pool_worlds.STEP_S)
    context.killed = pool.allocator().name
    pool.kill(context.killed)
    pool.run(RESEND_DELAY_S)


@behave.when('the client sends the deadly job again to another instance')
def when_deadly_again(context):
    names = [name for name in context.pool.instances if name != context.killed]
    context.pool.hand_in(names[0], context.request)


@behave.when(
    'a client sends a job with a task that crashes its workers again and again for {seconds:g} s'
)
def when_sent_again(context, seconds):
    pool = context.pool
    request = deadly_request(context)
    end_s = pool.clock.seconds() + seconds
    names = list(pool.instances)
    attempts = 0
    while pool.clock.seconds() < end_s:
        pool.outcomes.pop(request.job_id, None)
        pool.hand_in(names[attempts % len(names)], request)
        attempts += 1
        while request.job_id not in pool.outcomes:
            pool.run(0.1)
        outcome, _ = pool.outcomes[request.job_id]
        if not isinstance(outcome, open_jobs.OutcomeUnknown):
            pool.run(end_s - pool.clock.seconds())
        pool.run(RESEND_DELAY_S)


@behave.when(
    'the allocator is killed after {first:g} s, and the next one after {second:g} s'
)
def when_allocators_killed(context, first, second):
    pool = context.pool
    killed = pool.allocator().name
    owner = next(
        name
        for name, instance in pool.instances.items()
        if context.last_job in instance.node.job_owner.jobs
    )
    pool.run(first)
    pool.kill(killed)
    pool.run(second - first)
    if pool.allocator().name != owner:
        pool.kill(pool.allocator().name)


@behave.then('the last job has failed or its outcome is unknown')
def then_failed(context):
    outcome, _ = context.pool.outcomes[context.last_job]
    is_true = isinstance(
        outcome, open_jobs.JobFailed | open_jobs.OutcomeUnknown
    )
    assert is_true, outcome


@behave.then(
    'no task is started three times after it has crashed three workers'
)
def then_few_starts(context):
    deadly = context.deadly
    assert sum(deadly.crashes.values()) > 1, deadly.crashes
    found = {
        task: count
        for task, count in deadly.late_starts.items()
        if count > MAX_LATE_STARTS
    }
    assert not found, (found, deadly.crashes)


@behave.then('no job but the one whose task crashes its workers has failed')
def then_only_failed(context):
    failed = [
        job
        for job, (outcome, _) in context.pool.outcomes.items()
        if isinstance(outcome, open_jobs.JobFailed)
    ]
    assert set(failed) <= {context.last_job}, failed
    assert context.last_job in context.pool.outcomes
