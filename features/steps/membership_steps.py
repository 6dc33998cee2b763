"""Steps for membership, on a simulated clock and on real processes."""

import functools
import time

import behave

from guavaroad.domain import names
from guavaroad.domain.membership import messages
from guavaroad.ports import peers, platform
from guavaroad_standins import calls, fleet, mesh, processes

DEAD = peers.PeerState.DEAD
DEAD_OR_UNKNOWN = (DEAD, None)


@behave.given('a mesh of {zones:d} zones with {per_zone:d} instances each')
def given_mesh(context, zones, per_zone):
    context.mesh = mesh.Mesh(zones=zones, per_zone=per_zone)
    context.epochs = {
        name: node.incarnation.epoch
        for name, node in context.mesh.nodes.items()
    }
    context.mesh.start()


@behave.given('{seconds:g} s pass')
@behave.when('{seconds:g} s pass')
@behave.when('{seconds:g} s passes')
def when_pass(context, seconds):
    context.mesh.run(seconds)


@behave.given('messages are delayed by up to {seconds:g} s and reordered')
def given_jitter(context, seconds):
    context.mesh.network.jitter_s = seconds


@behave.when('instance "{name}" is killed')
def when_killed(context, name):
    context.mesh.kill(name)


@behave.when('instance "{name}" starts with the only seed "{seed}"')
def when_starts(context, name, seed):
    node = context.mesh.add(name)
    context.epochs[name] = node.incarnation.epoch
    seeds = (context.mesh.nodes[seed].peer_address,)
    node.service.settings_seeds = seeds
    node.service.sender.seeds = list(seeds)
    node.service.start()


@behave.when('instance "{name}" is replaced by a new process at its address')
def when_replaced(context, name):
    context.replaced = context.mesh.kill(name).incarnation.epoch
    node = context.mesh.add(name)
    context.epochs[name] = node.incarnation.epoch
    node.service.start()


@behave.when('instance "{name}" announces that it leaves')
def when_leaves(context, name):
    service = context.mesh.nodes[name].service
    service.leave()


@behave.when('the platform lists no instances')
def when_lists_nothing(context):
    for node in context.mesh.nodes.values():
        node.service.list_changed(
            platform.InstanceList(entries=(), upstreams=())
        )


@behave.when('the loss of one heartbeat to all instances affects "{name}"')
def when_lost(context, name):
    network = context.mesh.network
    source = context.mesh.nodes[name].peer_address
    network.should_drop = lambda envelope: envelope.source == source
    context.mesh.run(1)
    network.should_drop = lambda _: False


@behave.when('a pause of 500 ms affects "{name}"')
def when_paused(context, name):
    context.mesh.freeze(name)
    context.mesh.run(0.5)
    context.mesh.thaw(name)


@behave.when('a pause of 500 ms with a lost heartbeat affects "{name}"')
def when_paused_and_lost(context, name):
    when_lost(context, name)
    context.mesh.run(0.8)
    when_paused(context, name)


@behave.when('instance "{name}" is frozen for {seconds:g} s')
def when_frozen(context, name, seconds):
    service = context.mesh.nodes[name].service
    context.observed_states = []
    service.subscribe(
        lambda: context.observed_states.extend(service.states.values())
    )
    context.mesh.freeze(name)
    context.mesh.run(seconds)
    context.mesh.thaw(name)


@behave.when('the heartbeats of "{name}" are delayed by {seconds:g} s')
def when_delayed(context, name, seconds):
    network = context.mesh.network
    network.delay_s = seconds
    context.mesh.run(1)
    network.delay_s = mesh.STEP_S


@behave.when('messages between "{name}" and "{other_name}" are cut')
def when_cut(context, name, other_name):
    nodes = context.mesh.nodes
    context.mesh.network.partition(
        {nodes[name].peer_address}, {nodes[other_name].peer_address}
    )


@behave.when('zone "{zone}" is partitioned from the others')
def when_partitioned(context, zone):
    zone_addresses = context.mesh.addresses(zone)
    other_addresses = context.mesh.addresses('zone') - zone_addresses
    context.mesh.network.partition(zone_addresses, other_addresses)


@behave.when('the partition ends')
def when_partition_ends(context):
    context.mesh.network.heal()


def has_records(envelope):
    message = envelope.message.message
    return isinstance(message, messages.ZoneUpdate) and message.report.records


@behave.then('no zone records are sent in the next {seconds:g} s')
def then_no_records(context, seconds):
    log = context.mesh.network.log
    log.clear()
    context.mesh.run(seconds)
    assert not list(filter(has_records, log))


@behave.when('all zone records are lost from now on')
def when_records_lost(context):
    context.mesh.network.should_drop = has_records


@behave.when('the views are observed for {seconds:g} s')
def when_observed(context, seconds):
    context.seen_dead = set()
    for _ in range(round(seconds / mesh.STEP_S)):
        context.mesh.run(mesh.STEP_S)
        for observer in context.mesh.nodes:
            states = context.mesh.states(observer)
            context.seen_dead |= {
                epoch for epoch, state in states.items() if state is DEAD
            }


