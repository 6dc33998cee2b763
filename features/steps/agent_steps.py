"""Steps for worker agents."""

import collections

import behave

from guavaroad.domain.pool import (
    agent_messages,
    messages,
    open_jobs,
    peer_messages,
    values,
)
from guavaroad.ports import pool as pool_port
from support import pool_worlds


@behave.given(
    'a pool of {count:d} instances in zones "{zones}" with {workers:d} workers and links of {kilobytes:d} kB/s'
)
def given_small_links(context, count, zones, workers, kilobytes):
    context.pool = pool_worlds.PoolWorld(
        zones=zones.split(),
        instances=count,
        workers=workers,
        link_bytes_per_s=kilobytes * 1000,
    )
    context.job_options = {}


def agents_of(pool):
    return [
        name
        for name in pool.instances
        if name != pool.allocator().name and name not in pool.network.dead
    ]


def calls_of(instance):
    return instance.workers.calls


@behave.then('the allocator has called no worker since it was elected')
def then_no_calls(context):
    called = calls_of(context.pool.allocator())
    assert not called, called


@behave.when('messages between instances take {ms:d} ms')
def when_latency(context, ms):
    context.pool.network.latency_s = ms / 1000


@behave.when('the allocator is killed, and {seconds:g} s passes')
def when_killed(context, seconds):
    pool = context.pool
    pool.kill(pool.allocator().name)
    context.calls_before = {
        name: sum(calls_of(instance).values())
        for name, instance in pool.instances.items()
    }
    pool.run(seconds)


@behave.then('the next allocator has called no worker since then')
def then_next_calls_none(context):
    allocator = context.pool.allocator()
    made = sum(calls_of(allocator).values())
    made -= context.calls_before[allocator.name]
    assert not made, made


@behave.then('only the allocator has called workers')
def then_only_allocator(context):
    allocator = context.pool.allocator().name
    callers = {
        name
        for name, instance in context.pool.instances.items()
        if calls_of(instance)
    }
    assert callers == {allocator}, callers


@behave.then('every worker was called by instances of its zone')
def then_by_zone(context):
    pool = context.pool
    allocator = pool.allocator()
    # The only other instance of the allocator's zone has all workers there.
    for worker_id, worker in pool.workers.items():
        callers = [
            instance.zone
            for instance in pool.instances.values()
            if worker_id in calls_of(instance)
        ]
        assert set(callers) == {worker.worker_info.zone}, (worker_id, callers)
    assert allocator.zone in pool.zones


@behave.then('no payload was sent to the allocator')
def then_no_payload(context):
    declared = [
        sent.message
        for sent in context.pool.network.messages
        if isinstance(sent.message, messages.Declare)
    ]
    assert declared
    assert all(message.owner_has_payload for message in declared)
    assert not any(message.payload for message in declared)


@behave.when(
    'an agent {how} while {rate:d} jobs per second of {tasks:d} tasks of {ms:d} ms run'
)
def when_agent_lost(context, how, rate, tasks, ms):
    pool = context.pool
    lost = agents_of(pool)[0]
    context.lost = lost
    others = [name for name in pool.instances if name != lost]
    load = {'names': others, 'tasks': tasks, 'work_ms': ms}
    pool.load(0.6, rate / 10, **load)
    {'is killed': pool.kill, 'loses power': pool.power_off}[how](lost)
    pool.load(0.6, rate / 10, **load)
    pool.run(3)


@behave.then('every job that was not submitted there is complete')
def then_all_complete(context):
    incomplete = [
        (job, outcome)
        for job, (outcome, _) in context.pool.outcomes.items()
        if not isinstance(outcome, open_jobs.Completed)
    ]
    assert context.pool.outcomes
    assert not incomplete, incomplete


@behave.then('no run has lapsed')
def then_none_lapsed(context):
    lapsed = [
        (name, fields)
        for name, instance in context.pool.instances.items()
        for event, fields in instance.log.lines
        if event == 'worker_lapsed'
    ]
    assert not lapsed, lapsed


@behave.when(
    'an agent receives nothing for {seconds:g} s under a load of {rate:d} jobs per second'
)
def when_held(context, seconds, rate):
    pool = context.pool
    name = agents_of(pool)[0]
    load = {'tasks': 2, 'work_ms': 200}
    pool.load(1, rate, **load)
    pool.network.hold(name)
    pool.load(seconds, rate, **load)
    pool.network.release(name)
    pool.load(1, rate, **load)
    pool.run(4)


@behave.when('an agent is cut off from one of its workers')
def when_pair_cut(context):
    pool = context.pool
    pairs = [
        (name, worker_id)
        for name in agents_of(pool)
        for worker_id in calls_of(pool.instances[name])
    ]
    context.cut_pair = pairs[0]
    pool.cut_pairs.add(pairs[0])


