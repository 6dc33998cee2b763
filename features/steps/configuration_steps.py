"""Steps about patches on a fake timer, with a fault at every step."""

import dataclasses
import functools
import itertools
import types

import behave
import msgspec

from guavaroad.domain.configuration import messages
from guavaroad_standins import memory_bus, memory_table, mesh

FIRST_DOCUMENT = msgspec.json.encode(
    {
        'teams': {'office': {}},
        'jobs': {
            'render': {'teams': ['office']},
            'digest': {'teams': ['office']},
        },
    }
)


@dataclasses.dataclass(slots=True)
class Asked:
    """A patch and the answer to it, once there is one."""

    operation: str
    body: dict | None = None


def patch_of(tasks):
    return msgspec.json.encode({'jobs': {'render': {'max_tasks': tasks}}})


def ask(context, name, base, body, operation=''):
    """Send a patch to an instance and keep what it answers."""
    asked = Asked(operation)
    context.asked.append(asked)
    node = context.mesh.nodes[name]
    pending = node.configuration.patch(base, body, operation)
    pending.addCallback(
        lambda answer: setattr(asked, 'body', msgspec.json.decode(answer.body))
    )
    return asked


def versions(context):
    """Return the version of each living instance."""
    return {
        name: node.configuration.in_force.version
        for name, node in context.mesh.nodes.items()
        if node.configuration.in_force
    }


def platform_faults(context, name):
    platform = context.mesh.nodes[name].platform
    return platform.faults


def refusal_of(context, name, job):
    node = context.mesh.nodes[name]
    refusal = node.configuration.refusal(job)
    return refusal.name if refusal else None


@behave.given(
    'a configured mesh of {zones:d} zones with {per_zone:d} instances each'
)
def given_configured(context, zones, per_zone):
    context.mesh = mesh.Mesh(zones=zones, per_zone=per_zone)
    context.epochs = {}
    context.asked = []
    context.mesh.start()
    context.mesh.run(8)
    first = ask(context, 'zone-0/0', 0, FIRST_DOCUMENT, 'op-0')
    context.mesh.run(2)
    assert first.body['name'] == 'PATCH_ACCEPTED', first
    then_every_version(context, 1)
    context.asked.clear()


@behave.given('job "{job}" has work at "{name}"')
def given_work(context, job, name):
    configuration = context.mesh.nodes[name].configuration
    configuration.peers.in_use = lambda: [job]


@behave.when('an operator patches job "render" to {tasks:d} tasks at "{name}"')
def when_patches(context, tasks, name):
    ask(context, name, 1, patch_of(tasks))


@behave.when('an operator patches version {base:d} at "{name}"')
def when_patches_version(context, base, name):
    ask(context, name, base, patch_of(60))


@behave.when('an operator sends the patch {patch}')
def when_sends_patch(context, patch):
    ask(context, 'zone-0/0', 1, patch.encode())


@behave.when('operation "{operation}" patches version {base:d} at "{name}"')
def when_operation(context, operation, base, name):
    ask(context, name, base, patch_of(50), operation)


@behave.when(
    'operation "{operation}" sends another patch of version {base:d} at "{name}"'
)
def when_other_patch(context, operation, base, name):
    ask(context, name, base, patch_of(51), operation)


@behave.when(
    '{count:d} operators patch version {base:d} on different instances at once'
)
def when_race(context, count, base):
    for number, name in enumerate(tuple(context.mesh.nodes)[:count]):
        ask(context, name, base, patch_of(100 + number))


@behave.when(
    '{count:d} operators patch on different instances until they are accepted'
)
def when_race_on(context, count):
    names = itertools.cycle(tuple(context.mesh.nodes))
    context.made = []
    going = [
        ask(context, next(names), 1, patch_of(100 + number))
        for number in range(count)
    ]
    while going:
        context.mesh.run(mesh.STEP_S)
        done = [asked for asked in going if asked.body]
        going = [asked for asked in going if not asked.body]
        going.extend(again(context, asked, next(names)) for asked in done)
        going = [asked for asked in going if asked]
    context.mesh.run(1)


def again(context, asked, name):
    """Patch the live version, unless the patch was accepted."""
    version = asked.body['extra']['version']
    if asked.body['name'] == 'PATCH_ACCEPTED':
        context.made.append(version)
        return None
    return ask(context, name, version, patch_of(100 + len(context.asked)))


@behave.then('they made the versions {first:d} to {last:d}, each once')
def then_no_gap(context, first, last):
    expected = list(range(first, last + 1))
    assert sorted(context.made) == expected, context.made


@behave.then("the operator's answer is {code:w}")
def then_answer(context, code):
    body = context.asked[-1].body
    assert body and body['name'] == code, body


@behave.then('the operator\'s answer is {code:w} because of "{words}"')
def then_answer_because(context, code, words):
    body = context.asked[-1].body
    assert body and body['name'] == code, body
    assert words in body['detail'], body


@behave.then('the last answer is {code:w}')
def then_last(context, code):
    then_answer(context, code)


