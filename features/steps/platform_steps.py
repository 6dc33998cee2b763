"""Steps about processes of the platform program."""

import os
import signal
import socket
import time

import behave

from guavaroad.adapters import steady_reactor
from support import platform_fleet, platform_requests

# More tasks than the workers run at once, so that starts are ordered all the
# time.
LOAD_PER_S = 40
LONG_WORK_MS = 600
# Time after which the allocator has given up the jobs of a frozen owner and the
# workers have confirmed the stops, in seconds.
GIVEN_UP_S = 0.62
# Time from the restart of the workers until the owner goes on, in seconds.
RESTARTED_S = 0.1
# Time for which late runs may be beside the next ones, in seconds.
SETTLED_S = 1.5


@behave.given(
    '{count:d} processes of the platform program and {workers:d} workers'
)
def given_fleet(context, count, workers):
    context.fleet = platform_fleet.PlatformFleet(
        instances=count, workers=workers
    )
    context.fleet.wait_ready()


@behave.given('{count:d} processes with small links and {workers:d} workers')
def given_small_links(context, count, workers):
    context.fleet = platform_fleet.PlatformFleet(
        instances=count,
        workers=workers,
        link_mbps=platform_fleet.SMALL_LINK_MBPS,
    )
    context.fleet.wait_ready()


@behave.then('no process calls the workers for itself')
def then_agents_call(context):
    fleet = context.fleet
    modes = [
        event
        for process in fleet.processes
        for event in process.log_events()
        if event['event'] == 'call_mode'
    ]
    assert not any(event['direct'] for event in modes), modes
    assert fleet.starts()


@behave.when(
    '{count:d} jobs of {tasks:d} tasks of {ms:d} ms are sent to the processes in turn'
)
def when_sent(context, count, tasks, ms):
    fleet = context.fleet
    for number in range(count):
        process = fleet.processes[number % len(fleet.processes)]
        fleet.submit(process, tasks=tasks, work_ms=ms).result()


@behave.then('every answer has status {allowed}')
def then_statuses(context, allowed):
    wait_for_answers(context.fleet)
    statuses = {int(text) for text in allowed.split(' or ')}
    unexpected = [
        answer
        for answer in context.fleet.answers
        if answer.status not in statuses
    ]
    assert context.fleet.answers
    assert not unexpected, unexpected[:5]


def wait_for_answers(fleet):
    ended_s = time.monotonic() + 15
    while len(fleet.answers) < fleet.submitted_count:
        assert time.monotonic() < ended_s, (
            len(fleet.answers),
            fleet.submitted_count,
        )
        time.sleep(0.05)


@behave.then('the workers report no violated guarantee')
def then_no_violation(context):
    wait_for_answers(context.fleet)
    violations = context.fleet.control('/state')['broken']
    assert not violations, violations[:5]


def signal_allocator(context, number):
    fleet = context.fleet
    fleet.load(1, 30, work_ms=50)
    context.target = fleet.allocating_process()
    context.target.signal(number)
    context.signalled_s = time.monotonic()
    context.others = [
        process for process in fleet.processes if process is not context.target
    ]
    if number == signal.SIGKILL:
        context.target.child.wait()


def measure_first_start_ms(context):
    """Send jobs to the other processes until a new start is seen.

    Returns:
        Milliseconds since the signal; infinity after 5 s.
    """
    fleet = context.fleet
    time.sleep(0.02)
    before = fleet.starts()
    while time.monotonic() - context.signalled_s < 5:
        process = context.others[fleet.submitted_count % len(context.others)]
        fleet.submit(process, work_ms=50)
        time.sleep(0.02)
        if fleet.starts() > before:
            return (time.monotonic() - context.signalled_s) * 1000
    return float('inf')


@behave.when('the allocating process is killed under load')
def when_killed(context):
    signal_allocator(context, signal.SIGKILL)


@behave.when('the allocating process is frozen under load')
def when_frozen(context):
    signal_allocator(context, signal.SIGSTOP)


@behave.when(
    'a process other than the allocating one is frozen under load for {seconds:g} s'
)
def when_other_frozen(context, seconds):
    fleet = context.fleet
    fleet.load(1, 30, work_ms=300)
    allocating = fleet.allocating_process()
    frozen = next(
        process for process in fleet.processes if process is not allocating
    )
    frozen.signal(signal.SIGSTOP)
    fleet.load(seconds, 30, work_ms=300)
    frozen.signal(signal.SIGCONT)
    fleet.load(1.5, 30, work_ms=300)


@behave.when(
    'the workers restart while starts wait in a frozen owner, {count:d} times'
)
def when_restarted_in_freeze(context, count):
    fleet = context.fleet
    allocating = fleet.allocating_process()
    owner = next(
        process for process in fleet.processes if process is not allocating
    )
    for _ in range(count):
        fleet.load(1, LOAD_PER_S, work_ms=LONG_WORK_MS, tasks=1, at=[owner])
        owner.signal(signal.SIGSTOP)
        time.sleep(GIVEN_UP_S)
        for name in fleet.control('/workers'):
            fleet.control('/worker', {'id': name, 'life': 'restart'})
        time.sleep(RESTARTED_S)
        owner.signal(signal.SIGCONT)
        time.sleep(SETTLED_S)


@behave.when('the frozen process is resumed')
def when_resumed(context):
    context.target.signal(signal.SIGCONT)
    context.fleet.load(1.5, 30, work_ms=50)


