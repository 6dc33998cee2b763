"""Steps about membership on a fake timer."""

import functools
import time

import behave

from guavaroad.domain import names
from guavaroad.domain.membership import messages
from guavaroad.ports import peers, platform
from guavaroad_standins import calls, fleet, mesh, processes

DEAD = peers.PeerState.DEAD
GONE = (DEAD, None)


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


@behave.given('messages take up to {seconds:g} s and overtake each other')
def given_jitter(context, seconds):
    context.mesh.network.jitter_s = seconds


@behave.when('instance "{name}" is killed')
def when_killed(context, name):
    context.mesh.kill(name)


@behave.when('instance "{name}" starts and knows only "{seed}"')
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


@behave.when('instance "{name}" says that it leaves')
def when_leaves(context, name):
    service = context.mesh.nodes[name].service
    service.leave()


@behave.when('the platform lists no instance at all')
def when_lists_nothing(context):
    for node in context.mesh.nodes.values():
        node.service.list_changed(
            platform.InstanceList(entries=(), upstreams=())
        )


@behave.when('the loss of one heartbeat to everybody strikes "{name}"')
def when_lost(context, name):
    network = context.mesh.network
    source = context.mesh.nodes[name].peer_address
    network.should_drop = lambda delivery: delivery.source == source
    context.mesh.run(1)
    network.should_drop = lambda _: False


@behave.when('a pause of 500 ms strikes "{name}"')
def when_paused(context, name):
    context.mesh.freeze(name)
    context.mesh.run(0.5)
    context.mesh.thaw(name)


@behave.when('a pause of 500 ms with a lost heartbeat strikes "{name}"')
def when_paused_and_lost(context, name):
    when_lost(context, name)
    context.mesh.run(0.8)
    when_paused(context, name)


@behave.when('instance "{name}" is frozen for {seconds:g} s')
def when_frozen(context, name, seconds):
    service = context.mesh.nodes[name].service
    context.beliefs = []
    service.subscribe(lambda: context.beliefs.extend(service.states.values()))
    context.mesh.freeze(name)
    context.mesh.run(seconds)
    context.mesh.thaw(name)


@behave.when('the heartbeats of "{name}" are held back for {seconds:g} s')
def when_held_back(context, name, seconds):
    network = context.mesh.network
    network.delay_s = seconds
    context.mesh.run(1)
    network.delay_s = mesh.STEP_S


@behave.when('messages between "{one}" and "{other}" are cut')
def when_cut(context, one, other):
    nodes = context.mesh.nodes
    context.mesh.network.partition(
        {nodes[one].peer_address}, {nodes[other].peer_address}
    )


@behave.when('zone "{zone}" is cut off from the others')
def when_zone_cut(context, zone):
    inside = context.mesh.addresses(zone)
    outside = context.mesh.addresses('zone') - inside
    context.mesh.network.partition(inside, outside)


@behave.when('the cut ends')
def when_joined(context):
    context.mesh.network.heal()


def is_list(delivery):
    message = delivery.message.message
    return isinstance(message, messages.ZoneUpdate) and message.report.records


@behave.then('no list of a zone is sent in the next {seconds:g} s')
def then_no_list(context, seconds):
    log = context.mesh.network.log
    log.clear()
    context.mesh.run(seconds)
    assert not list(filter(is_list, log))


@behave.when('the lists of zones are lost from now on')
def when_lists_lost(context):
    context.mesh.network.should_drop = is_list


@behave.when('{seconds:g} s are watched')
def when_watched(context, seconds):
    context.seen_dead = set()
    for _ in range(round(seconds / mesh.STEP_S)):
        context.mesh.run(mesh.STEP_S)
        for seer in context.mesh.nodes:
            states = context.mesh.states(seer)
            context.seen_dead |= {
                epoch for epoch, state in states.items() if state is DEAD
            }


