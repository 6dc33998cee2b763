"""Steps for the contacts with owners, which limit the leases of their runs."""

import behave

from guavaroad.domain import units
from guavaroad.domain.pool import messages, outcomes, values
from support import allocator_scenes

LOST = values.InstanceName('lost')
KEPT = values.InstanceName('kept')
# Time for which both owners are heard at first.
STEADY_S = 0.1
# Interval between two links to an instance.
REDIAL_S = 0.25


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


@behave.when(
    'the link of one owner is reset, linked again {linked_s:g} s later, and it answers after {answer_s:g} s'
)
def when_answers_after(context, linked_s, answer_s):
    scene = context.scene
    orphans = scene.machine.orphans
    orphans.on_owner_lost(LOST, scene.now_s, timed_out=False)
    run_heard(context, linked_s, (KEPT,))
    orphans.on_owner_linked(LOST, scene.now_s)
    run_heard(context, answer_s, (KEPT,))
    orphans.on_owner_heard(LOST)


@behave.then('its job is {state}')
def then_state(context, state):
    is_open = values.JobId(f'of-{LOST}') in context.scene.machine.state.jobs
    assert is_open is (state == 'open')


@behave.then('the cores of the worker still count for admission')
def then_cores(context):
    scene = context.scene
    assert scene.machine.state.pool('pool').capacity.cores(scene.now_s)
