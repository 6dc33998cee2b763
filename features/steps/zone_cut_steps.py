"""Steps for tasks that are started again beyond a cut of the allocator's zone."""

import collections
import functools
import itertools

import behave

from guavaroad.domain.pool import outcomes
from guavaroad_standins import pool_cluster

# After a start was ordered, and before the message to its owner arrives.
ORDERED_S = 0.0002
MAX_STEPS = 100
# Run time of the jobs that outlast a cut.
LONG_WORK_MS = 6000
# Time in which the workers are half full, and then full, in seconds.
FILL_S = 0.05
FILLED_S = 0.2
# Delay of a stop that is carried out late, in seconds.
LATE_STOP_S = 3


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
    cut_with_late_stops(context, LATE_STOP_S)


@behave.then('tasks were started again')
def then_started_again(context):
    starts = context.pool.history.starts
    before = {task for task, _, _ in starts[: context.starts_before]}
    again = {task for task, _, _ in starts[context.starts_before :]}
    assert before & again, (before, again)


@behave.when(
    'messages to the allocator wait, its zone is cut off {cut_s:g} s later with late stops, and links are reset'
)
def when_messages_wait(context, cut_s):
    pool = context.pool
    pool.network.hold(pool.allocator().name)
    context.execute_steps(f'When {cut_s} s pass in the pool')
    cut_with_late_stops(context, LATE_STOP_S)
    reset_outside(pool, context.names[0])


def reset_outside(pool, name):
    """Report the loss of an instance's links to the instances of other zones."""
    for link in pool.network.links:
        other = link.other
        if link.owner != name or not link.is_open or other is None:
            continue
        if pool.zone_of(other.owner) != pool.zone_of(name):
            pool.clock.callLater(pool_cluster.LINK_LATENCY_S, other.lost)


@behave.when(
    "jobs fill the workers from the allocator's zone, and half of them end after {ms:d} ms"
)
def when_filled(context, ms):
    pool = context.pool
    zone = pool.allocator().zone
    inside = [
        name
        for name, instance in pool.instances.items()
        if instance.zone == zone
    ]
    for work_ms, seconds in ((LONG_WORK_MS, FILL_S), (ms, FILLED_S)):
        for _, name in zip(pool.workers, itertools.cycle(inside), strict=False):
            pool.submit(name, tasks=1, work_ms=work_ms)
        pool.run(seconds)


@behave.when(
    "stops in the allocator's zone are carried out {seconds:g} s late, it is cut off, and links are reset"
)
def when_late_stops_and_resets(context, seconds):
    cut_with_late_stops(context, seconds)
    reset_outside(context.pool, context.names[0])


@behave.then('tasks were started after the cut, and again beyond it')
def then_started_beyond(context):
    starts = context.pool.history.starts[context.starts_before :]
    counts = collections.Counter(task for task, _, _ in starts)
    assert max(counts.values()) > 1, counts


@behave.when('the messages arrive {seconds:g} s later')
def when_messages_arrive(context, seconds):
    context.pool.run(seconds)
    context.pool.network.release(context.names[0])
