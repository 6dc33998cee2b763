"""Steps about the worker pool and its allocator."""

import random

import behave

from guavaroad.domain.pool import (
    backlog,
    constraints,
    open_jobs,
    values,
    work,
)
from guavaroad.services.pool import instance_links
from support import pool_worlds


@behave.given(
    'a pool of {count:d} instances in zones "{zones}" with {workers:d} workers'
)
def given_pool(context, count, zones, workers):
    context.pool = pool_worlds.PoolWorld(
        zones=zones.split(), instances=count, workers=workers
    )
    context.job_options = {}


@behave.when('{seconds:g} s pass in the pool')
def when_time_passes(context, seconds):
    context.pool.run(seconds)


@behave.then('exactly {count:d} instance allocates')
def then_allocates(context, count):
    found = [entry.name for entry in context.pool.holders()]
    assert len(found) == count, found


@behave.when('a job of {tasks:d} tasks of {ms:d} ms is handed in')
def when_job(context, tasks, ms):
    name = next(iter(context.pool.entries))
    context.last_job = context.pool.submit(name, tasks=tasks, work_ms=ms)


@behave.when(
    'a job of {tasks:d} tasks of {ms:d} ms is handed in away from the allocator'
)
def when_job_away(context, tasks, ms):
    pool = context.pool
    holder = pool.holder().name
    name = next(name for name in pool.entries if name != holder)
    context.last_job = pool.submit(name, tasks=tasks, work_ms=ms)


@behave.when(
    'a job of {tasks:d} tasks of {ms:d} ms is handed in at the allocator'
)
def when_job_at(context, tasks, ms):
    name = context.pool.holder().name
    context.last_job = context.pool.submit(name, tasks=tasks, work_ms=ms)


@behave.when(
    'a job of {steps:d} steps of {tasks:d} tasks of {ms:d} ms is handed in'
)
def when_steps(context, steps, tasks, ms):
    name = next(iter(context.pool.entries))
    context.last_job = context.pool.submit(
        name, tasks=tasks, work_ms=ms, steps=steps
    )


@behave.when(
    'a job of {steps:d} steps of {tasks:d} tasks of {ms:d} ms is handed in away from the allocator'
)
def when_steps_away(context, steps, tasks, ms):
    pool = context.pool
    name = other_than_holder(pool).name
    context.last_job = pool.submit(name, tasks=tasks, work_ms=ms, steps=steps)


def hand_in_constrained(context, tasks, **asked):
    name = next(iter(context.pool.entries))
    context.last_job = context.pool.submit(
        name, tasks=tasks, constraint=constraints.Constraint(**asked)
    )


@behave.when('a job of {tasks:d} tasks asks for rack "{rack}"')
def when_rack(context, tasks, rack):
    hand_in_constrained(context, tasks, rack=rack)


@behave.when('a job of {tasks:d} tasks asks for label "{label}"')
def when_label(context, tasks, label):
    hand_in_constrained(context, tasks, label=label)


@behave.when('a job of {tasks:d} tasks allows {most:d} a worker')
def when_most(context, tasks, most):
    hand_in_constrained(context, tasks, most_per_worker=most)


@behave.when(
    'the allocator lets go of its paused owner, which wakes and is linked again at once'
)
def when_owner_wakes(context):
    pool = context.pool
    owner = other_than_holder(pool)
    links = pool.holder().node.active_allocator.links
    name = owner.node.directory.local_instance.name
    links.record_loss(name, links.links[name], instance_links.Loss.TIMEOUT)
    pool.run(0.05)
    owner.node.allocator_follower.link.lost()
    links.dialling.discard(name)
    links.dial_all()
    pool.run(0.05)


@behave.then('its owner holds the job in doubt')
def then_in_doubt(context):
    owner = other_than_holder(context.pool)
    job = owner.node.job_owner.jobs[context.last_job]
    assert job.unconfirmed
    assert owner.node.allocator_follower.is_allocator_alive()