@behave.then('that worker is called by another agent')
def then_other_agent(context):
    pool = context.pool
    name, worker_id = context.cut_pair
    before = {
        other: calls_of(instance)[worker_id]
        for other, instance in pool.instances.items()
    }
    pool.run(1)
    callers = [
        other
        for other, instance in pool.instances.items()
        if calls_of(instance)[worker_id] > before[other]
    ]
    assert callers, before
    assert name not in callers, callers


@behave.when(
    'two instances other than the allocator are cut off from each other'
)
def when_two_cut(context):
    pool = context.pool
    first, second = agents_of(pool)[:2]
    context.cut_names = {first, second}
    is_cut = pool.network.is_cut
    pool.network.is_cut = lambda name, other: (
        {name, other} == context.cut_names or is_cut(name, other)
    )


@behave.when(
    '{count:d} jobs of {tasks:d} tasks of {ms:d} ms are submitted at one of them'
)
def when_jobs_at_cut(context, count, tasks, ms):
    pool = context.pool
    name = min(context.cut_names)
    for _ in range(count):
        pool.submit(name, tasks=tasks, work_ms=ms)
        pool.run(0.1)


@behave.when(
    'every agent but the allocator is killed while {count:d} jobs of {tasks:d} tasks of {ms:d} ms run'
)
def when_all_agents_killed(context, count, tasks, ms):
    pool = context.pool
    allocator = pool.allocator().name
    for _ in range(count):
        pool.submit(allocator, tasks=tasks, work_ms=ms)
    pool.run(0.28)
    for name in agents_of(pool):
        pool.kill(name)
        pool.run(0.01)
    pool.run(5)


@behave.when('agents report unknown calls, refusals and runs')
def when_malformed(context):
    pool = context.pool
    receive = pool.allocator().node.active_allocator.inbox.receive
    name = values.InstanceName(agents_of(pool)[0])
    pending = pool.allocator().node.active_allocator.executor.calls.pending
    polls = [call.call for call in pending if call.poll is not None]
    for message in (
        agent_messages.CallAnswered(call=-1, refusal='', clock_ms=0),
        agent_messages.CallAnswered(call=polls[0], refusal='?', clock_ms=0),
        agent_messages.CallUnanswered(call=10**9, detail='x' * 1000),
        agent_messages.WorkerReport(
            call=polls[1],
            clock_ms=-5,
            started_ms=0,
            running=((10**9, 50),),
            ended=((1, 10**9, values.EndKind.DONE),),
        ),
        agent_messages.NotLaunched(calls=(-1, polls[2]), is_job_open=True),
        peer_messages.Retiring(),
    ):
        receive(name, message)


@behave.then(
    '{count:d} worker row was sent to each successor in the last {seconds:d} s'
)
def then_rows(context, count, seconds):
    rows = row_counts(context, seconds)
    assert rows, context.pool.network.messages[-5:]
    assert set(rows.values()) == {count}, rows


def row_counts(context, seconds):
    counts = collections.Counter()
    oldest_s = context.pool.clock.seconds() - seconds
    for sent in context.pool.network.messages:
        if sent.sent_s >= oldest_s and isinstance(
            sent.message, peer_messages.WorkerRowChanges
        ):
            counts[sent.receiver] += len(sent.message.rows)
    return counts


@behave.then(
    'at most {count:d} worker rows were sent to each successor in the last {seconds:d} s'
)
def then_few_rows(context, count, seconds):
    rows = row_counts(context, seconds)
    assert max(rows.values(), default=0) <= count, rows


@behave.then('no directory entry was sent in the last {seconds:d} s')
def then_no_directory(context, seconds):
    sent = [
        sent
        for sent in context.pool.network.messages
        if isinstance(sent.message, peer_messages.SharedDirectory)
        and sent.sent_s >= context.pool.clock.seconds() - seconds
    ]
    assert not sent, sent


@behave.when(
    '{count:d} polls of worker "{name}" get no answer, and each time a start is refused as "{reason}"'
)
def when_refused_between(context, count, name, reason):
    calls = context.pool.allocator().node.active_allocator.executor.calls
    assigned = calls.assignments.workers[name]
    context.agent_before = assigned.agent
    poll = pool_port.StatusPoll(
        token=values.Token(1), last_end_position=0, until_ms=None, wait_ms=0
    )
    deadline_s = calls.timers.now() + 1
    for _ in range(count):
        polled = calls.pending.add(assigned, ignore, deadline_s, poll=poll)
        started = calls.pending.add(assigned, ignore, deadline_s)
        calls.receive(
            agent_messages.CallUnanswered(call=polled.call, detail='refused')
        )
        calls.receive(
            agent_messages.CallAnswered(
                call=started.call, refusal=reason, clock_ms=-1
            )
        )


def ignore(_):
    """Ignore an outcome."""


@behave.then('worker "{name}" has another agent')
def then_moved_agent(context, name):
    calls = context.pool.allocator().node.active_allocator.executor.calls
    agent = calls.assignments.workers[name].agent
    assert agent != context.agent_before, agent
