"""Steps for configuration patches on a simulated clock, with faults."""

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
class PatchCall:
    """A patch request and its answer, None until there is one."""

    operation: str
    body: dict | None = None


def patch_of(tasks):
    return msgspec.json.encode({'jobs': {'render': {'max_tasks': tasks}}})


def send_patch(context, name, base, body, operation=''):
    """Send a patch to an instance and record the answer."""
    call = PatchCall(operation)
    context.calls.append(call)
    node = context.mesh.nodes[name]
    pending = node.configuration.patch(base, body, operation)
    pending.addCallback(
        lambda answer: setattr(call, 'body', msgspec.json.decode(answer.body))
    )
    return call


def versions(context):
    """Return the version in force at each running instance."""
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
    context.calls = []
    context.mesh.start()
    context.mesh.run(8)
    first = send_patch(context, 'zone-0/0', 0, FIRST_DOCUMENT, 'op-0')
    context.mesh.run(2)
    assert first.body['name'] == 'PATCH_ACCEPTED', first
    then_every_version(context, 1)
    context.calls.clear()


@behave.given('job "{job}" has work at "{name}"')
def given_work(context, job, name):
    configuration = context.mesh.nodes[name].configuration
    configuration.peers.jobs_in_use = lambda: [job]


@behave.when('an operator patches job "render" to {tasks:d} tasks at "{name}"')
def when_patches(context, tasks, name):
    send_patch(context, name, 1, patch_of(tasks))


@behave.when('an operator patches version {base:d} at "{name}"')
def when_patches_version(context, base, name):
    send_patch(context, name, base, patch_of(60))


@behave.when('an operator sends the patch {patch}')
def when_sends_patch(context, patch):
    send_patch(context, 'zone-0/0', 1, patch.encode())


@behave.when('operation "{operation}" patches version {base:d} at "{name}"')
def when_operation(context, operation, base, name):
    send_patch(context, name, base, patch_of(50), operation)


@behave.when(
    'operation "{operation}" sends another patch of version {base:d} at "{name}"'
)
def when_other_patch(context, operation, base, name):
    send_patch(context, name, base, patch_of(51), operation)


@behave.when(
    '{count:d} operators patch version {base:d} on different instances at once'
)
def when_concurrent(context, count, base):
    for number, name in enumerate(tuple(context.mesh.nodes)[:count]):
        send_patch(context, name, base, patch_of(100 + number))


@behave.when(
    '{count:d} operators patch on different instances until they are accepted'
)
def when_concurrent_retries(context, count):
    names = itertools.cycle(tuple(context.mesh.nodes))
    context.created_versions = []
    pending_calls = [
        send_patch(context, next(names), 1, patch_of(100 + number))
        for number in range(count)
    ]
    while pending_calls:
        context.mesh.run(mesh.STEP_S)
        answered = [call for call in pending_calls if call.body]
        pending_calls = [call for call in pending_calls if not call.body]
        pending_calls.extend(
            retry(context, call, next(names)) for call in answered
        )
        pending_calls = [call for call in pending_calls if call]
    context.mesh.run(1)


def retry(context, call, name):
    """Retry on the current version, unless the patch was accepted."""
    version = call.body['extra']['version']
    if call.body['name'] == 'PATCH_ACCEPTED':
        context.created_versions.append(version)
        return None
    return send_patch(
        context, name, version, patch_of(100 + len(context.calls))
    )


@behave.then(
    'the patches created the versions {first:d} to {last:d}, each once'
)
def then_no_gap(context, first, last):
    expected = list(range(first, last + 1))
    assert sorted(context.created_versions) == expected, (
        context.created_versions
    )


@behave.then("the operator's answer is {code:w}")
def then_answer(context, code):
    body = context.calls[-1].body
    assert body and body['name'] == code, body


@behave.then('the operator\'s answer is {code:w} because of "{text}"')
def then_answer_because(context, code, text):
    body = context.calls[-1].body
    assert body and body['name'] == code, body
    assert text in body['detail'], body


@behave.then('the last answer is {code:w}')
def then_last(context, code):
    then_answer(context, code)


