"""Steps for the worker pool and its allocator."""

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
from guavaroad_standins import pool_worker
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
    found = [instance.name for instance in context.pool.allocators()]
    assert len(found) == count, found


@behave.when('a job of {tasks:d} tasks of {ms:d} ms is submitted')
def when_job(context, tasks, ms):
    name = next(iter(context.pool.instances))
    context.last_job = context.pool.submit(name, tasks=tasks, work_ms=ms)


@behave.when(
    'a job of {tasks:d} tasks of {ms:d} ms is submitted away from the allocator'
)
def when_job_away(context, tasks, ms):
    pool = context.pool
    allocator_name = pool.allocator().name
    name = next(name for name in pool.instances if name != allocator_name)
    context.last_job = pool.submit(name, tasks=tasks, work_ms=ms)


@behave.when(
    'a job of {tasks:d} tasks of {ms:d} ms is submitted at the allocator'
)
def when_job_at(context, tasks, ms):
    name = context.pool.allocator().name
    context.last_job = context.pool.submit(name, tasks=tasks, work_ms=ms)


@behave.when(
    'a job of {steps:d} steps of {tasks:d} tasks of {ms:d} ms is submitted'
)
def when_steps(context, steps, tasks, ms):
    name = next(iter(context.pool.instances))
    context.last_job = context.pool.submit(
        name, tasks=tasks, work_ms=ms, steps=steps
    )


@behave.when(
    'a job of {steps:d} steps of {tasks:d} tasks of {ms:d} ms is submitted away from the allocator'
)
def when_steps_away(context, steps, tasks, ms):
    pool = context.pool
    name = other_than_allocator(pool).name
    context.last_job = pool.submit(name, tasks=tasks, work_ms=ms, steps=steps)


def submit_constrained(context, tasks, **constraint):
    name = next(iter(context.pool.instances))
    context.last_job = context.pool.submit(
        name, tasks=tasks, constraint=constraints.Constraint(**constraint)
    )


@behave.when('a job of {tasks:d} tasks with rack "{rack}" is submitted')
def when_rack(context, tasks, rack):
    submit_constrained(context, tasks, rack=rack)


@behave.when(
    'a job of {tasks:d} tasks that require label "{label}" is submitted'
)
def when_label(context, tasks, label):
    submit_constrained(context, tasks, label=label)


@behave.when(
    'a job of {tasks:d} tasks with at most {most:d} per worker is submitted'
)
def when_most(context, tasks, most):
    submit_constrained(context, tasks, most_per_worker=most)


@behave.when(
    'the link to its paused owner times out, and the owner resumes and is linked again at once'
)
def when_owner_resumes(context):
    pool = context.pool
    owner = other_than_allocator(pool)
    links = pool.allocator().node.active_allocator.links
    name = owner.node.directory.local_instance.name
    links.record_loss(name, links.links[name], instance_links.Loss.TIMEOUT)
    pool.run(0.05)
    owner.node.allocator_follower.link.lost()
    links.dialling.discard(name)
    links.dial_all()
    pool.run(0.05)


@behave.then('its owner marks the job as unconfirmed')
def then_unconfirmed(context):
    owner = other_than_allocator(context.pool)
    job = owner.node.job_owner.jobs[context.last_job]
    assert job.unconfirmed
    assert owner.node.allocator_follower.is_allocator_alive()


@behave.when('its workers are cut off from the allocator')
def when_workers_cut(context):
    pool = context.pool
    allocator_name = pool.allocator().name
    for worker_id in last_job_workers(context):
        pool.cut_pairs.add((allocator_name, worker_id))


@behave.when(
    'its owner is lost and the same job is submitted at another instance'
)
def when_submitted_again(context):
    pool = context.pool
    owner = other_than_allocator(pool)
    pool.kill(owner.name)
    pool.run(0.5)
    another = next(
        name
        for name in pool.instances
        if name not in {owner.name, pool.allocator().name}
    )
    pool.submit(another, tasks=2, work_ms=900, job=context.last_job)


@behave.when('the workers are reachable again')
def when_workers_reachable(context):
    context.pool.cut_pairs.clear()


@behave.then('its steps started one after another')
def then_in_order(context):
    steps = [
        int(name.split('.')[2])
        for name, _, _ in context.pool.history.starts
        if context.last_job in name
    ]
    assert steps == sorted(steps), steps
    assert len(set(steps)) > 1