@behave.then('"{observer}" never saw any instance dead')
def then_never_saw_dead(context, observer):
    assert DEAD not in context.observed_states, context.observed_states


@behave.then('no instance ever saw "{name}" dead')
def then_never_dead(context, name):
    assert context.epochs[name] not in context.seen_dead


def views_not_alive(context, observers):
    """Return the observers and instances not seen as alive, with the state."""
    mismatches = []
    for observer in observers:
        states = context.mesh.states(observer)
        for name in context.mesh.nodes:
            state = states.get(context.epochs[name])
            if name != observer and state is not peers.PeerState.ALIVE:
                mismatches.append((observer, name, state))
    return mismatches


@behave.then('every instance sees every other one alive')
def then_all_alive(context):
    not_alive = views_not_alive(context, context.mesh.nodes)
    assert not not_alive, not_alive


@behave.then('within {seconds:g} s every instance sees every other one alive')
def then_all_alive_soon(context, seconds):
    context.mesh.run(seconds)
    then_all_alive(context)


@behave.then('"{observer}" sees every other instance alive')
def then_sees_alive(context, observer):
    not_alive = views_not_alive(context, [observer])
    assert not not_alive, not_alive


def states_of(context, name):
    epoch = context.epochs[name]
    return {
        observer: context.mesh.states(observer).get(names.Epoch(epoch))
        for observer in context.mesh.nodes
        if observer != name
    }


@behave.then('every instance sees "{name}" as dead or not at all')
def then_dead(context, name):
    states = states_of(context, name)
    assert all(state in DEAD_OR_UNKNOWN for state in states.values()), states


@behave.then('every instance sees "{name}" as leaving')
def then_leaving(context, name):
    states = states_of(context, name)
    leaving = peers.PeerState.LEAVING
    assert all(state is leaving for state in states.values()), states


@behave.then('"{observer}" sees the replaced process dead')
def then_replaced_dead(context, observer):
    state = context.mesh.states(observer).get(context.replaced)
    assert state in DEAD_OR_UNKNOWN, state


@behave.then('"{observer}" sees all of "{zone}" dead')
def then_zone_dead(context, observer, zone):
    states = context.mesh.states(observer)
    zone_states = [
        states.get(context.epochs[name])
        for name in context.mesh.nodes
        if name.startswith(zone)
    ]
    assert all(state is DEAD for state in zone_states), zone_states


@behave.then('"{observer}" sees "{name}" alive')
def then_instance_alive(context, observer, name):
    state = context.mesh.states(observer).get(context.epochs[name])
    assert state is peers.PeerState.ALIVE, state


def sees_alive(instance, count):
    return list(real_states(instance).values()).count('alive') == count


def sees_dead(instance, address):
    return real_states(instance).get(address) in {'dead', None}


@behave.given(
    'a real fleet of {zones:d} zones with {per_zone:d} instances each'
)
def given_real_fleet(context, zones, per_zone):
    context.fleet = fleet.Fleet(
        plan=fleet.FleetPlan(
            zones=tuple(f'zone-{number}' for number in range(zones)),
            instances_per_zone=per_zone,
            upstreams_per_zone=1,
        )
    )
    context.fleet.start()
    count = zones * per_zone - 1
    for instance in context.fleet.instances:
        processes.wait_until(
            functools.partial(sees_alive, instance, count),
            'every process sees the others',
        )


def real_states(instance):
    """Return the states of all peers in the state dump, by client address."""
    dump = calls.call(
        'GET',
        instance.address,
        '/v1/state',
        headers={'Authorization': f'Bearer {fleet.OPERATOR_TOKEN}'},
    ).decoded()
    return {
        peer['address']: peer['state'] for peer in dump['membership']['peers']
    }


def other_instances(context, target):
    return [
        instance
        for instance in context.fleet.instances
        if instance is not target
    ]


@behave.when('the first process is killed')
def when_process_killed(context):
    context.target = context.fleet.instances[0]
    context.killed_s = time.monotonic()
    context.target.process.kill()


@behave.then('every other process sees it dead within {seconds:d} s')
def then_process_dead(context, seconds):
    for instance in other_instances(context, context.target):
        processes.wait_until(
            functools.partial(sees_dead, instance, context.target.address),
            'the killed process is seen dead',
        )
    elapsed_s = time.monotonic() - context.killed_s
    assert elapsed_s < seconds, elapsed_s


@behave.when('the first process is stopped for {ms:d} ms')
def when_process_paused(context, ms):
    context.target = context.fleet.instances[0]
    context.target.process.freeze()
    thaw_s = time.monotonic() + ms / 1000
    processes.wait_until(lambda: time.monotonic() > thaw_s, 'the pause ends')
    context.target.process.thaw()


@behave.then('no other process sees it dead in the next {seconds:d} s')
def then_process_lives(context, seconds):
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        for instance in other_instances(context, context.target):
            state = real_states(instance).get(context.target.address)
            assert state in {'alive', 'suspect'}, state
