"""Steps about real processes of the users' program."""

import signal
import socket
import time

import behave

from support import platform_fleet, platform_requests


@behave.given(
    "{count:d} processes of the users' program and {workers:d} workers"
)
def given_fleet(context, count, workers):
    context.fleet = platform_fleet.PlatformFleet(
        instances=count, workers=workers
    )
    context.fleet.wait_ready()


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
    others = [
        one for one in context.fleet.answers if one.status not in statuses
    ]
    assert context.fleet.answers
    assert not others, others[:5]


def wait_for_answers(fleet):
    ended_s = time.monotonic() + 15
    while len(fleet.answers) < fleet.submitted_count:
        assert time.monotonic() < ended_s, (
            len(fleet.answers),
            fleet.submitted_count,
        )
        time.sleep(0.05)


@behave.then('the workers saw no broken promise')
def then_no_broken(context):
    wait_for_answers(context.fleet)
    assert not context.fleet.control('/state')['broken']


def strike(context, number):
    fleet = context.fleet
    fleet.load(1, 30, work_ms=50)
    context.struck = fleet.allocating_process()
    context.struck.signal(number)
    context.struck_s = time.monotonic()
    context.others = [
        one for one in fleet.processes if one is not context.struck
    ]
    if number == signal.SIGKILL:
        context.struck.child.wait()


def first_start_ms(context):
    """Send jobs to the others until a start is seen that came after."""
    fleet = context.fleet
    time.sleep(0.02)
    before = fleet.starts()
    while time.monotonic() - context.struck_s < 5:
        one = context.others[fleet.submitted_count % len(context.others)]
        fleet.submit(one, work_ms=50)
        time.sleep(0.02)
        if fleet.starts() > before:
            return (time.monotonic() - context.struck_s) * 1000
    return float('inf')


@behave.when('the allocating process is killed under load')
def when_killed(context):
    strike(context, signal.SIGKILL)


@behave.when('the allocating process is frozen under load')
def when_frozen(context):
    strike(context, signal.SIGSTOP)


@behave.when('the frozen process goes on')
def when_thawed(context):
    context.struck.signal(signal.SIGCONT)
    context.fleet.load(1.5, 30, work_ms=50)


@behave.when(
    'the store is away and the allocating process is killed under load'
)
def when_store_away(context):
    context.fleet.load(1, 30, work_ms=50)
    context.fleet.control('/store', {'away': True})
    strike(context, signal.SIGKILL)


@behave.when('the allocating process is told to stop under load')
def when_stopped(context):
    strike(context, signal.SIGTERM)
    fleet = context.fleet
    fleet.load(1.5, 30, work_ms=50)
    fleet.processes.remove(context.struck)
    fleet.load(1, 30, work_ms=50)
    fleet.processes.append(context.struck)


@behave.then('the stopped process has ended with code 0')
def then_ended(context):
    assert context.struck.child.wait(timeout=10) == 0


@behave.then('the workers saw a start within {ms:d} ms')
def then_start(context, ms):
    taken_ms = first_start_ms(context)
    assert taken_ms <= ms, taken_ms


@behave.then('exactly one process says that it allocates')
def then_one(context):
    said = {}
    for process in context.fleet.processes:
        for line in process.lines():
            if line['event'] in {'token_claimed', 'allocation_ended'}:
                said[process.name] = line['event']
    allocating = [
        name for name, event in said.items() if event == 'token_claimed'
    ]
    assert len(allocating) == 1, said


@behave.when('{request} is sent')
def when_request(context, request):
    method, path, document = platform_requests.request(request)
    address = context.fleet.processes[0].front
    if document is object:
        context.status = raw_status(address, path)
    else:
        found = platform_fleet.ask(
            address, method, path, document, platform_requests.headers()
        )
        context.status = found[0]


def raw_status(address, path):
    with socket.create_connection(address) as line:
        head = f'POST {path} HTTP/1.1\r\nHost: jobs.example\r\n'
        line.sendall(f'{head}Content-Length: 4\r\n\r\n{{no}}'.encode())
        return int(line.recv(100).split()[1])


@behave.then('the answer has status {status:d}')
def then_status(context, status):
    assert context.status == status, context.status


@behave.then('a good job is still served')
def then_good(context):
    address = context.fleet.processes[0].front
    found = platform_fleet.ask(
        address,
        'POST',
        '/q1/00000000000000aa',
        platform_requests.good_job(),
        platform_requests.headers(),
    )
    assert found[0] == 200, found


@behave.when('version 2 takes queue 0 away')
def when_changed(context):
    changed = platform_requests.config()
    changed['Version'] = 2
    changed['Routes'] = changed['Routes'][1:]
    context.fleet.control('/config', changed)
    context.changed_s = time.monotonic()


@behave.then(
    'within {seconds:g} s a job of queue 0 gets status 404 from every process'
)
def then_not_found(context, seconds):
    time.sleep(seconds)
    for process in context.fleet.processes:
        found = platform_fleet.ask(
            process.front,
            'POST',
            '/q0/00000000000000ab',
            platform_requests.good_job(),
            platform_requests.headers(),
        )
        assert found[0] == 404, found


@behave.when('the store lists entries of other writers')
def when_strange(context):
    fleet = context.fleet
    for document in ({}, [], {'Service': 7}, {'State': 'gone', 'Address': 'x'}):
        fleet.control('/entry', document)
    time.sleep(1)


@behave.when(
    'a process is killed, starts again and gets a reload signal within {ms:d} ms'
)
def when_reloaded_early(context, ms):
    context.struck = context.fleet.processes[0]
    context.struck.signal(signal.SIGKILL)
    context.struck.child.wait()
    context.struck.start()
    time.sleep(ms / 1000)
    context.struck.signal(signal.SIGHUP)


@behave.then('it serves within {seconds:d} s')
def then_serves(context, seconds):
    context.fleet.wait_ready(limit_s=seconds)


@behave.then('the metrics of a process count jobs and times')
def then_counted(context):
    one = context.fleet.processes[0]
    status, _, page = platform_fleet.ask(
        (one.ip, platform_fleet.METRICS_PORT), 'GET', '/metrics'
    )
    assert status == 200, status
    text = page.decode()
    assert 'guavaroad_decisions_total' in text, text
    assert 'guavaroad_job_seconds_bucket' in text, text


@behave.when('a process starts whose metrics port is taken')
def when_port_taken(context):
    fleet = context.fleet
    ip = next(platform_fleet.ADDRESSES)
    holder = socket.create_server((ip, platform_fleet.METRICS_PORT))
    context.add_cleanup(holder.close)
    context.struck = platform_fleet.Process(
        fleet=fleet, name='i9', zone='a', ip=ip
    )
    fleet.processes.append(context.struck)


@behave.then('its log says "{event}"')
def then_said(context, event):
    said = [line['event'] for line in context.struck.lines()]
    assert event in said, said
