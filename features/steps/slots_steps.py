"""Steps for slot leases and slot allocators."""

import dataclasses

import behave

from guavaroad.domain import jobs
from support import slot_worlds


def instance(context, number):
    return context.fleet_world.all_instances[number]


def queue(context, number, count, ms):
    world = context.fleet_world
    queueing = instance(context, number)
    name = f'run-{ms}'
    world.port.run_s[name] = ms / 1000
    request = queueing.request('office', 'normal', count, name)
    queueing.queue(dataclasses.replace(request, urgency=jobs.Urgency.NORMAL))


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
    zone_names = zones.split()
    build(context, zone_names, count // len(zone_names), layout)


@behave.when('instance {number:d} queues {count:d} tasks of {ms:d} ms')
def when_instance_queues(context, number, count, ms):
    queue(context, number, count, ms)


@behave.when('every instance queues {count:d} tasks of {ms:d} ms')
def when_all_queue(context, count, ms):
    for number, queueing in enumerate(context.fleet_world.all_instances):
        if queueing in context.fleet_world.instances:
            queue(context, number, count, ms)


@behave.when('{seconds:g} s pass in the fleet')
def when_time_passes(context, seconds):
    context.fleet_world.run_for(seconds)


@behave.when('instance {number:d} drains')
def when_drains(context, number):
    instance(context, number).lease_service.drain()


@behave.when('the platform lists upstream "{name}" as leaving')
def when_leaving(context, name):
    world = context.fleet_world
    world.listed = tuple(
        dataclasses.replace(upstream, leaving=upstream.name == name)
        for upstream in world.listed
    )
    world.publish_list()


@behave.when('the allocator of zone "{zone}" is killed and declared dead')
def when_killed(context, zone):
    world = context.fleet_world
    chosen = world.allocator(zone)
    world.kill(chosen)
    world.declare_dead(chosen)


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
    context.fleet_world.network.should_drop = lambda _: True


@behave.when('no message is lost')
def when_none_lost(context):
    context.fleet_world.network.should_drop = lambda _: False


@behave.when('one message in {part:d} is lost')
def when_some_lost(context, part):
    network = context.fleet_world.network
    network.should_drop = lambda _: not len(network.log) % part


@behave.when('the zones are partitioned')
def when_partitioned(context):
    world = context.fleet_world
    first, second = (each.peer.peer_address for each in world.instances)
    world.network.partition({first}, {second})


@behave.when('instance {number:d} loses sight of its peers and allocates')
def when_loses_peers(context, number):
    isolated = instance(context, number)
    isolated.members.peers = tuple
    isolated.notify_subscribers()


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


@behave.then('no upstream refused a task as busy')
def then_never_busy(context):
    assert not context.fleet_world.port.busy_refusals, (
        context.fleet_world.port.busy_refusals
    )


@behave.then('nothing has started at upstream "{name}"')
def then_nothing_at(context, name):
    started = [
        upstream
        for upstream, _ in context.fleet_world.port.starts
        if upstream == name
    ]
    assert not started, len(started)


@behave.then('exactly {count:d} instance allocates zone "{zone}"')
def then_allocates(context, count, zone):
    chosen = [
        allocating
        for allocating in context.fleet_world.instances
        if allocating.zone_allocator.state is not None
        and allocating.zone_allocator.zone == zone
    ]
    assert len(chosen) == count, chosen
    assert chosen[0] is context.fleet_world.allocator(zone)


@behave.then('no more slots are held than the upstreams have')
def then_not_oversubscribed(context):
    world = context.fleet_world
    held = sum(holder.held() for holder in world.instances)
    assert held <= sum(upstream.slots for upstream in world.listed), held


@behave.then('at least {count:d} tasks run in the fleet')
def then_fleet_runs(context, count):
    running = len(context.fleet_world.port.running)
    assert running >= count, running


@behave.then('every task has ended')
def then_all_ended(context):
    world = context.fleet_world
    assert not world.port.running, len(world.port.running)
    waiting = [owner.dispatcher.queue.task_count for owner in world.instances]
    assert not any(waiting), waiting
    ended = sum(len(owner.outcomes) for owner in world.instances)
    assert ended == len(world.instances), ended


@behave.then('the allocator of zone "{zone}" has at least {count:d} free slots')
def then_free(context, zone, count):
    allocator = context.fleet_world.allocator(zone).zone_allocator.state
    total = sum(
        upstream.slots for upstream in allocator.slots.upstreams.values()
    )
    held = sum(allocator.slots.held.values())
    assert total - held >= count, (total, held)


@behave.when(
    "instance {number:d} restarts and knows its peers only from the platform's list"
)
def when_restarts(context, number):
    world = context.fleet_world
    peer = instance(context, number).peer
    restarted = slot_worlds.LeasingInstance(world, peer)
    restarted.members.peers = tuple
    restarted.lease_service.list_changed(world.instance_list())
    context.fleet_world.all_instances[number] = restarted


@behave.then('the equal share of instance {number:d} is {count:d} slots')
def then_equal_share(context, number, count):
    pool = instance(context, number).slots.pools['main']
    assert pool.equal_share == count, pool.equal_share
