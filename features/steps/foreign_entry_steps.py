"""Steps for entries that other writers leave in the platform's store."""

import json
import signal
import time
import types

import behave

from guavaroad.ports import pool
from guavaroad_platform import codec
from support import platform_fleet, platform_requests

SERVED = 200
ADDED = 'w90'
LOAD_PER_S = 30
WORK_MS = 100
# Time for a change in the store to be read, in seconds.
READ_S = 1.5
ENTRY = types.MappingProxyType(
    {
        'Service': 'pool',
        'Address': '127.0.0.1:9',
        'Zone': 'a',
        'State': 'ready',
        'Capacity': {'Cpu': 32_000, 'MemMb': 1000},
        'Labels': ['a'],
        'born': 7,
    }
)


def nested(depth):
    """Return arrays nested in each other, as text."""
    return '[' * depth + ']' * depth


# Text of one field of an entry, by its oddity.
ODD_FIELDS = types.MappingProxyType(
    {
        'nesting 5000 deep in a field without a use': ('Version', nested(5000)),
        'nesting 5000 deep in its capacity': ('Capacity', nested(5000)),
        'a start time of 30 digits': ('born', '9' * 30),
        'a start time of 5000 digits': ('born', '9' * 5000),
        'a capacity of 30 digits': ('Capacity', '{"Cpu":%s}' % ('9' * 30)),
        'a capacity of 1e400': ('Capacity', '{"Cpu":1e400}'),
        'the port 99999': ('Address', '"127.0.0.1:99999"'),
        'the port 8_0': ('Address', '"127.0.0.1:8_0"'),
        'a port of 5000 digits': ('Address', '"127.0.0.1:%s"' % ('9' * 5000)),
        'a line break after its port': (
            'Address',
            json.dumps('127.0.0.1:80\n'),
        ),
    }
)


def entry_text(oddity):
    """Return the text of an entry of a worker with an oddity."""
    if oddity == 'nesting 5000 deep in place of an object':
        return nested(5000)
    field, text = ODD_FIELDS[oddity]
    return json.dumps(dict(ENTRY) | {field: '?'}).replace('"?"', text)


@behave.when('another writer adds an entry with {oddity}')
def when_added(context, oddity):
    fleet = context.fleet
    row = {'table': 'servers', 'key': 'other', 'text': entry_text(oddity)}
    fleet.control('/row', row)
    time.sleep(READ_S)


@behave.when('a worker begins to drain, and another one is added')
def when_drained(context):
    fleet = context.fleet
    context.drained = min(fleet.control('/workers'))
    fleet.control('/worker', {'id': context.drained, 'life': 'drain'})
    fleet.control('/added-worker', {'number': int(ADDED[1:]), 'zone': 'a'})


@behave.when('{seconds:g} s pass under load')
def when_loaded(context, seconds):
    context.fleet.load(seconds, LOAD_PER_S, work_ms=WORK_MS)


@behave.then('no run has started on the draining worker after its limit')
def then_drained(context):
    late = context.fleet.control('/state')['late_starts']
    assert not late, (len(late), late[:3])


@behave.then('runs have started on the added worker')
def then_used(context):
    starts = context.fleet.control('/state')['starts']
    assert any(worker == ADDED for _, _, worker in starts), len(starts)


@behave.then('every process has run without an error')
def then_no_error(context):
    for process in context.fleet.processes:
        assert process.child.poll() is None, process.name
        errors = [
            line
            for line in process.log_events()
            if line.get('level') in {'ERROR', 'CRITICAL'}
        ]
        assert not errors, errors[:2]
        assert 'Traceback' not in process.log.read_text(), process.name


@behave.when('all processes are killed and start again')
def when_restarted(context):
    fleet = context.fleet
    for process in fleet.processes:
        process.signal(signal.SIGKILL)
        process.child.wait()
    for process in fleet.processes:
        process.start()
    fleet.wait_ready()


@behave.then('a job is served within {seconds:d} s')
def then_served_within(context, seconds):
    fleet = context.fleet
    ended_s = time.monotonic() + seconds
    while fleet.submit(fleet.processes[0]).result() != SERVED:
        assert time.monotonic() < ended_s
        time.sleep(0.1)


@behave.then('entries with ids that do not fit a header are ignored')
def then_ids_ignored(_):
    body = json.dumps(dict(ENTRY)).encode()
    ids = ('w\r\nX: y', 'w\x00', 'w\u00e9', 'w\u2028', 'w1')
    rows = pool.WorkerRows(rows=tuple((key, body) for key in ids))
    listed = codec.Codec().worker_infos(rows)
    assert [entry.worker_id for entry in listed] == ['w1'], listed


@behave.when('a job with nesting {depth:d} deep is received')
def when_job(context, depth):
    text = json.dumps(platform_requests.valid_job(Nested='?'))
    process = context.fleet.processes[0]
    status, _, _ = platform_fleet.send_request(
        process.front,
        'POST',
        '/q1/00000000000000ab',
        text.replace('"?"', nested(depth)).encode(),
        platform_requests.headers(),
    )
    assert status == 400, status


@behave.when(
    'a version of configuration with nesting {depth:d} deep is received'
)
def when_configuration(context, depth):
    text = json.dumps(context.fleet.config | {'Version': 2, 'Nested': '?'})
    text = text.replace('"?"', nested(depth))
    row = {'table': 'op', 'key': 'config', 'text': text}
    context.fleet.control('/row', row)
    time.sleep(READ_S)


@behave.when('an instance with nesting {depth:d} deep is received')
def when_instance(context, depth):
    row = {
        'table': 'guavaroad',
        'part': 'instances',
        'key': 'other',
        'text': nested(depth),
    }
    context.fleet.control('/row', row)
    time.sleep(READ_S)


@behave.then('version {version:d} of the configuration is followed')
def then_followed(context, version):
    fleet = context.fleet
    fleet.control('/config', fleet.config | {'Version': version})
    time.sleep(READ_S)
    for process in fleet.processes:
        versions = [
            line['version']
            for line in process.log_events()
            if line['event'] == 'configuration_in_force'
        ]
        assert versions[-1] == version, (process.name, versions)
