"""Injected violations, to show that the soak detects them.

Each is a function of a running soak, and a part of the violation that must
be reported.
"""

import functools
import signal
import time
import types

from support import soak_faults


def inject_duplicate_starts(soak):
    """Let workers forward their starts, so that each is executed twice."""
    for number in range(1, soak.size.workers):
        faults = {'id': f'w{number}', 'twin': 'w0'}
        soak.fleet.control('/worker', faults)


def inject_overstated_capacity(soak):
    """Let workers report four times the capacity that they have."""
    for number in range(soak.size.workers):
        faults = {'id': f'w{number}', 'life': 'overstate'}
        soak.fleet.control('/worker', faults)
    soak.load(1)
    soak.fleet.load(1, 60, tasks=8, work_ms=600)


def inject_false_not_run(soak):
    """Report executed jobs to clients as not run."""
    rewrite_responses(soak, b'HTTP/1.1 200', b'HTTP/1.1 503')


def inject_false_completions(soak):
    """Report failed jobs to clients as completed."""
    for number in range(soak.size.workers):
        soak.fleet.control('/worker', {'id': f'w{number}', 'fails': True})
    rewrite_responses(
        soak,
        b'18\r\n\r\n{"State":"failed"}',
        b'21\r\n\r\n{"State":"completed"}',
    )


def inject_undefined_state(soak):
    """Report a job state to clients that is not defined."""
    rewrite_responses(soak, b'"completed"', b'"completes"')


def inject_delayed_responses(soak):
    """Delay responses for longer than any client waits."""
    for process in soak.fleet.processes:
        process.routes['front'].set_faults(delay_s=2.5)
    soak.load(0.5)
    time.sleep(6)


def inject_queue_loss(soak):
    """Let a process answer 404 for a queue that it has served."""
    queue = soak_faults.change_configuration(soak)
    time.sleep(1)
    process = soak.fleet.processes[0]
    soak.fleet.submit(process, queue=queue).result()
    process.routes['front'].set_faults(
        rewrite=lambda data: data.replace(b'HTTP/1.1 200', b'HTTP/1.1 404')
    )
    time.sleep(0.5)
    soak.fleet.submit(process, queue=queue).result()


def inject_late_configuration(soak):
    """Record a configuration as acknowledged that is never published."""
    soak.versions['c9'] = time.monotonic()
    time.sleep(3)
    soak.fleet.submit(soak.fleet.processes[0], queue='c9').result()


def inject_unannounced_drain(soak):
    """Let workers leave without announcing it."""
    for number in range(soak.size.workers):
        faults = {'id': f'w{number}', 'life': 'drain unsaid'}
        soak.fleet.control('/worker', faults)
    soak.load(3)


def inject_requests_dropped_by_stop(soak):
    """Reset the client connections of a stopping process."""
    process = soak.fleet.processes[0]
    submissions = [soak.fleet.submit(process, work_ms=600) for _ in range(4)]
    time.sleep(0.3)
    soak_faults.end_process(soak, process, signal.SIGTERM)
    process.routes['front'].reset()
    for submission in submissions:
        submission.result()


def inject_undocumented_status(soak):
    """Let a process answer with a status that is not documented."""
    process = soak.fleet.processes[0]
    process.routes['front'].set_faults(
        rewrite=lambda data: data.replace(b'HTTP/1.1 200', b'HTTP/1.1 500')
    )


def inject_repeated_crashes(soak):
    """Let workers that a task has crashed start it again by themselves."""
    deadly = {'digit': 'a', 'restart_s': 0.01, 'repeats': True}
    soak.fleet.control('/deadly', deadly)
    soak.fleet.submit(soak.fleet.processes[0], job='a' * 16).result()
    soak.fleet.control('/deadly', {})


def inject_false_failures(soak):
    """Report completed jobs to clients as failed."""
    rewrite_responses(
        soak,
        b'21\r\n\r\n{"State":"completed"}',
        b'18\r\n\r\n{"State":"failed"}',
    )


def inject_forgotten_attempts(soak):
    """Report jobs as not run that had started before they were sent again."""
    soak.fleet.resends = 1
    submissions = [
        soak.fleet.submit(process, work_ms=600)
        for process in soak.fleet.processes
    ]
    time.sleep(0.3)
    for process in soak.fleet.processes:
        process.routes['front'].reset()
    rewrite_responses(soak, b'HTTP/1.1 200', b'HTTP/1.1 503')
    for submission in submissions:
        submission.result()


def rewrite_responses(soak, before, after):
    """Replace some bytes in the responses to all clients."""
    rewrite = functools.partial(replace_bytes, before, after)
    for process in soak.fleet.processes:
        process.routes['front'].set_faults(rewrite=rewrite)


def replace_bytes(before, after, data):
    """Return data with some of its bytes replaced."""
    return data.replace(before, after)


VIOLATIONS = types.MappingProxyType(
    {
        'a start executed twice': (inject_duplicate_starts, 'two runs of'),
        'workers that overstate their capacity': (
            inject_overstated_capacity,
            'over its',
        ),
        'executed jobs reported as not run': (
            inject_false_not_run,
            'was reported as not run',
        ),
        'failed jobs reported as completed': (
            inject_false_completions,
            'tasks done',
        ),
        'an undefined job state': (inject_undefined_state, 'got state'),
        'delayed responses': (inject_delayed_responses, 'waited'),
        'a queue that disappears': (inject_queue_loss, 'no longer serves'),
        'a configuration applied late': (
            inject_late_configuration,
            'did not serve',
        ),
        'workers that leave unannounced': (
            inject_unannounced_drain,
            'after it drained',
        ),
        'a stop that drops requests': (
            inject_requests_dropped_by_stop,
            'was dropped by the stop',
        ),
        'an undocumented status': (inject_undocumented_status, 'got status'),
        'a task started after each crash': (
            inject_repeated_crashes,
            'after it had crashed',
        ),
        'completed jobs reported as failed': (
            inject_false_failures,
            'failed without cause',
        ),
        'jobs reported as not run when sent again': (
            inject_forgotten_attempts,
            'attempt 2, ran but was reported as not run',
        ),
    }
)