def last_job_workers(context):
    return {
        worker_id
        for name, _, worker_id in context.pool.history.starts
        if context.last_job in name
    }


@behave.then('its tasks ran on "{name}"')
def then_ran_on(context, name):
    assert last_job_workers(context) == {name}, last_job_workers(context)


@behave.then('its tasks ran on {count:d} workers')
def then_ran_on_count(context, count):
    assert len(last_job_workers(context)) == count, last_job_workers(context)


@behave.then('the last job is refused because "{reason}"')
def then_refused(context, reason):
    outcome = context.pool.outcomes[context.last_job][0]
    assert isinstance(outcome, open_jobs.NotRun), outcome
    assert outcome.reason == reason, outcome


@behave.when('the link of its owner is reset, and messages in transit are lost')
def when_reset(context):
    owner = other_than_allocator(context.pool)
    link = owner.node.allocator_follower.link
    other = link.other
    link.other = None
    other.other = None
    other.lost()
    link.lost()


@behave.when('jobs are numbered from {seed:d}')
def when_numbered(context, seed):
    context.pool.random = random.Random(seed)
    context.pool.count = seed


@behave.when(
    '{rate:d} jobs per second of {tasks:d} tasks of {ms:d} ms are submitted for {seconds:g} s'
)
def when_load(context, seconds, rate, tasks, ms):
    context.pool.load(seconds, rate, tasks=tasks, work_ms=ms)


@behave.when('the allocator is killed')
def when_killed(context):
    pool = context.pool
    context.fault_s = pool.clock.seconds()
    context.starts_before = len(pool.history.starts)
    pool.kill(pool.allocator().name)


@behave.when('{count:d} more instances start')
def when_more_start(context, count):
    context.pool.add_instances(count)


@behave.then('every instance follows one allocator within {seconds:g} s')
def then_all_follow(context, seconds):
    pool = context.pool
    ended_s = context.fault_s + seconds
    while not all_follow(pool):
        assert pool.clock.seconds() <= ended_s, unlinked(pool)
        pool.run(pool_worlds.STEP_S)


def all_follow(pool):
    tokens = {
        instance.node.allocator_follower.term.token
        for name, instance in pool.instances.items()
        if name not in pool.network.dead
    }
    return len(pool.allocators()) == len(tokens) == 1 and not unlinked(pool)


def unlinked(pool):
    return [
        name
        for name, instance in pool.instances.items()
        if name not in pool.network.dead
        and not instance.node.allocator_follower.is_allocator_alive()
    ]


@behave.when('the allocator loses power')
def when_power_lost(context):
    pool = context.pool
    context.fault_s = pool.clock.seconds()
    context.starts_before = len(pool.history.starts)
    pool.power_off(pool.allocator().name)


@behave.when('the allocator retires')
def when_retires(context):
    pool = context.pool
    context.fault_s = pool.clock.seconds()
    context.starts_before = len(pool.history.starts)
    pool.allocator().node.stop(exit_deadline_s=pool.clock.seconds() + 5)


@behave.then('a task starts within {seconds:g} s of the loss')
def then_starts(context, seconds):
    pool = context.pool
    while len(pool.history.starts) == context.starts_before:
        pool.run(pool_worlds.STEP_S)
        passed = pool.clock.seconds() - context.fault_s
        assert passed <= seconds + pool_worlds.STEP_S, passed


@behave.then('every job is complete')
def then_all_complete(context):
    pool = context.pool
    incomplete = {
        job: str(outcome)
        for job, (outcome, _) in pool.outcomes.items()
        if not isinstance(outcome, open_jobs.Completed)
    }
    missing = set(pool.sent) - set(pool.outcomes)
    assert not incomplete and not missing, (incomplete, missing)


@behave.then('the last job is complete')
def then_last_complete(context):
    outcome = context.pool.outcomes[context.last_job][0]
    assert isinstance(outcome, open_jobs.Completed), outcome


@behave.then('no task of the first job started twice')
def then_started_once(context):
    first = f'{1:016x}'
    names = [
        name for name, _, _ in context.pool.history.starts if first in name
    ]
    assert len(names) == len(set(names)), names


@behave.then('no invariant is violated')
def then_no_violation(context):
    pool = context.pool
    found = pool.history.violations + pool.promises.refused_starts()
    assert not found, found


@behave.when('the store is unavailable to all instances')
def when_store_away(context):
    for instance in context.pool.instances.values():
        instance.cluster.is_disconnected = True