@behave.when(
    'the store is unreachable and the allocating process is killed under load'
)
def when_store_unreachable(context):
    context.fleet.load(1, 30, work_ms=50)
    context.fleet.control('/store', {'away': True})
    signal_allocator(context, signal.SIGKILL)


@behave.when('the allocating process gets SIGTERM under load')
def when_stopped(context):
    signal_allocator(context, signal.SIGTERM)
    fleet = context.fleet
    fleet.load(1.5, 30, work_ms=50)
    fleet.processes.remove(context.target)
    fleet.load(1, 30, work_ms=50)
    fleet.processes.append(context.target)


@behave.then('the process that got SIGTERM has ended with code 0')
def then_ended(context):
    assert context.target.child.wait(timeout=10) == 0


@behave.then('the workers received a start within {ms:d} ms')
def then_start(context, ms):
    taken_ms = measure_first_start_ms(context)
    assert taken_ms <= ms, taken_ms


@behave.then('exactly one process logs that it allocates')
def then_single_allocator(context):
    last_events = {}
    for process in context.fleet.processes:
        for entry in process.log_events():
            if entry['event'] in {'token_claimed', 'allocation_ended'}:
                last_events[process.name] = entry['event']
    allocating = [
        name for name, event in last_events.items() if event == 'token_claimed'
    ]
    assert len(allocating) == 1, last_events


@behave.when('{request} is sent')
def when_request(context, request):
    method, path, document = platform_requests.request(request)
    address = context.fleet.processes[0].front
    if document is object:
        context.status = raw_status(address, path)
    else:
        response = platform_fleet.send_request(
            address, method, path, document, platform_requests.headers()
        )
        context.status = response[0]


def raw_status(address, path):
    with socket.create_connection(address) as connection:
        head = f'POST {path} HTTP/1.1\r\nHost: jobs.example\r\n'
        connection.sendall(f'{head}Content-Length: 4\r\n\r\n{{no}}'.encode())
        return int(connection.recv(100).split()[1])


@behave.then('the answer has status {status:d}')
def then_status(context, status):
    assert context.status == status, context.status


@behave.then('a valid job is still served')
def then_valid_served(context):
    address = context.fleet.processes[0].front
    response = platform_fleet.send_request(
        address,
        'POST',
        '/q1/00000000000000aa',
        platform_requests.valid_job(),
        platform_requests.headers(),
    )
    assert response[0] == 200, response


@behave.when('version 2 of the configuration removes queue 0')
def when_changed(context):
    changed = platform_requests.config()
    changed['Version'] = 2
    changed['Routes'] = changed['Routes'][1:]
    context.fleet.control('/config', changed)
    context.changed_s = time.monotonic()


@behave.then(
    'within {seconds:g} s a job for queue 0 gets status 404 from every process'
)
def then_not_found(context, seconds):
    time.sleep(seconds)
    for process in context.fleet.processes:
        response = platform_fleet.send_request(
            process.front,
            'POST',
            '/q0/00000000000000ab',
            platform_requests.valid_job(),
            platform_requests.headers(),
        )
        assert response[0] == 404, response


@behave.when('the store has worker entries that are invalid')
def when_foreign_entries(context):
    fleet = context.fleet
    for document in ({}, [], {'Service': 7}, {'State': 'gone', 'Address': 'x'}):
        fleet.control('/entry', document)
    time.sleep(1)


@behave.when(
    'a process is killed, starts again and gets a reload signal within {ms:d} ms'
)
def when_reloaded_early(context, ms):
    context.target = context.fleet.processes[0]
    context.target.signal(signal.SIGKILL)
    context.target.child.wait()
    context.target.start()
    time.sleep(ms / 1000)
    context.target.signal(signal.SIGHUP)


@behave.then('it serves within {seconds:d} s')
def then_serves(context, seconds):
    context.fleet.wait_ready(limit_s=seconds)


@behave.then('the metrics of a process include counters and histograms')
def then_counted(context):
    process = context.fleet.processes[0]
    status, _, page = platform_fleet.send_request(
        (process.ip, platform_fleet.METRICS_PORT), 'GET', '/metrics'
    )
    assert status == 200, status
    text = page.decode()
    assert 'guavaroad_decisions_total' in text, text
    assert 'guavaroad_job_seconds_bucket' in text, text


@behave.when('a process starts while its metrics port is in use')
def when_port_taken(context):
    fleet = context.fleet
    ip = next(platform_fleet.ADDRESSES)
    listener = socket.create_server((ip, platform_fleet.METRICS_PORT))
    context.add_cleanup(listener.close)
    context.target = platform_fleet.Process(
        fleet=fleet, name='i9', zone='a', ip=ip
    )
    fleet.processes.append(context.target)


@behave.then('its log says "{event}"')
def then_logged(context, event):
    events = [entry['event'] for entry in context.target.log_events()]
    assert event in events, events


@behave.then(
    "the clock of the program's event loop is the time since the start of the machine"
)
def then_steady(context):
    context.reactor = steady_reactor.SteadyReactor()
    expected_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert abs(context.reactor.seconds() - expected_s) < 1


@behave.then('its timers run by that clock')
def then_timers(context):
    call = context.reactor.callLater(5, time.sleep, 0)
    left_s = call.getTime() - time.clock_gettime(time.CLOCK_BOOTTIME)
    call.cancel()
    assert 4 < left_s <= 5, left_s


@behave.then('the first log line of each process names a build and a machine')
def then_build(context):
    for process in context.fleet.processes:
        first = process.log_events()[0]
        assert first['event'] == 'started', first
        assert first['build'], first
        assert first['machine'] == os.uname().machine, first