@behave.when('its workers are cut off from the allocator')
def when_hosts_cut(context):
    pool = context.pool
    holder = pool.holder().name
    for worker_id in hosts_of_last(context):
        pool.cut_pairs.add((holder, worker_id))


@behave.when('its owner is lost and the same job comes at another instance')
def when_sent_again(context):
    pool = context.pool
    owner = other_than_holder(pool)
    pool.kill(owner.name)
    pool.run(0.5)
    another = next(
        name
        for name in pool.entries
        if name not in {owner.name, pool.holder().name}
    )
    pool.submit(another, tasks=2, work_ms=900, job=context.last_job)


@behave.when('the workers are reached again')
def when_hosts_back(context):
    context.pool.cut_pairs.clear()


@behave.then('its steps began one after another')
def then_in_order(context):
    steps = [
        int(name.split('.')[2])
        for name, _, _ in context.pool.book.starts
        if context.last_job in name
    ]
    assert steps == sorted(steps), steps
    assert len(set(steps)) > 1


def hosts_of_last(context):
    return {
        worker_id
        for name, _, worker_id in context.pool.book.starts
        if context.last_job in name
    }


@behave.then('its tasks ran on "{name}"')
def then_on(context, name):
    assert hosts_of_last(context) == {name}, hosts_of_last(context)


@behave.then('its tasks ran on {count:d} workers')
def then_on_many(context, count):
    assert len(hosts_of_last(context)) == count, hosts_of_last(context)


@behave.then('the last job is refused because "{reason}"')
def then_refused(context, reason):
    outcome = context.pool.outcomes[context.last_job][0]
    assert isinstance(outcome, open_jobs.NotRun), outcome
    assert outcome.reason == reason, outcome


@behave.when('the link of its owner is reset, and what was on its way is lost')
def when_reset(context):
    owner = other_than_holder(context.pool)
    link = owner.node.allocator_follower.link
    other = link.other
    link.other = None
    other.other = None
    other.lost()
    link.lost()


@behave.when('jobs are handed in at random from seed {seed:d}')
def when_random(context, seed):
    context.pool.random = random.Random(seed)
    context.pool.count = seed


@behave.when(
    '{seconds:g} s of {rate:d} jobs a second of {tasks:d} tasks of {ms:d} ms pass'
)
def when_load(context, seconds, rate, tasks, ms):
    context.pool.load(seconds, rate, tasks=tasks, work_ms=ms)


@behave.when('the allocator is killed')
def when_killed(context):
    pool = context.pool
    context.struck_s = pool.clock.seconds()
    context.starts_before = len(pool.book.starts)
    pool.kill(pool.holder().name)


@behave.when('{count:d} more instances come')
def when_more_come(context, count):
    context.pool.add_instances(count)


@behave.then('every instance follows one allocator within {seconds:g} s')
def then_all_follow(context, seconds):
    pool = context.pool
    ended_s = context.struck_s + seconds
    while not all_follow(pool):
        assert pool.clock.seconds() <= ended_s, lost_ones(pool)
        pool.run(pool_worlds.STEP_S)


def all_follow(pool):
    tokens = {
        entry.node.allocator_follower.term.token
        for name, entry in pool.entries.items()
        if name not in pool.network.dead
    }
    return len(pool.holders()) == len(tokens) == 1 and not lost_ones(pool)


def lost_ones(pool):
    return [
        name
        for name, entry in pool.entries.items()
        if name not in pool.network.dead
        and not entry.node.allocator_follower.is_allocator_alive()
    ]


@behave.when('the allocator loses power')
def when_power_lost(context):
    pool = context.pool
    context.struck_s = pool.clock.seconds()
    context.starts_before = len(pool.book.starts)
    pool.power_off(pool.holder().name)


@behave.when('the allocator retires')
def when_retires(context):
    pool = context.pool
    context.struck_s = pool.clock.seconds()
    context.starts_before = len(pool.book.starts)
    pool.holder().node.stop(exit_deadline_s=pool.clock.seconds() + 5)


