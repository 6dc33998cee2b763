"""Steps for the promise that a refused job never runs."""

import behave

JOBS_PER_S = 200
STEP_S = 0.005
# Between the arrival of a message and that of its answer.
HALF_ROUND_TRIP_S = 0.0015


def owner_of_last_job(context):
    pool = context.pool
    return next(
        instance
        for instance in pool.instances.values()
        if context.last_job in instance.node.job_owner.jobs
    )


def reset(link):
    """Lose both ends of a link, with the messages in transit."""
    other = link.other
    link.other = None
    other.other = None
    other.lost()
    link.lost()


def load_others(pool, owner, seconds):
    names = [name for name in pool.instances if name != owner.name]
    pool.load(seconds, JOBS_PER_S, names=names, tasks=4, work_ms=300)


@behave.when(
    'the link of its owner is reset {count:d} times in an overload, each time before an answer arrives'
)
def when_reset_in_series(context, count):
    pool = context.pool
    owner = owner_of_last_job(context)
    follower = owner.node.allocator_follower
    pool.clock.advance(HALF_ROUND_TRIP_S)
    for _ in range(count):
        link = follower.link
        reset(link)
        while follower.link in {None, link}:
            load_others(pool, owner, STEP_S)
    load_others(pool, owner, 1)


@behave.then('the last job is answered')
def then_answered(context):
    assert context.last_job in context.pool.outcomes


@behave.when('its client disconnects')
def when_client_disconnects(context):
    owner = owner_of_last_job(context)
    context.owner = owner
    owner.node.job_owner.on_client_gone(
        owner.node.job_owner.jobs[context.last_job]
    )


@behave.when('{seconds:g} s pass in the pool in an overload')
def when_overloaded(context, seconds):
    pool = context.pool
    pool.load(seconds, JOBS_PER_S, tasks=4, work_ms=300)


@behave.when('the client sends the job again to another instance')
def when_sent_again(context):
    pool = context.pool
    name = next(
        name
        for name in reversed(pool.instances)
        if name not in pool.network.dead
        and context.last_job not in pool.instances[name].node.job_owner.jobs
        and pool.instances[name] is not getattr(context, 'owner', None)
    )
    send_again(context, name)


@behave.when('the client sends the job again to the same instance')
def when_sent_again_to_owner(context):
    send_again(context, context.owner.name)


def send_again(context, name):
    pool = context.pool
    pool.outcomes.pop(context.last_job, None)
    work_s = pool.history.work_s[f'{context.last_job}.0.0.0']
    pool.submit(name, tasks=2, work_ms=work_s * 1000, job=context.last_job)


@behave.when('every other instance is killed')
def when_others_killed(context):
    pool = context.pool
    for name, instance in pool.instances.items():
        if instance is not context.owner:
            pool.kill(name)


@behave.when('its owner is killed')
def when_owner_killed(context):
    context.pool.kill(owner_of_last_job(context).name)


@behave.when('its owner is cut off from the store')
def when_owner_without_store(context):
    node = context.owner.node
    node.candidate.withdrawn = True
    node.stop_allocating(retiring=False)


@behave.when('the link of its owner is reset before it hears of the starts')
def when_reset_before_starts(context):
    pool = context.pool
    owner = owner_of_last_job(context)
    context.owner = owner
    pool.clock.advance(HALF_ROUND_TRIP_S)
    reset(owner.node.allocator_follower.link)


@behave.when(
    'its client disconnects just before the link of its owner is reset'
)
def when_client_disconnects_before_reset(context):
    when_client_disconnects(context)
    reset(context.owner.node.allocator_follower.link)


@behave.when('its client disconnects just after the link of its owner is reset')
def when_client_disconnects_after_reset(context):
    reset(owner_of_last_job(context).node.allocator_follower.link)
    when_client_disconnects(context)


@behave.then('the allocator has no job')
def then_no_job(context):
    machine = context.pool.allocator().node.active_allocator.machine
    assert not machine.state.jobs, machine.state.jobs


@behave.when('its owner loses the client')
def when_owner_loses_client(context):
    when_client_disconnects(context)


@behave.when('its owner still waits for the tasks')
def when_owner_waits(context):
    context.owner = owner_of_last_job(context)


@behave.when('its owner stops, with {seconds:g} s left')
def when_owner_stops(context, seconds):
    pool = context.pool
    node = context.owner.node
    node.stop(exit_deadline_s=pool.clock.seconds() + seconds)
    pool.clock.callLater(seconds, node.job_owner.finish_all, 'instance stops')
