"""Steps for runs whose owner the allocator has lost."""

import functools

import behave

from guavaroad.domain.pool import outcomes

# After a start was ordered, and before the message to its owner arrives.
ORDERED_S = 0.0002
MAX_STEPS = 100


@behave.when(
    "{jobs:d} jobs of 1 task of {ms:d} ms are submitted outside the allocator's zone"
)
def when_submitted(context, jobs, ms):
    pool = context.pool
    zone = pool.allocator().zone
    outside = [
        name
        for name, instance in pool.instances.items()
        if instance.zone != zone
    ]
    for number in range(jobs):
        pool.submit(outside[number % len(outside)], tasks=1, work_ms=ms)


@behave.when(
    "stops in the allocator's zone are carried out {seconds:g} s late, and it is cut off"
)
def when_late_stops(context, seconds):
    cut_with_late_stops(context, seconds)


def cut_with_late_stops(context, late_s):
    pool = context.pool
    zone = pool.allocator().zone
    context.names = [pool.allocator().name]
    for worker in pool.workers.values():
        if worker.worker_info.zone == zone:
            delay_stops(pool.clock, worker, late_s)
    context.starts_before = len(pool.history.starts)
    pool.cut(zone)


def delay_stops(clock, worker, late_s):
    """Have a worker carry out each stop late, without an answer."""
    worker.stop = functools.partial(stop_late, clock, worker.stop, late_s)


def stop_late(clock, stop, late_s, order):
    clock.callLater(late_s, stop, order)
    return outcomes.NoAnswer(detail='no answer in time')


@behave.when(
    '{per_s:d} jobs per second of 1 task of {ms:d} ms are submitted at the allocator for {seconds:g} s'
)
def when_load_at_allocator(context, per_s, ms, seconds):
    context.pool.load(seconds, per_s, names=context.names, tasks=1, work_ms=ms)


@behave.when(
    'they are started, but messages to their owner are lost in a cut with late stops'
)
def when_started_unknown(context):
    pool = context.pool
    for _ in range(MAX_STEPS):
        if pool.history.starts:
            break
        pool.clock.advance(ORDERED_S)
    cut_with_late_stops(context, 3)


@behave.then('tasks were started again')
def then_started_again(context):
    starts = context.pool.history.starts
    before = {task for task, _, _ in starts[: context.starts_before]}
    again = {task for task, _, _ in starts[context.starts_before :]}
    assert before & again, (before, again)