@behave.then('every answer is {code:w} with version {version:d}')
def then_every_answer(context, code, version):
    for call in context.calls:
        assert call.body and call.body['name'] == code, call
        assert call.body['extra']['version'] == version, call


@behave.then(
    'one of them is accepted and the others are stale at version {version:d}'
)
def then_one_accepted(context, version):
    answers = [call.body['name'] for call in context.calls]
    assert answers.count('PATCH_ACCEPTED') == 1, answers
    assert answers.count('PATCH_STALE') == len(answers) - 1, answers
    versions_shown = {call.body['extra']['version'] for call in context.calls}
    assert versions_shown == {version}, versions_shown


@behave.then('every instance serves version {version:d}')
def then_every_version(context, version):
    served = versions(context)
    assert set(served.values()) == {version}, served
    assert len(served) == len(context.mesh.nodes), served


@behave.then('"{name}" reports operation "{operation}" as {state}')
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
    """Cut an instance off from all peers and from the platform."""
    node = context.mesh.nodes[name]
    node.platform.faults.cut = True
    others = context.mesh.addresses('zone') - {node.peer_address}
    context.mesh.network.partition({node.peer_address}, others)


FAULTS = types.MappingProxyType(
    {
        'killed': lambda context: context.mesh.kill(DRIVER),
        'frozen': lambda context: context.mesh.freeze(DRIVER),
        'cut off': lambda context: isolate(context, DRIVER),
    }
)


def fail_on_write(context, fault, ending, *, is_stored):
    """Inject a fault at a write of the driver, before or after it is stored."""
    action = functools.partial(FAULTS[fault], context)
    trigger = memory_table.WriteTrigger(suffix=ending, action=action)
    faults = platform_faults(context, DRIVER)
    setattr(
        faults, 'lose_answer' if is_stored else 'lose_write', trigger.observe
    )


def fail_on_message(context, fault, kind, count):
    """Inject a fault when the driver sends or receives the nth message."""
    context.mesh.network.should_drop = memory_bus.MessageTrigger(
        kind=kind,
        addresses={context.mesh.nodes[DRIVER].peer_address},
        count=count,
        action=functools.partial(FAULTS[fault], context),
    ).observe


@behave.when('the driver is {fault} when {step}')
def when_driver_fails(context, fault, step):
    match step:
        case 'the proposal is sent to the store':
            fail_on_write(context, fault, '/open', is_stored=False)
        case 'the proposal is stored':
            fail_on_write(context, fault, '/open', is_stored=True)
        case 'some votes have been sent':
            fail_on_message(context, fault, messages.Confirmed, 3)
        case 'the commit is sent to the store':
            fail_on_write(context, fault, '/commit', is_stored=False)
        case 'the commit is stored':
            fail_on_write(context, fault, '/commit', is_stored=True)
        case 'some instances are notified':
            fail_on_message(context, fault, messages.Closed, 3)
    context.faulty_name = DRIVER
    send_patch(context, DRIVER, 1, patch_of(50), 'op-1')
    if step == 'the patch is validated':
        FAULTS[fault](context)


def reachable_nodes(context):
    """Return the instances, except frozen ones and a cut-off driver."""
    faulty_name = getattr(context, 'faulty_name', None)
    node = context.mesh.nodes.get(faulty_name)
    is_cut_off = node is not None and node.platform.faults.cut
    frozen = context.mesh.network.frozen
    return {
        name: other
        for name, other in context.mesh.nodes.items()
        if not (is_cut_off and name == faulty_name)
        and other.peer_address not in frozen
    }


@behave.then('all reached instances serve one version and no proposal is open')
def then_one_version(context):
    nodes = reachable_nodes(context)
    served = {
        name: node.configuration.in_force.version
        for name, node in nodes.items()
    }
    assert len(set(served.values())) == 1, served
    context.version = next(iter(served.values()))
    for name, node in nodes.items():
        state = node.configuration.describe()
        assert state['open_proposal'] is None, (name, state)


