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
