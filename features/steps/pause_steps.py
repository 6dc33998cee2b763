"""Steps for instances that are paused while starts wait there."""

import dataclasses

import behave

from guavaroad.domain.pool import open_jobs
from guavaroad_standins import pool_worker

CLIENT_TIMEOUT_MS = 30_000
# After the declaration has left, and before the starts arrive.
SENT_S = 0.0012
# After the start, and shorter than a run.
RUNNING_S = 0.1


@behave.when('a job is submitted while its owner is paused for {seconds:g} s')
def when_owner_paused(context, seconds):
    pool = context.pool
    owner = submit(context)
    pool.clock.advance(SENT_S)
    pause(context, [owner], seconds)


@behave.when('a job is submitted while every agent is paused for {seconds:g} s')
def when_agents_paused(context, seconds):
    pool = context.pool
    owner = submit(context)
    active = {owner, pool.allocator().name}
    pause(context, sorted(set(pool.instances) - active), seconds)


@behave.when(
    'a job is submitted, and its owner is paused for {seconds:g} s while it runs'
)
def when_paused_in_run(context, seconds):
    pool = context.pool
    owner = submit(context)
    pool.run(RUNNING_S)
    assert pool.history.starts
    pause(context, [owner], seconds)


def submit(context):
    pool = context.pool
    allocator_name = pool.allocator().name
    owner = next(name for name in pool.instances if name != allocator_name)
    request = dataclasses.replace(
        pool.request(tasks=1, work_ms=300), client_timeout_ms=CLIENT_TIMEOUT_MS
    )
    context.last_job = request.job_id
    pool.hand_in(owner, request)
    return owner


@behave.when(
    '{count:d} jobs are submitted while {paused} is paused for {seconds:g} s, and the workers restart at its end'
)
def when_restart_in_pause(context, count, paused, seconds):
    pool = context.pool
    for _ in range(count):
        owner = submit(context)
    pool.clock.advance(SENT_S)
    active = {owner, pool.allocator().name}
    agents = sorted(set(pool.instances) - active)
    names = [owner] if paused == 'its owner' else agents
    pause(context, names, seconds, on_end=restart_workers)


def restart_workers(context):
    """Restart every worker, so that only its next report shows it."""
    for worker in context.pool.workers.values():
        pool_worker.restart(worker)


def nothing(_):
    """Do nothing at the end of a pause."""


def pause(context, names, seconds, on_end=nothing):
    pool = context.pool
    paused = [pool.instances[name] for name in names]
    for instance in paused:
        pool.network.hold(instance.name)
        instance.process.freeze()
    pool.run(seconds)
    context.starts_before = count_starts(context)
    on_end(context)
    for instance in paused:
        instance.process.is_frozen = False
        pool.network.release(instance.name)
        instance.process.resume()


def count_starts(context):
    return {
        name: sum(instance.workers.starts.values())
        for name, instance in context.pool.instances.items()
    }


@behave.then('no start was ordered after the pause')
def then_no_start(context):
    counts = count_starts(context)
    assert counts == context.starts_before, (counts, context.starts_before)


@behave.then('the job is complete')
def then_complete(context):
    outcome, _ = context.pool.outcomes[context.last_job]
    assert isinstance(outcome, open_jobs.Completed), outcome


@behave.then('no task has started twice')
def then_started_once(context):
    starts = [task for task, _, _ in context.pool.history.starts]
    assert len(starts) == len(set(starts)), starts


@behave.then('some starts were meant for an earlier incarnation of a worker')
def then_misdirected(context):
    instances = context.pool.instances.values()
    assert any(instance.workers.misdirected for instance in instances)
