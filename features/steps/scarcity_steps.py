"""Steps for the choice between jobs when more work arrives than can be done."""

import collections
import random

import behave
import msgspec

from guavaroad.domain.pool import return_times, scarcity, values
from support import allocator_scenes, burst_replay

SEED = 1
# Jobs from which the mean work of a job is known.
PROBE_PER_S = 1000
HINT_STEP_MS = 100
TENTH = 0.1
OLD = values.JobId('old')
NEW = values.JobId('new')


def _never(*_):
    return False


def replay(*, ratio, seconds, workers, crowd_share=0, choosing=True):
    """Replay a burst that asks for a multiple of all cores."""
    probe = burst_replay.arrivals_of(
        rng=random.Random(SEED), per_s=PROBE_PER_S, seconds=2
    )
    core_s = burst_replay.mean(job.core_s for job in probe)
    cores = workers * burst_replay.WORKER_CPU / 1000
    world = burst_replay.BurstReplay(
        workers=workers,
        arrivals=burst_replay.arrivals_of(
            rng=random.Random(SEED),
            per_s=ratio * cores / core_s,
            seconds=seconds,
            crowd_share=crowd_share,
        ),
    )
    if not choosing:
        room = world.machine.state.pool('pool').room
        room.is_short = _never
    return world.run()


@behave.when(
    'a burst at {ratio:g} times the capacity is replayed for {seconds:g} s on {workers:d} workers'
)
def when_burst(context, ratio, seconds, workers):
    context.load = {'ratio': ratio, 'seconds': seconds, 'workers': workers}
    context.world = replay(**context.load)
    context.jobs = list(context.world.arrivals.values())


@behave.when(
    'a burst at {ratio:g} times the capacity is replayed for {seconds:g} s on {workers:d} workers with half of the jobs at one instance'
)
def when_crowd(context, ratio, seconds, workers):
    context.world = replay(
        ratio=ratio, seconds=seconds, workers=workers, crowd_share=0.5
    )
    context.jobs = list(context.world.arrivals.values())


@behave.given('a pool whose callers have been refused in turn')
def given_refused(context):
    context.returns = return_times.ReturnTimes()
    context.returns.remember(OLD)


@behave.given('an allocator of {workers:d} workers that has taken over')
def given_allocator(context, workers):
    context.scene = allocator_scenes.AllocatorScene(
        workers=workers, cpu=burst_replay.WORKER_CPU
    )


@behave.when('{count:d} jobs are declared that have waited for {seconds:g} s')
def when_declared_again(context, count, seconds):
    arrivals = burst_replay.arrivals_of(
        rng=random.Random(SEED), per_s=PROBE_PER_S, seconds=1
    )
    for job in arrivals[:count]:
        declared = msgspec.structs.replace(
            job.declared, age_ms=int(seconds * 1000)
        )
        context.scene.machine.job_admission.declare(
            values.InstanceName(job.owner), declared, context.scene.now_s
        )


@behave.then('their kind does not count as short of room')
def then_not_short(context):
    room = context.scene.machine.state.pool('pool').room
    assert room.asked.total() == 0, room.asked


@behave.then('none of them is evicted in {seconds:g} s')
def then_not_evicted(context, seconds):
    context.scene.run(seconds)
    events = {line.event for line in context.scene.logged}
    assert 'job_evicted' not in events, events


@behave.then(
    'the share served in time is higher by {gain:g} than without the choice'
)
def then_gain(context, gain):
    without = replay(**context.load, choosing=False).in_time_share()
    found = context.world.in_time_share()
    assert found >= without + gain, (found, without)


@behave.then(
    'it is at least {part:g} of that of an oracle that knows all lengths'
)
def then_near_oracle(context, part):
    found = context.world.in_time_share()
    bound = context.world.oracle_share()
    assert found >= part * bound, (found, bound)


@behave.then('at most {percent:d} % of the answers are late')
def then_few_late(context, percent):
    done = [job for job in context.jobs if job.done_s is not None]
    late = sum(not job.is_in_time() for job in done)
    assert late <= percent / 100 * len(done), (late, len(done))


@behave.then(
    'no job is refused on arrival whose tasks fit on the usable workers'
)
def then_room_used(context):
    refused = [job for job in context.jobs if job.refused_s == job.at_s]
    found = [job.declared for job in refused if job.fits]
    counts = (len(refused), len(found))
    assert counts[0], counts
    assert not found, found


@behave.then('no refused job has started')
def then_refusals_true(context):
    found = [job.declared for job in context.jobs if job.lied]
    assert not found, found


@behave.then('9 of 10 refusals come within a tenth of the time of the client')
def then_at_once(context):
    refused = [job for job in context.jobs if job.refused_s is not None]
    prompt = [
        job
        for job in refused
        if job.refused_s - job.at_s <= TENTH * job.timeout_s
    ]
    counts = (len(prompt), len(refused))
    assert counts[1], counts
    assert counts[0] >= (1 - TENTH) * counts[1], counts


@behave.then('each kind is served at least half as often as the whole')
def then_kinds_served(context):
    whole = burst_replay.served_share(context.jobs)
    for kind in burst_replay.KINDS:
        found = burst_replay.served_share(
            context.world.of_urgency(kind.urgency)
        )
        assert found >= whole / 2, (kind, found, whole)


@behave.then(
    'the largest tenth of a kind and the fifth below it are served at least half as often as the kind'
)
def then_sizes_served(context):
    for kind in burst_replay.KINDS:
        jobs = context.world.of_urgency(kind.urgency)
        jobs.sort(key=lambda job: -job.core_s)
        tenth = len(jobs) // 10
        least = burst_replay.served_share(jobs) / 2
        for part in (jobs[:tenth], jobs[tenth : 3 * tenth]):
            found = burst_replay.served_share(part)
            assert found >= least, (kind, found, least)


@behave.then('the other instances are served at least as often as that one')
def then_turns(context):
    shares = [
        burst_replay.served_share(
            [
                job
                for job in context.jobs
                if (job.owner == burst_replay.CROWD) is is_crowd
            ]
        )
        for is_crowd in (True, False)
    ]
    assert shares[0] < shares[1], shares


@behave.then('no job is refused')
def then_none_refused(context):
    found = [job.declared for job in context.jobs if job.refused_s is not None]
    assert not found, found


@behave.then(
    'no tenth of a second is the return time of more than a tenth of the refused'
)
def then_spread(context):
    returns = collections.Counter(
        int((job.refused_s * 1000 + job.retry_after_ms) // HINT_STEP_MS)
        for job in context.jobs
        if job.refused_s is not None
    )
    most = max(returns.values())
    assert most <= TENTH * returns.total(), (most, returns.total())


@behave.then('a job that was refused may wait longer than a new one')
def then_preferred(context):
    limits = [
        scarcity.longest_wait_s(
            scarcity.Candidate(
                in_time_s=1,
                useful_s=2,
                size=values.Size.SMALL,
                is_owed=context.returns.has_returned(job),
                is_crowd=False,
            ),
            is_short=True,
        )
        for job in (OLD, NEW)
    ]
    assert limits[0] > limits[1], limits