@behave.when('the store takes {seconds:g} s to answer')
def when_store_slow(context, seconds):
    for instance in context.pool.instances.values():
        instance.cluster.latency_s = seconds


@behave.when(
    'a new instance starts in zone "{zone}" that only the allocator tracks'
)
def when_untracked_instance(context, zone):
    pool = context.pool
    name = f'{zone}-new'
    pool.instances[name] = pool_worlds.SimInstance(
        world=pool, name=name, zone=zone
    )
    pool.run(1.5)
    for instance in pool.instances.values():
        if instance is not pool.allocator() and instance.name != name:
            instance.node.directory.instances.pop(name, None)


@behave.then('every instance in zone "{zone}" follows an allocator')
def then_followed(context, zone):
    followed = {
        instance.name: instance.node.allocator_follower.is_allocator_alive()
        for instance in context.pool.instances.values()
        if instance.zone == zone
    }
    assert all(followed.values()), followed


@behave.when('zone "{zone}" is cut off')
def when_cut(context, zone):
    context.pool.cut(zone)


@behave.when('the zone of the allocator is cut off')
def when_allocator_cut(context):
    context.pool.cut(context.pool.allocator().zone)


@behave.when('a zone without the allocator is cut off')
def when_other_cut(context):
    pool = context.pool
    context.cut_zone = next(
        zone for zone in pool.zones if zone != pool.allocator().zone
    )
    pool.cut(context.cut_zone)


@behave.when('each allocator of that zone is killed until it has none')
def when_cut_off_killed(context):
    pool = context.pool
    for _ in range(2):
        for instance in pool.allocators():
            if instance.zone == context.cut_zone:
                pool.kill(instance.name)
        pool.run(2.5)


@behave.when('the cut heals')
def when_heals(context):
    context.fault_s = context.pool.clock.seconds()
    context.pool.heal()


@behave.then('tasks started in zone "{zone}" and outside it in the last second')
def then_started(context, zone):
    pool = context.pool
    recent = pool.history.starts[-30:]
    zones = {
        pool.workers[worker_id].worker_info.zone == zone
        for _, _, worker_id in recent
    }
    assert zones == {True, False}, recent


def other_than_allocator(pool):
    allocator_name = pool.allocator().name
    return next(
        instance
        for instance in pool.instances.values()
        if instance.name != allocator_name
    )


@behave.when('an instance other than the allocator is cut off from the others')
def when_instance_cut(context):
    pool = context.pool
    pool.cut_instances.add(other_than_allocator(pool).name)


@behave.when("the allocator can't reach the store")
def when_allocator_without_store(context):
    context.pool.allocator().cluster.is_disconnected = True


@behave.when("an instance other than the allocator can't reach the store")
def when_instance_without_store(context):
    other_than_allocator(context.pool).cluster.is_disconnected = True


@behave.when('the configuration becomes version {version:d}')
def when_version(context, version):
    store = context.pool.store
    store.config = str(version).encode()
    store.position += 1


@behave.then('every instance of the pool serves version {version:d}')
def then_version(context, version):
    served = {
        instance.name: instance.node.configuration.version()
        for instance in context.pool.instances.values()
    }
    assert set(served.values()) == {version}, served


@behave.when('every instance is killed and starts again')
def when_all_restart(context):
    pool = context.pool
    for name in tuple(pool.instances):
        pool.kill(name)
    pool.run(0.2)
    pool.network.dead.clear()
    for name, instance in tuple(pool.instances.items()):
        pool.instances[name] = pool_worlds.SimInstance(
            world=pool, name=name, zone=instance.zone
        )


@behave.then('{count:d} random cuts from seed {seed:d} violate no invariant')
def then_random_cuts(context, count, seed):
    for number in range(seed, seed + count):
        pool = pool_worlds.PoolWorld(
            zones=['a', 'b', 'c'], instances=6, workers=12, seed=number
        )
        run_random_cut(pool, number)
        found = pool.history.violations + pool.promises.refused_starts()
        assert not found, (number, found[:3])
        assert len(pool.allocators()) == 1, number


def run_random_cut(pool, number):
    rng = random.Random(number)
    job = {
        'tasks': rng.randint(1, 4),
        'work_ms': rng.choice((60, 100, 300, 900, 1500)),
    }
    pool.run(2)
    pool.load(rng.uniform(0.3, 0.8), rng.randint(30, 70), **job)
    allocator_zone = pool.allocator().zone
    pool.cut(rng.choice((allocator_zone, 'a', 'b', 'c')))
    pool.load(rng.uniform(0.2, 3), 30, **job)
    pool.heal()
    pool.load(1.5, 30, **job)
    pool.run(3)