@behave.then('a task starts within {seconds:g} s of the kill')
def then_starts(context, seconds):
    pool = context.pool
    while len(pool.book.starts) == context.starts_before:
        pool.run(pool_worlds.STEP_S)
        passed = pool.clock.seconds() - context.struck_s
        assert passed <= seconds + pool_worlds.STEP_S, passed


@behave.then('every job is complete')
def then_all_complete(context):
    pool = context.pool
    others = {
        job: str(outcome)
        for job, (outcome, _) in pool.outcomes.items()
        if not isinstance(outcome, open_jobs.Completed)
    }
    missing = set(pool.sent) - set(pool.outcomes)
    assert not others and not missing, (others, missing)


@behave.then('the last job is complete')
def then_last_complete(context):
    outcome = context.pool.outcomes[context.last_job][0]
    assert isinstance(outcome, open_jobs.Completed), outcome


@behave.then('no task of the first job started twice')
def then_once(context):
    first = f'{1:016x}'
    names = [name for name, _, _ in context.pool.book.starts if first in name]
    assert len(names) == len(set(names)), names


@behave.then('no promise is broken')
def then_kept(context):
    assert not context.pool.book.broken, context.pool.book.broken


@behave.when('the store is away for all')
def when_store_away(context):
    for entry in context.pool.entries.values():
        entry.cluster.is_away = True


@behave.when('the store takes {seconds:g} s to answer')
def when_store_slow(context, seconds):
    for entry in context.pool.entries.values():
        entry.cluster.latency_s = seconds


@behave.when(
    'a new instance comes in zone "{zone}" which only the allocator knows'
)
def when_new_instance(context, zone):
    pool = context.pool
    name = f'{zone}-new'
    pool.entries[name] = pool_worlds.Entry(world=pool, name=name, zone=zone)
    pool.run(1.5)
    for entry in pool.entries.values():
        if entry is not pool.holder() and entry.name != name:
            entry.node.directory.instances.pop(name, None)


@behave.then('every instance in zone "{zone}" follows an allocator')
def then_followed(context, zone):
    followed = {
        entry.name: entry.node.allocator_follower.is_allocator_alive()
        for entry in context.pool.entries.values()
        if entry.zone == zone
    }
    assert all(followed.values()), followed


@behave.when('zone "{zone}" is cut off')
def when_cut(context, zone):
    context.pool.cut(zone)


@behave.when('the zone of the allocator is cut off')
def when_holder_cut(context):
    context.pool.cut(context.pool.holder().zone)


@behave.when('a zone without the allocator is cut off')
def when_other_cut(context):
    pool = context.pool
    context.cut_zone = next(
        zone for zone in pool.zones if zone != pool.holder().zone
    )
    pool.cut(context.cut_zone)


@behave.when('each allocator of that zone is killed until it has none')
def when_cut_off_killed(context):
    pool = context.pool
    for _ in range(2):
        for entry in pool.holders():
            if entry.zone == context.cut_zone:
                pool.kill(entry.name)
        pool.run(2.5)


@behave.when('the cut heals')
def when_heals(context):
    context.struck_s = context.pool.clock.seconds()
    context.pool.heal()


@behave.then('tasks started in zone "{zone}" and outside it in the last second')
def then_started(context, zone):
    pool = context.pool
    recent = pool.book.starts[-30:]
    zones = {
        pool.workers[worker_id].facts.zone == zone for _, _, worker_id in recent
    }
    assert zones == {True, False}, recent


def other_than_holder(pool):
    holder = pool.holder().name
    return next(
        entry for entry in pool.entries.values() if entry.name != holder
    )


@behave.when('an instance that does not allocate is cut off from the others')
def when_instance_cut(context):
    pool = context.pool
    pool.cut_instances.add(other_than_holder(pool).name)


@behave.when('the allocator does not reach the store')
def when_holder_storeless(context):
    context.pool.holder().cluster.is_away = True


@behave.when('an instance that does not allocate does not reach the store')
def when_instance_storeless(context):
    other_than_holder(context.pool).cluster.is_away = True


