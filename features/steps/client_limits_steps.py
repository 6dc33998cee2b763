"""Steps for crowds of clients outside the limits."""

import pathlib
import time

import behave

from support import crowds, platform_fleet, platform_requests

# Longer than a scenario: no client is closed for being idle.
IDLE_TIMEOUT_MS = 600_000
SETTLED_S = 1
KIB_PER_MB = 1000
POLL_S = 0.2


def memory_mb(process, field):
    """Return a size from the status of a process, in MB."""
    status = pathlib.Path(f'/proc/{process.child.pid}/status').read_text()
    line = next(
        line for line in status.splitlines() if line.startswith(f'{field}:')
    )
    return int(line.split()[1]) / KIB_PER_MB


def open_descriptors(process):
    """Return the number of open descriptors of a process."""
    folder = pathlib.Path(f'/proc/{process.child.pid}/fd')
    return len(list(folder.iterdir()))


@behave.given(
    'a process of the platform program with {mb:d} MB and {fds:d} descriptors'
)
def given_process(context, mb, fds):
    context.fleet = platform_fleet.PlatformFleet(
        instances=1, workers=2, limits=f'MemoryMb = {mb}\nMaxFds = {fds}'
    )
    changed = platform_requests.config()
    changed['Version'] += 1
    changed['Limits'] = {
        'MaxHeaderBytes': 16_384,
        'MaxBodyBytes': 262_144,
        'IdleTimeoutMs': IDLE_TIMEOUT_MS,
    }
    context.fleet.control('/config', changed)
    context.fleet.wait_ready()
    context.process = context.fleet.processes[0]
    time.sleep(SETTLED_S)
    context.first_mb = memory_mb(context.process, 'VmRSS')


@behave.when('{count:d} clients send {message}')
def when_crowd(context, count, message):
    process = context.process
    crowd = crowds.Crowd(process.front, count=count, message=message)
    context.add_cleanup(crowd.close)
    crowd.send(lambda: process.child.poll() is not None)


@behave.then('the process has kept running')
def then_running(context):
    assert context.process.child.poll() is None, context.process.child.poll()


@behave.then('its memory has grown by at most {limit:d} MB')
def then_memory(context, limit):
    grown_mb = memory_mb(context.process, 'VmHWM') - context.first_mb
    assert grown_mb <= limit, f'{grown_mb:.1f} MB over {context.first_mb:.1f}'


@behave.then('it has at most {limit:d} open descriptors')
def then_descriptors(context, limit):
    count = open_descriptors(context.process)
    assert count <= limit, f'{count} descriptors'


@behave.then('within {seconds:d} s it has at most {limit:d} open descriptors')
def then_disconnected(context, seconds, limit):
    ended_s = time.monotonic() + seconds
    while open_descriptors(context.process) > limit:
        count = open_descriptors(context.process)
        assert time.monotonic() < ended_s, f'{count} descriptors'
        time.sleep(POLL_S)


@behave.then('an ordinary request is answered')
def then_answered(context):
    status = platform_fleet.send_request(
        context.process.front,
        'POST',
        '/q1/00000000000000aa',
        platform_requests.valid_job(),
        platform_requests.headers(),
    )[0]
    assert status == 200, status
