"""Steps about leases of slots and their allocators."""

import dataclasses

import behave

from guavaroad.domain import jobs
from support import slot_worlds


def instance(context, number):
    return context.fleet_world.all_instances[number]


def queue(context, number, count, ms):
    world = context.fleet_world
    one = instance(context, number)
    name = f'run-{ms}'
    world.port.run_s[name] = ms / 1000
    request = one.request('office', 'normal', count, name)
    one.queue(dataclasses.replace(request, urgency=jobs.Urgency.NORMAL))


def build(context, zones, count, layout):
    upstreams, slots = layout.split(' upstreams of ')
    context.fleet_world = slot_worlds.SlotWorld(
        zones=zones,
        instances=count,
        upstreams=int(upstreams),
        slot_count=int(slots),
    )
    context.fleet_world.all_instances = list(context.fleet_world.instances)


@behave.given('{count:d} instances in zone "{zone}" with {layout} slots')
def given_zone(context, count, zone, layout):
    build(context, [zone], count, layout)


@behave.given('{count:d} instances in zones "{zones}" with {layout} slots each')
def given_zones(context, count, zones, layout):
    named = zones.split()
    build(context, named, count // len(named), layout)


@behave.when('instance {number:d} queues {count:d} tasks of {ms:d} ms')
def when_one_queues(context, number, count, ms):
    queue(context, number, count, ms)


@behave.when('every instance queues {count:d} tasks of {ms:d} ms')
def when_all_queue(context, count, ms):
    for number, one in enumerate(context.fleet_world.all_instances):
        if one in context.fleet_world.instances:
            queue(context, number, count, ms)


@behave.when('{seconds:g} s pass in the fleet')
def when_time_passes(context, seconds):
    context.fleet_world.run_for(seconds)


@behave.when('instance {number:d} drains')
def when_drains(context, number):
    instance(context, number).keeper.drain()


@behave.when('the platform lists upstream "{name}" as leaving')
def when_leaving(context, name):
    world = context.fleet_world
    world.listed = tuple(
        dataclasses.replace(one, leaving=one.name == name)
        for one in world.listed
    )
    world.list_upstreams()


@behave.when('the allocator of zone "{zone}" is killed and believed dead')
def when_killed(context, zone):
    world = context.fleet_world
    chosen = world.allocator(zone)
    world.kill(chosen)
    world.forget(chosen)


@behave.when('the allocator of zone "{zone}" freezes')
def when_frozen(context, zone):
    world = context.fleet_world
    world.network.frozen.add(world.allocator(zone).peer.peer_address)


@behave.when('the allocator of zone "{zone}" thaws')
def when_thaws(context, zone):
    world = context.fleet_world
    world.network.thaw(world.allocator(zone).peer.peer_address)


@behave.when('every message is lost')
def when_all_lost(context):
    context.fleet_world.network.loses = lambda _: True


@behave.when('no message is lost')
def when_none_lost(context):
    context.fleet_world.network.loses = lambda _: False


@behave.when('one message in {part:d} is lost')
def when_some_lost(context, part):
    network = context.fleet_world.network
    network.loses = lambda _: not len(network.log) % part


@behave.when('the zones are cut off from each other')
def when_cut(context):
    world = context.fleet_world
    first, second = (one.peer.peer_address for one in world.instances)
    world.network.separate({first}, {second})


@behave.when('instance {number:d} alone believes that it allocates')
def when_believes(context, number):
    one = instance(context, number)
    one.members.peers = tuple
    one.follow_members()


@behave.then('instance {number:d} runs at least {count:d} tasks')
def then_runs(context, number, count):
    assert instance(context, number).running() >= count, instance(
        context, number
    ).running()


@behave.then('instance {number:d} runs between {low:d} and {high:d} tasks')
def then_runs_between(context, number, low, high):
    running = instance(context, number).running()
    assert low <= running <= high, running


@behave.then('instance {number:d} has no waiting task')
def then_no_waiting(context, number):
    waiting = instance(context, number).dispatcher.queue.task_count
    assert not waiting, waiting


@behave.then('instance {number:d} holds at most {count:d} slots')
def then_holds(context, number, count):
    assert instance(context, number).held() <= count, instance(
        context, number
    ).held()


@behave.then('no upstream was ever busy')
def then_never_busy(context):
    assert not context.fleet_world.port.busy, context.fleet_world.port.busy


@behave.then('nothing has started at upstream "{name}"')
def then_nothing_at(context, name):
    started = [one for one, _ in context.fleet_world.port.starts if one == name]
    assert not started, len(started)


@behave.then('exactly {count:d} instance allocates zone "{zone}"')
def then_allocates(context, count, zone):
    chosen = [
        one
        for one in context.fleet_world.instances
        if one.allocating.state is not None and one.allocating.zone == zone
    ]
    assert len(chosen) == count, chosen
    assert chosen[0] is context.fleet_world.allocator(zone)


@behave.then('no more slots are held than the upstreams have')
def then_not_oversubscribed(context):
    world = context.fleet_world
    held = sum(one.held() for one in world.instances)
    assert held <= sum(one.slots for one in world.listed), held


@behave.then('at least {count:d} tasks run in the fleet')
def then_fleet_runs(context, count):
    running = len(context.fleet_world.port.running)
    assert running >= count, running


@behave.then('every task has ended')
def then_all_ended(context):
    world = context.fleet_world
    assert not world.port.running, len(world.port.running)
    waiting = [one.dispatcher.queue.task_count for one in world.instances]
    assert not any(waiting), waiting
    settled = sum(len(one.settled) for one in world.instances)
    assert settled == len(world.instances), settled


@behave.then('the allocator of zone "{zone}" has at least {count:d} free slots')
def then_free(context, zone, count):
    chosen = context.fleet_world.allocator(zone).allocating.state
    total = sum(one.slots for one in chosen.slots.upstreams.values())
    held = sum(chosen.slots.held.values())
    assert total - held >= count, (total, held)


@behave.when(
    'instance {number:d} starts again and knows its peers from the list alone'
)
def when_starts_alone(context, number):
    world = context.fleet_world
    peer = instance(context, number).peer
    fresh = slot_worlds.LeasingInstance(world, peer)
    fresh.members.peers = tuple
    fresh.keeper.list_changed(world.shown())
    context.fleet_world.all_instances[number] = fresh


@behave.then('instance {number:d} counts its shares over {count:d} slots')
def then_counts(context, number, count):
    pool = instance(context, number).slots.pools['main']
    assert pool.equal_share == count, pool.equal_share