@behave.when('the configuration becomes version {version:d}')
def when_version(context, version):
    store = context.pool.store
    store.config = str(version).encode()
    store.position += 1


@behave.then('every instance of the pool serves version {version:d}')
def then_version(context, version):
    served = {
        entry.name: entry.node.configuration.version()
        for entry in context.pool.entries.values()
    }
    assert set(served.values()) == {version}, served


@behave.when('every instance is killed and starts again')
def when_all_restart(context):
    pool = context.pool
    for name in tuple(pool.entries):
        pool.kill(name)
    pool.run(0.2)
    pool.network.dead.clear()
    for name, entry in tuple(pool.entries.items()):
        pool.entries[name] = pool_worlds.Entry(
            world=pool, name=name, zone=entry.zone
        )


@behave.then('{days:d} drawn days of cuts from seed {seed:d} break no promise')
def then_days(context, days, seed):
    for number in range(seed, seed + days):
        pool = pool_worlds.PoolWorld(
            zones=['a', 'b', 'c'], instances=6, workers=12, seed=number
        )
        draw_day(pool, number)
        assert not pool.book.broken, (number, pool.book.broken[:3])
        assert len(pool.holders()) == 1, number


def draw_day(pool, number):
    drawn = random.Random(number)
    job = {
        'tasks': drawn.randint(1, 4),
        'work_ms': drawn.choice((60, 100, 300, 900, 1500)),
    }
    pool.run(2)
    pool.load(drawn.uniform(0.3, 0.8), drawn.randint(30, 70), **job)
    holder_zone = pool.holder().zone
    pool.cut(drawn.choice((holder_zone, 'a', 'b', 'c')))
    pool.load(drawn.uniform(0.2, 3), 30, **job)
    pool.heal()
    pool.load(1.5, 30, **job)
    pool.run(3)


@behave.when('the first instance claims before the others are in the directory')
def when_first_claims(context):
    pool = context.pool
    first, *others = pool.entries.values()
    for entry in others:
        entry.cluster.is_away = True
    pool.run(0.5)
    for entry in others:
        entry.cluster.is_away = False
    pool.run(2)
    assert pool.holder() is first


@behave.when('worker "{name}" fails all that it starts')
def when_fails(context, name):
    context.pool.workers[name].faults.fails = True


@behave.when('tasks on worker "{name}" stand still')
def when_hangs(context, name):
    context.pool.workers[name].faults.hangs = True


@behave.when('worker "{name}" takes {times:d} times as long')
def when_slow(context, name, times):
    context.pool.workers[name].faults.pace = times


@behave.when('orders to worker "{name}" are carried out {seconds:g} s late')
def when_late(context, name, seconds):
    context.pool.workers[name].faults.delay_orders_s = seconds


@behave.when('orders to worker "{name}" are answered again')
def when_not_late(context, name):
    context.pool.workers[name].faults.delay_orders_s = 0


@behave.when('the worker of the first start crashes')
def when_crash(context):
    pool = context.pool
    name = pool.book.starts[0][2]
    pool.workers[name].crash()


@behave.when('worker "{name}" begins another life')
def when_reborn(context, name):
    pool = context.pool
    one = pool.workers[name]
    one.crash()
    one.facts = values_with_life(one.facts)
    one.is_up = True
    one.position = 0
    one.token = values.Token(0)
    one.stopped = {}
    one.until_ms = 0
    pool.list_workers()


@behave.when(
    'worker "{name}" begins another life, and a list of the one before comes {ms:d} ms later'
)
def when_old_list(context, name, ms):
    pool = context.pool
    holder = pool.holder().node.active_allocator
    report = pool.workers[name].report()
    sent_s = pool.clock.seconds()
    when_reborn(context, name)
    pool.clock.callLater(ms / 1000, take_list, holder, name, report, sent_s)
    pool.load(ms / 1000, 60, tasks=3, work_ms=600)


def take_list(holder, name, report, sent_s):
    holder.machine.reports.record_report(
        worker_id=values.WorkerId(name),
        report=report,
        sent_s=sent_s,
        now_s=holder.dependencies.timers.now(),
    )