@behave.then('every answer is {code:w} with version {version:d}')
def then_every_answer(context, code, version):
    for asked in context.asked:
        assert asked.body and asked.body['name'] == code, asked
        assert asked.body['extra']['version'] == version, asked


@behave.then(
    'one of them is accepted and the others are stale at version {live:d}'
)
def then_one_wins(context, live):
    found = [one.body['name'] for one in context.asked]
    assert found.count('PATCH_ACCEPTED') == 1, found
    assert found.count('PATCH_STALE') == len(found) - 1, found
    shown = {one.body['extra']['version'] for one in context.asked}
    assert shown == {live}, shown


@behave.then('every instance serves version {version:d}')
def then_every_version(context, version):
    found = versions(context)
    assert set(found.values()) == {version}, found
    assert len(found) == len(context.mesh.nodes), found


@behave.then('"{name}" says that operation "{operation}" is {state}')
def then_operation(context, name, operation, state):
    node = context.mesh.nodes[name]
    body = msgspec.json.decode(node.configuration.show(operation).body)
    assert body['extra']['state'] == state, body


@behave.then('"{name}" refuses job "{job}" with {code:w}')
def then_refuses_job(context, name, job, code):
    assert refusal_of(context, name, job) == code


@behave.then('"{name}" admits job "{job}"')
def then_admits(context, name, job):
    assert refusal_of(context, name, job) is None, refusal_of(
        context, name, job
    )


DRIVER = 'zone-0/1'


def isolate(context, name):
    """Cut an instance off from everybody and from the platform."""
    node = context.mesh.nodes[name]
    node.platform.faults.cut = True
    others = context.mesh.addresses('zone') - {node.peer_address}
    context.mesh.network.partition({node.peer_address}, others)


STRIKES = types.MappingProxyType(
    {
        'killed': lambda context: context.mesh.kill(DRIVER),
        'frozen': lambda context: context.mesh.freeze(DRIVER),
        'cut off': lambda context: isolate(context, DRIVER),
    }
)


def strike_on_write(context, strike, ending, *, kept):
    """Strike at a write of the driver, before or after it took effect."""
    action = functools.partial(STRIKES[strike], context)
    fault = memory_table.WriteTrigger(suffix=ending, action=action)
    faults = platform_faults(context, DRIVER)
    setattr(faults, 'lose_answer' if kept else 'lose_write', fault.observe)


def strike_on_message(context, strike, kind, count):
    """Strike when the driver sends or gets the n-th message of a kind."""
    context.mesh.network.should_drop = memory_bus.MessageTrigger(
        kind=kind,
        addresses={context.mesh.nodes[DRIVER].peer_address},
        count=count,
        action=functools.partial(STRIKES[strike], context),
    ).observe


@behave.when('the driver is {strike} when {step}')
def when_driver_struck(context, strike, step):
    match step:
        case 'the proposal is out':
            strike_on_write(context, strike, '/open', kept=False)
        case 'the proposal is kept':
            strike_on_write(context, strike, '/open', kept=True)
        case 'some have confirmed':
            strike_on_message(context, strike, messages.Confirmed, 3)
        case 'all have confirmed':
            strike_on_write(context, strike, '/commit', kept=False)
        case 'the commit is kept':
            strike_on_write(context, strike, '/commit', kept=True)
        case 'some are told':
            strike_on_message(context, strike, messages.Closed, 3)
    context.struck = DRIVER
    ask(context, DRIVER, 1, patch_of(50), 'op-1')
    if step == 'it has checked':
        STRIKES[strike](context)


def reached(context):
    """Return the reached instances, the struck one left out if it is cut."""
    struck = getattr(context, 'struck', None)
    node = context.mesh.nodes.get(struck)
    away = node is not None and node.platform.faults.cut
    frozen = context.mesh.network.frozen
    return {
        name: one
        for name, one in context.mesh.nodes.items()
        if not (away and name == struck) and one.peer_address not in frozen
    }


@behave.then('all reached instances serve one version and no proposal is open')
def then_one_version(context):
    nodes = reached(context)
    found = {
        name: node.configuration.in_force.version
        for name, node in nodes.items()
    }
    assert len(set(found.values())) == 1, found
    context.version = next(iter(found.values()))
    for name, node in nodes.items():
        shown = node.configuration.describe()
        assert shown['open_proposal'] is None, (name, shown)


@behave.then('what they tell of the operation agrees with that version')
def then_told(context):
    expected = 'accepted' if context.version > 1 else 'not accepted so far'
    for node in reached(context).values():
        body = msgspec.json.decode(node.configuration.show('op-1').body)
        assert body['extra']['state'] == expected, body


@behave.when('the struck driver is back as far as it can be')
def when_back(context):
    context.mesh.network.should_drop = lambda _: False
    context.mesh.network.heal()
    in_all(context, cut=False)
    if context.mesh.network.frozen:
        context.mesh.thaw(DRIVER)