@behave.then('"{seer}" never took anybody for dead')
def then_no_false_death(context, seer):
    assert DEAD not in context.beliefs, context.beliefs


@behave.then('nobody ever saw "{name}" dead')
def then_never_dead(context, name):
    assert context.epochs[name] not in context.seen_dead


def wrong_views(context, seers):
    """Return the pairs where the seer does not see the other alive."""
    found = []
    for seer in seers:
        states = context.mesh.states(seer)
        for name in context.mesh.nodes:
            state = states.get(context.epochs[name])
            if name != seer and state is not peers.PeerState.ALIVE:
                found.append((seer, name, state))
    return found


@behave.then('everybody sees every other instance alive')
def then_all_alive(context):
    wrong = wrong_views(context, context.mesh.nodes)
    assert not wrong, wrong


@behave.then('within {seconds:g} s everybody sees every other instance alive')
def then_all_alive_soon(context, seconds):
    context.mesh.run(seconds)
    then_all_alive(context)


@behave.then('"{seer}" sees every other instance alive')
def then_sees_alive(context, seer):
    wrong = wrong_views(context, [seer])
    assert not wrong, wrong


def states_of(context, name):
    epoch = context.epochs[name]
    return {
        seer: context.mesh.states(seer).get(names.Epoch(epoch))
        for seer in context.mesh.nodes
        if seer != name
    }


@behave.then('everybody sees "{name}" as dead or not at all')
def then_dead(context, name):
    states = states_of(context, name)
    assert all(state in GONE for state in states.values()), states


@behave.then('everybody sees "{name}" as leaving')
def then_leaving(context, name):
    states = states_of(context, name)
    leaving = peers.PeerState.LEAVING
    assert all(state is leaving for state in states.values()), states


@behave.then('"{seer}" sees the replaced process dead')
def then_replaced_dead(context, seer):
    state = context.mesh.states(seer).get(context.replaced)
    assert state in GONE, state


@behave.then('"{seer}" sees all of "{zone}" dead')
def then_zone_dead(context, seer, zone):
    states = context.mesh.states(seer)
    found = [
        states.get(context.epochs[name])
        for name in context.mesh.nodes
        if name.startswith(zone)
    ]
    assert all(state is DEAD for state in found), found


@behave.then('"{seer}" sees "{name}" alive')
def then_one_alive(context, seer, name):
    state = context.mesh.states(seer).get(context.epochs[name])
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
    """Return the states of all peers by client address, from the dump."""
    dump = calls.call(
        'GET',
        instance.address,
        '/v1/state',
        headers={'Authorization': f'Bearer {fleet.OPERATOR_TOKEN}'},
    ).decoded()
    return {
        peer['address']: peer['state'] for peer in dump['membership']['peers']
    }


def others(context, victim):
    return [one for one in context.fleet.instances if one is not victim]


@behave.when('the first process is killed')
def when_process_killed(context):
    context.victim = context.fleet.instances[0]
    context.struck_s = time.monotonic()
    context.victim.process.kill()


@behave.then('every other process sees it dead within {seconds:d} s')
def then_process_dead(context, seconds):
    for one in others(context, context.victim):
        processes.wait_until(
            functools.partial(sees_dead, one, context.victim.address),
            'the killed process is seen dead',
        )
    taken_s = time.monotonic() - context.struck_s
    assert taken_s < seconds, taken_s


@behave.when('the first process is stopped for {ms:d} ms')
def when_process_paused(context, ms):
    context.victim = context.fleet.instances[0]
    context.victim.process.freeze()
    thaw_s = time.monotonic() + ms / 1000
    processes.wait_until(lambda: time.monotonic() > thaw_s, 'the pause ends')
    context.victim.process.thaw()


@behave.then('no other process sees it dead in the next {seconds:d} s')
def then_process_lives(context, seconds):
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        for one in others(context, context.victim):
            state = real_states(one).get(context.victim.address)
            assert state in {'alive', 'suspect'}, state