@behave.then('the operation state that they report agrees with that version')
def then_operation_agrees(context):
    expected = 'accepted' if context.version > 1 else 'not accepted so far'
    for node in reachable_nodes(context).values():
        body = msgspec.json.decode(node.configuration.show('op-1').body)
        assert body['extra']['state'] == expected, body


@behave.when('the fault at the driver ends')
def when_driver_fault_ends(context):
    context.mesh.network.should_drop = lambda _: False
    context.mesh.network.heal()
    set_faults(context, cut=False)
    if context.mesh.network.frozen:
        context.mesh.thaw(DRIVER)


@behave.then("the operator's answer, if any, agrees with that version")
def then_answer_agrees(context):
    body = context.calls[-1].body
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
    call = send_patch(context, 'zone-2/2', context.version, patch_of(77))
    context.mesh.run(seconds)
    assert call.body and call.body['name'] == 'PATCH_ACCEPTED', call


def set_faults(context, **faults):
    for node in context.mesh.nodes.values():
        for name, setting in faults.items():
            setattr(node.platform.faults, name, setting)


def disconnect_platform(context):
    set_faults(context, cut=True)
    context.mesh.clock.callLater(
        15, functools.partial(set_faults, context, cut=False)
    )


def slow_platform(context):
    set_faults(context, slow_s=3)


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
        case 'drops one request for':
            faults.lose_write = once.observe
        case 'drops every request for':
            faults.lose_write = always.observe
        case 'becomes unreachable for all at':
            once.action = functools.partial(disconnect_platform, context)
            faults.before_write = once.observe
        case 'answers after 3 s from':
            once.action = functools.partial(slow_platform, context)
            faults.before_write = once.observe
    send_patch(context, name, 1, patch_of(50), 'op-1')


@behave.when('no instance reaches the platform')
def when_no_platform(context):
    set_faults(context, cut=True)


@behave.when(
    '"{name}" gets stale reads of the first {count:d} states of the row'
)
def when_stale(context, name, count):
    history = context.mesh.rows.history[:count]
    faults = platform_faults(context, name)
    faults.stale_reads.extend(history)
    context.served_versions = []
    configuration = context.mesh.nodes[name].configuration
    configuration.on_change.append(
        lambda: context.served_versions.append(configuration.in_force.version)
    )


@behave.then('it never changed its version after that')
def then_never_changed(context):
    assert not context.served_versions, context.served_versions


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
    zone_addresses = context.mesh.addresses(zone)
    other_addresses = context.mesh.addresses('zone') - zone_addresses
    context.mesh.network.partition(zone_addresses, other_addresses)


@behave.when('everything is reachable again')
def when_reachable(context):
    context.mesh.network.heal()
    set_faults(context, cut=False)


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
    zone_addresses = context.mesh.addresses(zone)
    context.mesh.network.should_drop = memory_bus.MessageTrigger(
        kind=messages.Confirmed,
        addresses=zone_addresses,
        count=len(zone_addresses),
        action=functools.partial(cut_zone_after_votes, context, zone),
    ).observe
    send_patch(context, 'zone-0/0', 1, patch_of(50), 'op-1')


def cut_zone_after_votes(context, zone):
    """Cut a zone off after the votes in transit have arrived."""
    cut_platform(context, zone)
    zone_addresses = context.mesh.addresses(zone)
    other_addresses = context.mesh.addresses('zone') - zone_addresses
    partition = context.mesh.network.partition
    context.mesh.clock.callLater(
        0.01, partition, zone_addresses, other_addresses
    )


@behave.when('instance "{name}" is replaced without access to the platform')
def when_replaced_without_platform(context, name):
    context.mesh.kill(name)
    node = context.mesh.add(name)
    node.platform.faults.cut = True
    node.service.start()
    node.configuration.refresh()


@behave.when(
    'instance "{name}" is replaced without access to the platform or its peers'
)
def when_replaced_alone(context, name):
    context.mesh.kill(name)
    context.mesh.add(name)
    isolate(context, name)
    node = context.mesh.nodes[name]
    node.service.start()
    node.configuration.refresh()
