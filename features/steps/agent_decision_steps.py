"""Steps for decisions about agents, heartbeats and shared state."""

import collections
import random

import behave

from guavaroad.domain import names
from guavaroad.domain.pool import (
    agent_ranking,
    answer_times,
    beat_schedule,
    call_mode,
    list_period,
    list_relay,
    peer_messages,
    stall_guard,
    state_digest,
    values,
)

BYTES_PER_MBIT = 125_000
ALLOCATOR = values.InstanceName('a-4')


@behave.given('a link of {mbps:g} Mbit/s and {workers:d} workers')
def given_link(context, mbps, workers):
    context.link_bytes_per_s = mbps * BYTES_PER_MBIT
    context.workers = workers


@behave.when('calls were {mode} before')
def when_mode(context, mode):
    is_direct = call_mode.is_direct(
        workers=context.workers,
        link_bytes_per_s=context.link_bytes_per_s,
        was_direct=mode == 'direct',
    )
    context.mode = 'direct' if is_direct else 'made by agents'


@behave.then('calls are {mode}')
def then_mode(context, mode):
    assert context.mode == mode, context.mode


@behave.given(
    'instances of {small:d} and {large:d} cores in each of the zones "{zones}"'
)
def given_instances(context, small, large, zones):
    context.instances = [
        peer_messages.Instance(
            name=values.InstanceName(f'{zone}-{cores}'),
            address='',
            zone=names.AvailabilityZone(zone),
            cores=cores,
        )
        for zone in zones.split()
        for cores in (small, large)
    ]


def choose(context, worker, zone, failures=0):
    return agent_ranking.choose_agent(
        worker_id=values.WorkerId(worker),
        zone=names.AvailabilityZone(zone),
        instances=context.instances,
        allocator=ALLOCATOR,
        failures=failures,
    )


@behave.when('agents are chosen for {count:d} workers in zone "{zone}"')
def when_chosen(context, count, zone):
    context.zone = zone
    context.chosen = {
        f'w{number}': choose(context, f'w{number}', zone)
        for number in range(count)
    }


@behave.then('every agent is in zone "{zone}"')
def then_zone(context, zone):
    assert all(name.startswith(zone) for name in context.chosen.values())


@behave.then(
    'the one with {cores:d} cores has {low:d} to {high:d} of 100 workers'
)
def then_share(context, cores, low, high):
    counts = collections.Counter(context.chosen.values())
    share = 100 * counts[f'{context.zone}-{cores}'] / len(context.chosen)
    assert low <= share <= high, counts


@behave.when('the agent with {cores:d} core in zone "{zone}" is lost')
def when_lost(context, cores, zone):
    context.lost = f'{zone}-{cores}'
    context.before = context.chosen
    context.instances = [
        instance
        for instance in context.instances
        if instance.name != context.lost
    ]
    when_chosen(context, len(context.before), zone)


@behave.then('only the workers of that agent have another one')
def then_moved(context):
    moved = {
        worker
        for worker, name in context.chosen.items()
        if name != context.before[worker]
    }
    assert moved == {
        worker
        for worker, name in context.before.items()
        if name == context.lost
    }
    assert moved


def ranking(context, worker, zone):
    return [
        choose(context, worker, zone, failures)
        for failures in range(len(context.instances))
    ]


@behave.then('the ranking of every worker ends with the allocator')
def then_last(context):
    for number in range(50):
        for zone in 'abc':
            assert ranking(context, f'w{number}', zone)[-1] == ALLOCATOR


@behave.then('each instance is in the ranking once')
def then_once(context):
    expected = sorted(instance.name for instance in context.instances)
    for number in range(50):
        assert sorted(ranking(context, f'w{number}', 'c')) == expected


@behave.given('{count:d} instances of which {reserved:d} have reserved tokens')
def given_relays(context, count, reserved):
    assert reserved < count
    context.ranked = [values.InstanceName(f'i{rank}') for rank in range(count)]


@behave.then('{count:d} of them read the list when it is {age:d} ms old')
def then_relays(context, count, age):
    relays = [
        name
        for name in context.ranked
        if list_relay.is_relay(
            name=name,
            ranked=context.ranked,
            list_age_ms=age,
            period_s=0.5,
        )
    ]
    assert relays == context.ranked[:count], len(relays)


@behave.when(
    'a link has sent {sent:d} ms ago, received {received:d} ms ago and beaten {beat:d} ms ago'
)
def when_link(context, sent, received, beat):
    now_s = 100.0
    context.is_due = beat_schedule.is_due(
        now_s=now_s,
        sent_s=now_s - sent / 1000,
        received_s=now_s - received / 1000,
        beat_s=now_s - beat / 1000,
    )


@behave.then('a heartbeat is {due}')
def then_due(context, due):
    assert context.is_due == (due == 'due')


@behave.when('checks run each {period:d} ms, but one is {late:d} s late')
def when_late(context, period, late):
    guard = stall_guard.StallGuard(now_s=0)
    times = [number * period / 1000 for number in range(1, 20)]
    delayed = [time + late for time in times[10:]]
    times = [*times[:10], *delayed]
    context.checks = [guard.is_on_time(time) for time in times]


@behave.then('only that check is skipped')
def then_skipped(context):
    assert context.checks.count(False) == 1, context.checks
    assert not context.checks[10], context.checks


def some_instances():
    return [
        peer_messages.Instance(
            name=values.InstanceName(f'i{number}'),
            address=f'10.0.0.{number}:1',
            zone=names.AvailabilityZone('a'),
        )
        for number in range(30)
    ]


@behave.then('digests of the same entries in another order are equal')
def then_equal(context):
    entries = some_instances()
    digest = state_digest.digest_instances(entries)
    random.Random(1).shuffle(entries)
    assert state_digest.digest_instances(entries) == digest


@behave.then('a changed entry changes the digest')
def then_differs(context):
    entries = some_instances()
    changed = [*entries[1:], peer_messages.Instance('i0', '10.9.9.9:1', 'a')]
    digests = map(state_digest.digest_instances, (entries, changed))
    assert len(set(digests)) == 2


@behave.when('polls are usually answered within {usual:d} ms')
def when_usual(context, usual):
    context.times = answer_times.AnswerTimes()
    for _ in range(200):
        context.times.record(usual / 1000)


@behave.then('a poll without an answer is repeated after {repeat:d} ms')
def then_repeat(context, repeat):
    found = context.times.repeat_interval_s() * 1000
    assert round(found) == repeat, found


@behave.when('draining workers may get tasks for {drain:d} ms')
def when_drain(context, drain):
    context.period_s = list_period.read_period_s(drain)


@behave.then('the worker list is read each {period:g} s')
def then_period(context, period):
    assert context.period_s == period, context.period_s