@behave.when(
    'the first instance claims the token before the others are in the directory'
)
def when_first_claims(context):
    pool = context.pool
    first, *others = pool.instances.values()
    for instance in others:
        instance.cluster.is_disconnected = True
    pool.run(0.5)
    for instance in others:
        instance.cluster.is_disconnected = False
    pool.run(2)
    assert pool.allocator() is first


@behave.when('every run on worker "{name}" fails')
def when_fails(context, name):
    context.pool.workers[name].faults.fails = True


@behave.when('tasks on worker "{name}" hang')
def when_hangs(context, name):
    context.pool.workers[name].faults.hangs = True


@behave.when('worker "{name}" is {times:d} times slower')
def when_slow(context, name, times):
    context.pool.workers[name].faults.slowdown = times


@behave.when('orders to worker "{name}" are carried out {seconds:g} s late')
def when_late(context, name, seconds):
    context.pool.workers[name].faults.delay_orders_s = seconds


@behave.when('orders to worker "{name}" are answered again')
def when_not_late(context, name):
    context.pool.workers[name].faults.delay_orders_s = 0


@behave.when('the worker of the first start crashes')
def when_crash(context):
    pool = context.pool
    name = pool.history.starts[0][2]
    pool.workers[name].crash()


@behave.when('worker "{name}" restarts under its id')
def when_restarted(context, name):
    pool = context.pool
    pool_worker.restart(pool.workers[name])
    pool.list_workers()


@behave.when(
    'worker "{name}" restarts under its id, and a report of its previous incarnation arrives {ms:d} ms later'
)
def when_old_report(context, name, ms):
    pool = context.pool
    allocator = pool.allocator().node.active_allocator
    report = pool.workers[name].report()
    sent_s = pool.clock.seconds()
    when_restarted(context, name)
    pool.clock.callLater(
        ms / 1000, deliver_report, allocator, name, report, sent_s
    )
    pool.load(ms / 1000, 60, tasks=3, work_ms=600)


def deliver_report(allocator, name, report, sent_s):
    allocator.machine.reports.record_report(
        worker_id=values.WorkerId(name),
        report=report,
        sent_s=sent_s,
        now_s=allocator.dependencies.timers.now(),
    )


@behave.when('{share:d} of 100 calls to workers are lost or carried out late')
def when_lossy(context, share):
    for worker in context.pool.workers.values():
        worker.faults.unanswered_share = share / 100


@behave.then('at least {share:d} of 100 jobs are complete within {ms:d} ms')
def then_share_within(context, share, ms):
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
    instance = pool.allocator()
    pool.cut_pairs.add((instance.name, values.WorkerId(name)))
    before = instance.workers.starts[name]
    pool.load(seconds, 40, tasks=2, work_ms=60)
    context.orders = instance.workers.starts[name] - before


@behave.then('at most {count:d} orders are sent to worker "{name}"')
def then_few_orders(context, count, name):
    assert context.orders <= count, (name, context.orders)


@behave.when('worker "{name}" drains')
def when_drains(context, name):
    pool = context.pool
    worker = pool.workers[name]
    changed = {
        field: getattr(worker.worker_info, field)
        for field in type(worker.worker_info).__slots__
    }
    changed['draining'] = True
    worker.worker_info = type(worker.worker_info)(**changed)
    pool.list_workers()
    context.starts_before = None


@behave.then('worker "{name}" started at most {count:d} tasks')
def then_few(context, name, count):
    found = [start for start in context.pool.history.starts if start[2] == name]
    assert len(found) <= count, len(found)


@behave.then('worker "{name}" started no task in the last second')
def then_none(context, name):
    recent = context.pool.history.starts[-20:]
    assert recent
    assert all(start[2] != name for start in recent), recent


@behave.then('at least {share:d} of 100 jobs are complete')
def then_share(context, share):
    pool = context.pool
    done = len(pool.of_kind(open_jobs.Completed))
    assert done * 100 >= share * len(pool.outcomes), (
        done,
        len(pool.outcomes),
    )


