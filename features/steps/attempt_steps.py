"""Steps for the attempts of clients to hand in the same job."""

import collections

import behave

from guavaroad.domain.pool import messages, open_jobs

# Until the starts of a job have been decided, in seconds.
DECIDED_S = 0.02
# Until a message has arrived, in seconds.
ARRIVED_S = 0.01


def owner_other_than_allocator(pool):
    allocator_name = pool.allocator().name
    return next(
        instance
        for name, instance in pool.instances.items()
        if name != allocator_name
    )


def submit(context):
    """Submit a job whose client does not wait for the answer."""
    pool = context.pool
    context.owner = owner_other_than_allocator(pool)
    context.request = pool.request(tasks=2, work_ms=100)
    return pool.hand_in(context.owner.name, context.request, lambda _: False)


@behave.when(
    'a job is sent again to the same instance and the first attempt is withdrawn late'
)
def when_withdrawn_late(context):
    job_owner = submit_recorded(context)
    context.pool.hand_in(context.owner.name, context.request)
    link = job_owner.link
    context.pool.run(ARRIVED_S)
    link.send(context.withdrawal)


def submit_recorded(context):
    """Submit a job, and record its withdrawal instead of sending it."""
    open_job = submit(context)
    context.pool.run(DECIDED_S)
    job_owner = context.owner.node.job_owner
    link = job_owner.link
    recorder = Recorder()
    job_owner.link = recorder
    job_owner.withdraw(open_job)
    job_owner.link = link
    context.withdrawal = recorder.sent[0]
    assert isinstance(context.withdrawal, messages.Withdraw)
    return job_owner


class Recorder:
    """A link that records what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        """Record a message."""
        self.sent.append(message)


@behave.when(
    'a job is sent again to the same instance while its link is lost after the withdrawal'
)
def when_link_lost(context):
    pool = context.pool
    open_job = submit(context)
    owner = context.owner
    pool.run(DECIDED_S)
    owner.node.job_owner.on_client_gone(open_job)
    link = owner.node.allocator_follower.link
    other = link.other
    # What is sent from now on is lost, in both directions.
    link.other = None
    other.other = None
    pool.run(ARRIVED_S)
    pool.hand_in(owner.name, context.request)
    pool.run(ARRIVED_S)
    other.lost()
    link.lost()


@behave.when(
    'a job is sent again to the same instance before it receives the starts of the first attempt'
)
def when_starts_late(context):
    pool = context.pool
    open_job = submit(context)
    name = context.owner.name
    pool.network.hold(name)
    pool.run(DECIDED_S)
    context.owner.node.job_owner.on_client_gone(open_job)
    pool.hand_in(name, context.request)
    pool.network.release(name)


def only_job(pool):
    jobs = list(pool.promises.jobs.values())
    assert len(jobs) == 1, jobs
    return jobs[0]


@behave.then('the last attempt is answered with its result')
def then_answered_with_result(context):
    job = only_job(context.pool)
    assert isinstance(job.attempts[-1].outcome, open_jobs.Completed), str(job)


@behave.then('each of its tasks has started once')
def then_started_once(context):
    job = only_job(context.pool)
    started = collections.Counter(name for _, name in job.starts)
    assert set(started.values()) == {1}, str(job)
    assert len(started) == len(context.request.tasks), str(job)
