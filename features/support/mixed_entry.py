"""Checks of the product's own interface with instances of two builds."""

from guavaroad_standins import fleet
from support import mixed_fleet

ECHOES = (0, 1, 2)


def check_side_by_side(builds):
    """Run instances of both builds in one system; yield what was done."""
    assigned = (
        mixed_fleet.THIS_BUILD,
        mixed_fleet.OTHER_BUILD,
        mixed_fleet.OTHER_BUILD,
        mixed_fleet.THIS_BUILD,
    )
    with mixed_fleet.MixedFleet(builds=builds, assigned=assigned) as system:
        system.start()
        system.wait_members()
        for version, instance in enumerate(system.instances):
            mixed_fleet.patch(instance, version, max_tasks=50 + version)
            system.wait_version(version + 1)
        answers = submit_everywhere(system)
        for owner in system.instances[:2]:
            kill_queued_owner(system, owner, answers)
            kill_started_owner(system, owner)
            yield f'owner of {system.assigned[owner.name]} killed'
        system.wait_slots()
        system.check_started_once()


def submit_everywhere(system):
    """Submit at each instance; check the answer of every other one.

    Args:
        system: The running fleet.

    Returns:
        The answers by submission id.
    """
    answers = {}
    for instance in system.instances:
        submission_id = mixed_fleet.mint(instance)
        answer = mixed_fleet.submit(instance, submission_id)
        check_complete(answer)
        answers[submission_id] = answer['answers']
    for instance in system.instances:
        check_answers(instance, answers)
    return answers


def check_complete(answer):
    """Check that an answer has the result of each task in order."""
    assert answer['name'] == 'COMPLETE', answer
    echoes = tuple(result['echo'] for result in answer['answers'])
    assert echoes == ECHOES, answer


def check_answers(instance, answers):
    """Check that an instance repeats earlier answers."""
    for submission_id, expected in answers.items():
        answer = mixed_fleet.wait_answer(instance, submission_id, 'COMPLETE')
        assert answer['answers'] == expected, (answer, expected)


def kill_queued_owner(system, owner, answers):
    """Kill an owner whose submission is queued; another one finishes it."""
    unused = mixed_fleet.mint(owner)
    system.wait_written()
    fleet.set_faults(system.platform_address, hold='request', hold_skip=1)
    queued = mixed_fleet.submit_in_background(owner)
    mixed_fleet.wait_held([system.platform_address], 1)
    owner.process.kill()
    for instance in others_of(system, owner):
        check_answers(instance, answers)
        check_complete(mixed_fleet.wait_answer(instance, queued, 'COMPLETE'))
        mixed_fleet.wait_answer(instance, unused, 'NOT_HANDED_OVER')
    fleet.set_faults(system.platform_address)
    system.restart(owner)


def kill_started_owner(system, owner):
    """Kill an owner whose tasks have started; the outcome is unknown."""
    upstreams = [upstream.address for upstream in system.upstreams]
    for address in upstreams:
        fleet.set_faults(address, hold='answer')
    started = mixed_fleet.submit_in_background(owner)
    mixed_fleet.wait_held(upstreams, len(ECHOES))
    owner.process.kill()
    for address in upstreams:
        fleet.set_faults(address)
    for instance in others_of(system, owner):
        mixed_fleet.wait_answer(instance, started, 'IN_DOUBT')
    system.restart(owner)


def others_of(system, owner):
    """Return all instances but one."""
    return [instance for instance in system.instances if instance is not owner]


def check_stored_data(builds):
    """Let each build read the data of the other one; yield what was done."""
    for first, second in (
        (mixed_fleet.OTHER_BUILD, mixed_fleet.THIS_BUILD),
        (mixed_fleet.THIS_BUILD, mixed_fleet.OTHER_BUILD),
    ):
        with mixed_fleet.MixedFleet(builds=builds, assigned=(first,)) as system:
            read_data(system, second)
        yield f'data of {first} read by {second}'


def read_data(system, second):
    """Write data with one build and read it with a second one.

    Settings, configuration, submissions and minted ids are kept; the processes
    of the first build end by a planned stop.
    """
    system.start()
    mixed_fleet.patch(system.instances[0], 0, max_tasks=33)
    system.wait_version(1)
    configuration = mixed_fleet.configuration_of(system.instances[0])
    answers = submit_everywhere(system)
    unused = mixed_fleet.mint(system.instances[0])
    system.wait_written()
    stop_all(system)
    system.assigned = dict.fromkeys(system.assigned, second)
    for instance in system.instances:
        system.start_instance(instance)
    for instance in system.instances:
        system.wait_ready(instance)
    system.wait_version(1)
    for instance in system.instances:
        assert mixed_fleet.configuration_of(instance) == configuration
        check_answers(instance, answers)
        mixed_fleet.wait_answer(instance, unused, 'OWNER_GONE')
    system.check_started_once()


def stop_all(system):
    """Stop every instance by SIGTERM."""
    for instance in system.instances:
        instance.process.terminate()
    for instance in system.instances:
        code = instance.process.wait(mixed_fleet.CONVERGE_TIMEOUT_S)
        assert code == 0, (instance.name, code)