@behave.then("the operator's answer, if any, agrees with that version")
def then_answer_agrees(context):
    body = context.asked[-1].body
    name = body['name'] if body else 'PATCH_UNKNOWN'
    if context.version > 1:
        assert name in {'PATCH_ACCEPTED', 'PATCH_UNKNOWN'}, body
    else:
        assert name != 'PATCH_ACCEPTED', body


@behave.then(
    'the next patch at another instance is accepted within {seconds:d} s'
)
def then_next(context, seconds):
    for node in context.mesh.nodes.values():
        node.platform.faults.slow_s = 0
    asked = ask(context, 'zone-2/2', context.version, patch_of(77))
    context.mesh.run(seconds)
    assert asked.body and asked.body['name'] == 'PATCH_ACCEPTED', asked


def in_all(context, **faults):
    for node in context.mesh.nodes.values():
        for name, setting in faults.items():
            setattr(node.platform.faults, name, setting)


def goes_down(context):
    in_all(context, cut=True)
    context.mesh.clock.callLater(
        15, functools.partial(in_all, context, cut=False)
    )


def turns_slow(context):
    in_all(context, slow_s=3)


@behave.when('the platform {fault} the {step} of a patch at "{name}"')
def when_platform_fault(context, fault, step, name):
    faults = platform_faults(context, name)
    once = memory_table.WriteTrigger(suffix=step)
    always = memory_table.WriteTrigger(suffix=step, max_hits=1000)
    match fault:
        case 'loses one answer to':
            faults.lose_answer = once.observe
        case 'loses every answer to':
            faults.lose_answer = always.observe
        case 'loses one time':
            faults.lose_write = once.observe
        case 'loses every time':
            faults.lose_write = always.observe
        case 'goes down for everybody at':
            once.action = functools.partial(goes_down, context)
            faults.before_write = once.observe
        case 'takes 3 s for each answer since':
            once.action = functools.partial(turns_slow, context)
            faults.before_write = once.observe
    ask(context, name, 1, patch_of(50), 'op-1')


@behave.when('nobody reaches the platform')
def when_no_platform(context):
    in_all(context, cut=True)


@behave.when('"{name}" reads the first {count:d} states of the row late')
def when_stale(context, name, count):
    history = context.mesh.rows.history[:count]
    faults = platform_faults(context, name)
    faults.stale_reads.extend(history)
    context.served = []
    configuration = context.mesh.nodes[name].configuration
    configuration.on_change.append(
        lambda: context.served.append(configuration.in_force.version)
    )


@behave.then('it never changed its version after that')
def then_never_changed(context):
    assert not context.served, context.served


@behave.when('"{name}" is cut off from everything')
def when_isolated(context, name):
    isolate(context, name)


def cut_platform(context, zone):
    for name, node in context.mesh.nodes.items():
        if name.startswith(zone):
            node.platform.faults.cut = True


@behave.when('zone "{zone}" does not reach the platform')
def when_zone_no_platform(context, zone):
    cut_platform(context, zone)


@behave.when('zone "{zone}" is cut off from everything')
def when_zone_isolated(context, zone):
    cut_platform(context, zone)
    inside = context.mesh.addresses(zone)
    outside = context.mesh.addresses('zone') - inside
    context.mesh.network.partition(inside, outside)


@behave.when('everything is reachable again')
def when_reachable(context):
    context.mesh.network.heal()
    in_all(context, cut=False)


@behave.when('zone "{zone}" is killed and the platform lists the rest')
def when_zone_killed(context, zone):
    for name in tuple(context.mesh.nodes):
        if name.startswith(zone):
            context.mesh.kill(name)
    context.mesh.publish()


@behave.when(
    'zone "{zone}" is cut off once it has confirmed a patch of job "render"'
)
def when_cut_after_confirm(context, zone):
    inside = context.mesh.addresses(zone)
    context.mesh.network.should_drop = memory_bus.MessageTrigger(
        kind=messages.Confirmed,
        addresses=inside,
        count=len(inside),
        action=functools.partial(cut_zone_soon, context, zone),
    ).observe
    ask(context, 'zone-0/0', 1, patch_of(50), 'op-1')


def cut_zone_soon(context, zone):
    """Cut a zone off when the votes on their way have arrived."""
    cut_platform(context, zone)
    inside = context.mesh.addresses(zone)
    outside = context.mesh.addresses('zone') - inside
    partition = context.mesh.network.partition
    context.mesh.clock.callLater(0.01, partition, inside, outside)


@behave.when('instance "{name}" is replaced without a way to the platform')
def when_replaced_without_platform(context, name):
    context.mesh.kill(name)
    node = context.mesh.add(name)
    node.platform.faults.cut = True
    node.service.start()
    node.configuration.refresh()


@behave.when('instance "{name}" is replaced without a way to anybody')
def when_replaced_alone(context, name):
    context.mesh.kill(name)
    context.mesh.add(name)
    isolate(context, name)
    node = context.mesh.nodes[name]
    node.service.start()
    node.configuration.refresh()