@behave.when(
    'long jobs arrive at {times:d} times the capacity for {seconds:d} s beside {rate:d} urgent jobs per second'
)
def when_flood(context, times, seconds, rate):
    pool = context.pool
    context.urgent = []
    slots = 2 * len(pool.workers)
    long_rate = times * slots / (4 * 0.9)
    due_long = 0
    due_urgent = 0
    instances = list(pool.instances)
    for step in range(int(seconds / pool_worlds.STEP_S)):
        due_long += long_rate * pool_worlds.STEP_S
        due_urgent += rate * pool_worlds.STEP_S
        name = instances[step % len(instances)]
        while due_long >= 1:
            due_long -= 1
            pool.submit(name, tasks=4, work_ms=900, urgency=2)
        while due_urgent >= 1:
            due_urgent -= 1
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


@behave.then('most refusals are sent within {ms:d} ms')
def then_refused_early(context, ms):
    refused = context.pool.of_kind(open_jobs.NotRun)
    prompt = [age for _, age in refused if age * 1000 <= ms]
    assert refused
    assert len(prompt) * 2 > len(refused), (len(prompt), len(refused))


@behave.then('every refusal has a retry hint')
def then_hints(context):
    hints = [
        outcome.retry_after_ms
        for outcome, _ in context.pool.outcomes.values()
        if isinstance(outcome, open_jobs.NotRun)
    ]
    assert hints and all(hint > 0 for hint in hints), hints


@behave.then('no answer is sent after the timeout of its client')
def then_in_time(context):
    pool = context.pool
    late = [
        (job, age)
        for job, (_, age) in pool.outcomes.items()
        if age > pool.client_timeout_s[job]
    ]
    assert not late, late[:5]
    assert len(context.pool.outcomes) == len(context.pool.sent)


@behave.then('at least {share:d} of 100 starts are for complete jobs')
def then_useful(context, share):
    pool = context.pool
    complete = {job for job, _ in pool.of_kind(open_jobs.Completed)}
    started = [name.split('.')[0] for name, _, _ in pool.history.starts]
    useful = sum(1 for job in started if job in complete)
    assert useful * 100 >= share * len(started), (useful, len(started))


@behave.then(
    'a pass over {many:d} waiting jobs examines no more jobs than one over {few:d}'
)
def then_bounded(context, many, few):
    assert count_heads(many) <= count_heads(few), (
        count_heads(many),
        count_heads(few),
    )


def count_heads(count):
    waiting = backlog.Backlog()
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
            objective_start_s=1,
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
        waiting.add(task, 0)
    return len(list(waiting.heads(0)))


@behave.when("a job runs while the allocator's messages to its owner are lost")
def when_messages_lost(context):
    pool = context.pool
    allocator_name = pool.allocator().name
    owner = other_than_allocator(pool).name
    others = [name for name in pool.instances if name != owner]
    is_cut = pool.network.is_cut
    pool.network.is_cut = lambda sender, receiver: (
        (sender, receiver) == (allocator_name, owner)
        or is_cut(sender, receiver)
    )
    context.first_job = pool.submit(owner, tasks=1, work_ms=30, urgency=0)
    pool.run(0.1)
    pool.load(0.2, 60, names=others, tasks=3, work_ms=900, urgency=0)
    pool.instances[owner].node.allocator_follower.link.abort()
    pool.run(pool_worlds.STEP_S)
    pool.network.is_cut = is_cut
    pool.load(0.6, 60, names=others, tasks=3, work_ms=900, urgency=0)


# Time for 45 instances to read a large configuration over one link, in seconds.
LARGE_READ_S = 0.2


@behave.when('a configuration of {kilobytes:d} KB is written')
def when_large_configuration(context, kilobytes):
    pool = context.pool
    for instance in pool.instances.values():
        if instance.node.active_allocator is None:
            instance.cluster.latency_s = LARGE_READ_S
    pool.store.config = b'2'.ljust(1000 * kilobytes)
    pool.store.position += 1
    context.fault_s = pool.clock.seconds()


@behave.then('every instance has it within {seconds:g} s')
def then_in_force(context, seconds):
    pool = context.pool
    ended_s = context.fault_s + seconds
    while any(
        instance.node.configuration.version() != 2
        for instance in pool.instances.values()
    ):
        assert pool.clock.seconds() < ended_s
        pool.run(pool_worlds.STEP_S)


@behave.then('instances send it to each other at most {count:d} times')
def then_shared(context, count):
    assert context.pool.network.shared_config_count <= count, (
        context.pool.network.shared_config_count
    )
