"""Steps for random faults in the worker pool."""

import behave

from guavaroad.services.pool import run_starter
from support import pool_faults

# A job whose earlier attempt got no result may be refused as a new one.
ALLOWED = frozenset(('refused after an earlier attempt',))


@behave.then(
    '{count:d} runs of {seconds:g} s with random faults from seed {seed:d} start no refused job'
)
def then_random_faults(context, count, seconds, seed):
    for number in range(seed, seed + count):
        check_run(number, pool_faults.FaultRun(seed=number), seconds)


@behave.then(
    '{count:d} runs of {seconds:g} s with random faults and worker agents from seed {seed:d} start no refused job'
)
def then_random_faults_agents(context, count, seconds, seed):
    for number in range(seed, seed + count):
        run = pool_faults.FaultRun(seed=number, link_bytes_per_s=200_000)
        check_run(number, run, seconds)


@behave.then(
    '{count:d} runs of {seconds:g} s with random faults, worker agents and delayed messages from seed {seed:d} start no refused job'
)
def then_random_path_faults(context, count, seconds, seed):
    for number in range(seed, seed + count):
        run = pool_faults.FaultRun(
            seed=number, link_bytes_per_s=200_000, has_path_faults=True
        )
        check_run(number, run, seconds)


@behave.then(
    '{count:d} runs of {seconds:g} s with many restarts of workers and pauses of instances from seed {seed:d} start no refused job'
)
def then_random_restarts(context, count, seconds, seed):
    for number in range(seed, seed + count):
        run = pool_faults.FaultRun(
            seed=number, link_bytes_per_s=200_000, has_path_faults=True
        )
        run.faults.add_restarts_and_pauses()
        check_run(number, run, seconds)


@behave.then(
    '{count:d} runs of {seconds:g} s with zones cut off behind waiting messages from seed {seed:d} start no refused job'
)
def then_random_cuts(context, count, seconds, seed):
    for number in range(seed, seed + count):
        run = pool_faults.FaultRun(seed=number)
        run.faults.add_cuts_behind_messages()
        check_run(number, run, seconds)


def check_run(number, run, seconds):
    run.run(seconds)
    found = {
        kind: described[:3]
        for kind, described in run.violations().items()
        if described and kind not in ALLOWED
    }
    assert not found, (number, found, run.faults.log)


@behave.when(
    'a client disconnects and sends its job again to the same instance at once'
)
def when_sent_again_at_once(context):
    pool = context.pool
    owner = other_than_allocator(pool)
    request = pool.request(tasks=2, work_ms=100)
    open_job = pool.hand_in(owner, request, lambda _: False)
    pool.instances[owner].node.job_owner.on_client_gone(open_job)
    pool.hand_in(owner, request)


def other_than_allocator(pool):
    allocator_name = pool.allocator().name
    return next(name for name in pool.instances if name != allocator_name)


@behave.then('no refused attempt has started a task')
def then_none_refused(context):
    promises = context.pool.promises
    found = promises.false_answers() + promises.late_starts()
    assert not found, found


@behave.when(
    'the end of a job is lost since the link of its owner is reset {count:d} times under load'
)
def when_end_lost(context, count):
    pool = context.pool
    owner = other_than_allocator(pool)
    allocator_name = pool.allocator().name
    others = [name for name in pool.instances if name != owner]
    load = {'names': others, 'tasks': 3, 'work_ms': 900, 'urgency': 0}
    request = pool.request(tasks=1, work_ms=900, urgency=0)
    pool.history.work_s[request.tasks[0].name] = 0.03
    pool.hand_in(owner, request)
    deliver = pool.network.deliver
    pool.network.deliver = lambda sender, receiver, action: (
        (sender, receiver) == (allocator_name, owner)
        or deliver(sender, receiver, action)
    )
    for _ in range(count):
        pool.load(0.3, 60, **load)
        for link in pool.network.links:
            if link.owner == owner and link.is_open:
                lose_link(link)
    pool.network.deliver = deliver
    pool.load(1, 60, **load)


def lose_link(link):
    other = link.other
    if other is not None:
        link.other = None
        other.other = None
        other.lost()
        link.lost()


@behave.when('the allocator reaches no worker for {seconds:g} s')
def when_no_worker_reached(context, seconds):
    pool = context.pool
    name = pool.allocator().name
    pool.cut_pairs.update((name, worker_id) for worker_id in pool.workers)
    pool.run(seconds)


@behave.when('its agents do not respond')
def when_agents_paused(context):
    pool = context.pool
    starter = pool.allocator().node.parts.starter
    for name in pool.instances:
        starter.links[name] = run_starter.AgentLink(
            paused_until_s=pool.clock.seconds()
            + run_starter.UNREACHABLE_PAUSE_S
        )


@behave.then('every instance becomes idle')
def then_idle(context):
    busy = {
        name: instance.process.busy
        for name, instance in context.pool.instances.items()
        if instance.process.busy
    }
    assert not busy, busy
