"""Steps for runs whose owner the allocator has lost."""

import collections
import functools
import itertools

import behave

from guavaroad.domain import units
from guavaroad.domain.pool import messages, outcomes, values
from guavaroad_standins import pool_cluster
from support import allocator_scenes

# After a start was ordered, and before the message to its owner arrives.
ORDERED_S = 0.0002
MAX_STEPS = 100
LOST = values.InstanceName('lost')
KEPT = values.InstanceName('kept')
# Time for which both owners are heard at first.
STEADY_S = 0.1
# Interval between two links to an instance.
REDIAL_S = 0.25
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


@behave.given('an allocator with runs of two owners on one worker')
def given_two_owners(context):
    scene = allocator_scenes.AllocatorScene(workers=1, cpu=32_000)
    context.scene = scene
    context.owners = (LOST, KEPT)
    for owner in context.owners:
        declare(context, owner, f'of-{owner}')
    scene.answer_starts()
    assert len(scene.starts) == len(context.owners)
    run_heard(context, STEADY_S, context.owners)


def declare(context, owner, job):
    scene = context.scene
    task = messages.DeclaredTask(name=values.TaskName(f'{job}.0'), cpu=1000)
    scene.machine.job_admission.declare(
        owner,
        messages.Declare(
            job=values.JobId(job),
            pool='pool',
            urgency=0,
            max_attempts=4,
            payload='',
            estimate_ms=9000,
            age_ms=0,
            objective_ms=6000,
            client_timeout_ms=60_000,
            tasks=(task,),
        ),
        scene.now_s,
    )


def run_heard(context, seconds, owners):
    """Let time pass; some owners are heard before each tick."""
    scene = context.scene
    for _ in range(int(seconds / allocator_scenes.TICK_S + 0.5)):
        for owner in owners:
            scene.machine.orphans.on_owner_heard(owner)
        scene.run(allocator_scenes.TICK_S)
        worker_state = scene.worker(0)
        if worker_state.may_extend_lease(scene.now_s):
            worker_state.extend_lease(scene.now_s)


@behave.when('one of the owners is silent for {seconds:g} s')
def when_silent(context, seconds):
    context.heard_s = context.scene.now_s
    run_heard(context, seconds, (KEPT,))


@behave.then(
    'the lease of the worker ends at most {seconds:g} s after that heartbeat'
)
@behave.then(
    'the lease of the worker ends at most {seconds:g} s after that owner was heard'
)
def then_limited(context, seconds):
    lease = context.scene.worker(0).lease
    assert lease.ends_s <= context.heard_s + seconds, lease


@behave.then('a job of the other owner is {state}')
def then_other_started(context, state):
    scene = context.scene
    before = len(scene.starts)
    declare(context, KEPT, 'next')
    scene.answer_starts()
    assert (len(scene.starts) > before) is (state == 'started'), scene.starts


@behave.when('the run of that owner ends')
def when_lost_run_ends(context):
    name = values.TaskName(f'of-{LOST}.0')
    end = outcomes.ListedEnd(
        position=1,
        task=name,
        number=values.FIRST_RUN,
        kind=values.EndKind.STOPPED,
    )
    scene = context.scene
    scene.machine.job_admission.withdraw(
        LOST, messages.Withdraw(job=values.JobId(f'of-{LOST}'))
    )
    scene.report(allocator_scenes.worker_id_of(0), ended=(end,))


@behave.when(
    'one of the owners withdraws its job, and the stop is not answered'
)
def when_withdrawn(context):
    context.scene.machine.job_admission.withdraw(
        LOST, messages.Withdraw(job=values.JobId(f'of-{LOST}'))
    )


@behave.when(
    'the allocator is paused for {seconds:g} s, and then reads a message of each owner'
)
def when_paused(context, seconds):
    scene = context.scene
    scene.now_s += seconds
    scene.machine.state.contacts.tick(scene.now_s)
    for owner in context.owners:
        scene.machine.orphans.on_owner_heard(owner)


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


@behave.when(
    'each owner answers a heartbeat, and one answer is delayed by {seconds:g} s'
)
def when_answer_delayed(context, seconds):
    scene = context.scene
    context.heard_s = scene.now_s
    run_answering(context, seconds, (KEPT,))
    answer_beat(scene, LOST, context.heard_s)
    run_answering(context, STEADY_S, (KEPT,))


@behave.when('each owner answers a heartbeat without saying which')
def when_answered_plainly(context):
    for owner in context.owners:
        context.scene.machine.orphans.on_owner_beat(owner, -1)


@behave.when('other messages of that owner arrive for {seconds:g} s')
def when_other_messages(context, seconds):
    context.scene.machine.orphans.on_owner_heard(LOST)
    run_heard(context, seconds, context.owners)


@behave.when(
    'one of the owners is linked again, and its first messages arrive for {seconds:g} s'
)
def when_linked_again(context, seconds):
    scene = context.scene
    scene.machine.orphans.on_owner_lost(LOST, scene.now_s, timed_out=False)
    scene.machine.orphans.on_owner_linked(LOST, scene.now_s)
    run_heard(context, seconds, context.owners)


def run_answering(context, seconds, owners):
    """Let time pass; some owners answer a heartbeat before each tick."""
    scene = context.scene
    for _ in range(int(seconds / allocator_scenes.TICK_S + 0.5)):
        for owner in owners:
            answer_beat(scene, owner, scene.now_s)
        run_heard(context, allocator_scenes.TICK_S, ())


def answer_beat(scene, owner, sent_s):
    scene.machine.orphans.on_owner_beat(owner, int(sent_s * units.MS_PER_S))


@behave.then('the lease of the worker can be extended')
def then_extended(context):
    scene = context.scene
    assert scene.worker(0).may_extend_lease(scene.now_s)


@behave.then("the lease of the worker can't be extended")
def then_not_extended(context):
    scene = context.scene
    assert not scene.worker(0).may_extend_lease(scene.now_s)


@behave.when(
    'the link of one owner is reset, and it is {seen} for {seconds:g} s'
)
def when_reset(context, seen, seconds):
    orphans = context.scene.machine.orphans
    for turn in range(int(seconds / REDIAL_S)):
        if not turn or seen != 'not linked':
            orphans.on_owner_lost(LOST, context.scene.now_s, timed_out=False)
        run_heard(context, REDIAL_S, (KEPT,))
        if seen != 'not linked':
            orphans.on_owner_linked(LOST, context.scene.now_s)
        if seen == 'linked and answers':
            orphans.on_owner_heard(LOST)


@behave.then('its job is {state}')
def then_state(context, state):
    is_open = values.JobId(f'of-{LOST}') in context.scene.machine.state.jobs
    assert is_open is (state == 'open')


@behave.then('the cores of the worker still count for admission')
def then_cores(context):
    scene = context.scene
    assert scene.machine.state.pool('pool').capacity.cores(scene.now_s)