def values_with_life(facts):
    changed = {name: getattr(facts, name) for name in type(facts).__slots__}
    changed['started_ms'] = facts.started_ms + 1000
    return type(facts)(**changed)


@behave.when('{share:d} of 100 calls to workers are lost or carried out late')
def when_lossy(context, share):
    for one in context.pool.workers.values():
        one.faults.lost_share = share / 100


@behave.then('at least {share:d} of 100 jobs are complete within {ms:d} ms')
def then_prompt_share(context, share, ms):
    pool = context.pool
    prompt = [
        age for _, age in pool.of_kind(open_jobs.Completed) if age * 1000 <= ms
    ]
    assert len(prompt) * 100 >= share * len(pool.outcomes), (
        len(prompt),
        len(pool.outcomes),
    )


@behave.when('worker "{name}" is cut off under load for {seconds:g} s')
def when_worker_cut(context, name, seconds):
    pool = context.pool
    holder = pool.holder()
    pool.cut_pairs.add((holder.name, values.WorkerId(name)))
    before = holder.workers.starts[name]
    pool.load(seconds, 40, tasks=2, work_ms=60)
    context.orders = holder.workers.starts[name] - before


@behave.then('at most {count:d} orders went to worker "{name}"')
def then_few_orders(context, count, name):
    assert context.orders <= count, (name, context.orders)


@behave.when('worker "{name}" drains')
def when_drains(context, name):
    pool = context.pool
    one = pool.workers[name]
    changed = {
        field: getattr(one.facts, field) for field in type(one.facts).__slots__
    }
    changed['draining'] = True
    one.facts = type(one.facts)(**changed)
    pool.list_workers()
    context.starts_before = None


@behave.then('worker "{name}" started at most {count:d} tasks')
def then_few(context, name, count):
    found = [one for one in context.pool.book.starts if one[2] == name]
    assert len(found) <= count, len(found)


@behave.then('worker "{name}" started no task in the last second')
def then_none(context, name):
    recent = context.pool.book.starts[-20:]
    assert recent
    assert all(one[2] != name for one in recent), recent


@behave.then('at least {share:d} of 100 jobs are complete')
def then_share(context, share):
    pool = context.pool
    done = len(pool.of_kind(open_jobs.Completed))
    assert done * 100 >= share * len(pool.outcomes), (
        done,
        len(pool.outcomes),
    )


@behave.when(
    'long jobs flood in at {times:d} times the capacity for {seconds:d} s beside {rate:d} urgent jobs a second'
)
def when_flood(context, times, seconds, rate):
    pool = context.pool
    context.urgent = []
    slots = 2 * len(pool.workers)
    long_rate = times * slots / (4 * 0.9)
    owed_long = 0
    owed_urgent = 0
    entries = list(pool.entries)
    for step in range(int(seconds / pool_worlds.STEP_S)):
        owed_long += long_rate * pool_worlds.STEP_S
        owed_urgent += rate * pool_worlds.STEP_S
        name = entries[step % len(entries)]
        while owed_long >= 1:
            owed_long -= 1
            pool.submit(name, tasks=4, work_ms=900, urgency=2)
        while owed_urgent >= 1:
            owed_urgent -= 1
            context.urgent.append(
                pool.submit(name, tasks=2, work_ms=60, urgency=0)
            )
        pool.run(pool_worlds.STEP_S)
    pool.run(6)


@behave.then('at least {share:d} of 100 urgent jobs are complete in time')
def then_urgent(context, share):
    limit_s = 1.6 * 0.06 + 0.06
    good = 0
    for job in context.urgent:
        outcome, age = context.pool.outcomes[job]
        if isinstance(outcome, open_jobs.Completed) and age <= limit_s:
            good += 1
    assert good * 100 >= share * len(context.urgent), (
        good,
        len(context.urgent),
    )


@behave.then('most refusals came within {ms:d} ms')
def then_prompt(context, ms):
    refused = context.pool.of_kind(open_jobs.NotRun)
    prompt = [age for _, age in refused if age * 1000 <= ms]
    assert refused
    assert len(prompt) * 2 > len(refused), (len(prompt), len(refused))


@behave.then('every refusal says when to come back')
def then_hints(context):
    hints = [
        outcome.retry_after_ms
        for outcome, _ in context.pool.outcomes.values()
        if isinstance(outcome, open_jobs.NotRun)
    ]
    assert hints and all(hint > 0 for hint in hints), hints


@behave.then('no answer came later than its client waits')
def then_in_time(context):
    pool = context.pool
    late = [
        (job, age)
        for job, (_, age) in pool.outcomes.items()
        if age > pool.patience_s[job]
    ]
    assert not late, late[:5]
    assert len(context.pool.outcomes) == len(context.pool.sent)


@behave.then('at least {share:d} of 100 slot-seconds went into complete jobs')
def then_useful(context, share):
    pool = context.pool
    complete = {job for job, _ in pool.of_kind(open_jobs.Completed)}
    started = [name.split('.')[0] for name, _, _ in pool.book.starts]
    useful = sum(1 for job in started if job in complete)
    assert useful * 100 >= share * len(started), (useful, len(started))


@behave.then(
    'a pass over {many:d} waiting jobs looks at no more than one over {few:d}'
)
def then_bounded(context, many, few):
    assert heads_of(many) <= heads_of(few), (heads_of(many), heads_of(few))


def heads_of(count):
    queue = backlog.Backlog()
    for number in range(count):
        job = work.Job(
            job_id=values.JobId(str(number)),
            owner=values.InstanceName('a'),
            pool='pool',
            urgency=0,
            max_attempts=1,
            payload='',
            estimate_s=0.1,
            arrived_s=0,
            aim_s=1,
            give_up_s=1,
            answer_by_s=1,
            open_in_step=[1],
        )
        task = work.Task(
            job=job,
            index=0,
            name=values.TaskName(str(number)),
            need=values.Amount(cpu=1),
        )
        job.tasks = (task,)
        queue.add(task, 0)
    return len(list(queue.heads(0)))


@behave.when("a job runs while the allocator's words to its owner are lost")
def when_run_unheard(context):
    pool = context.pool
    holder = pool.holder().name
    owner = other_than_holder(pool).name
    others = [name for name in pool.entries if name != owner]
    usual = pool.network.is_cut
    pool.network.is_cut = lambda sender, receiver: (
        (sender, receiver) == (holder, owner) or usual(sender, receiver)
    )
    context.first_job = pool.submit(owner, tasks=1, work_ms=30, urgency=0)
    pool.run(0.1)
    pool.load(0.2, 60, names=others, tasks=3, work_ms=900, urgency=0)
    pool.entries[owner].node.allocator_follower.link.abort()
    pool.run(pool_worlds.STEP_S)
    pool.network.is_cut = usual
    pool.load(0.6, 60, names=others, tasks=3, work_ms=900, urgency=0)


# Time in which 45 instances read a large configuration over one link.
LARGE_READ_S = 0.2


@behave.when('a configuration of {kilobytes:d} KB is written')
def when_large_configuration(context, kilobytes):
    pool = context.pool
    for entry in pool.entries.values():
        if entry.node.active_allocator is None:
            entry.cluster.latency_s = LARGE_READ_S
    pool.store.config = b'2'.ljust(1000 * kilobytes)
    pool.store.position += 1
    context.struck_s = pool.clock.seconds()


@behave.then('every instance has it within {seconds:g} s')
def then_in_force(context, seconds):
    pool = context.pool
    ended_s = context.struck_s + seconds
    while any(
        entry.node.configuration.version() != 2
        for entry in pool.entries.values()
    ):
        assert pool.clock.seconds() < ended_s
        pool.run(pool_worlds.STEP_S)


@behave.then('instances have sent it to each other at most {count:d} times')
def then_shared(context, count):
    assert context.pool.network.shared <= count, context.pool.network.shared
