"""Broken promises that are planted, to show that the soak finds them.

Each is a function of a running soak, and a part of what must then be found.
"""

import functools
import signal
import time
import types

from support import soak_faults


def plant_twin(soak):
    """Let a worker's starts be carried out at another one as well."""
    for number in range(1, soak.size.workers):
        faults = {'id': f'w{number}', 'twin': 'w0'}
        soak.fleet.control('/worker', faults)


def plant_overstated(soak):
    """Let workers claim four times the room that they have."""
    for number in range(soak.size.workers):
        faults = {'id': f'w{number}', 'life': 'overstate'}
        soak.fleet.control('/worker', faults)
    soak.load(1)
    soak.fleet.load(1, 60, tasks=8, work_ms=600)


def plant_false_refusals(soak):
    """Tell clients that jobs were not run that were."""
    rewrite_answers(soak, b'HTTP/1.1 200', b'HTTP/1.1 503')


def plant_false_completions(soak):
    """Tell clients of failed jobs that they are complete."""
    for number in range(soak.size.workers):
        soak.fleet.control('/worker', {'id': f'w{number}', 'fails': True})
    rewrite_answers(
        soak,
        b'18\r\n\r\n{"State":"failed"}',
        b'21\r\n\r\n{"State":"completed"}',
    )


def plant_strange_states(soak):
    """Tell clients a state that no job has."""
    rewrite_answers(soak, b'"completed"', b'"completes"')


def plant_held_answers(soak):
    """Hold answers for longer than any client waits."""
    for one in soak.fleet.processes:
        one.routes['front'].change(delay_s=2.5)
    soak.load(0.5)
    time.sleep(6)


def plant_forgotten_queue(soak):
    """Let a process forget a queue that it knew."""
    queue = soak_faults.change_configuration(soak)
    time.sleep(1)
    one = soak.fleet.processes[0]
    soak.fleet.submit(one, queue=queue).result()
    one.routes['front'].change(
        rewrite=lambda data: data.replace(b'HTTP/1.1 200', b'HTTP/1.1 404')
    )
    time.sleep(0.5)
    soak.fleet.submit(one, queue=queue).result()


def plant_late_queue(soak):
    """Let the store keep a new version of the configuration to itself."""
    soak.versions['c9'] = time.monotonic()
    time.sleep(3)
    soak.fleet.submit(soak.fleet.processes[0], queue='c9').result()


def plant_untold_drain(soak):
    """Let workers leave without a word."""
    for number in range(soak.size.workers):
        faults = {'id': f'w{number}', 'life': 'drain unsaid'}
        soak.fleet.control('/worker', faults)
    soak.load(3)


def plant_cut_by_stop(soak):
    """Let a stopping process break connections off."""
    one = soak.fleet.processes[0]
    answers = [soak.fleet.submit(one, work_ms=600) for _ in range(4)]
    time.sleep(0.3)
    soak_faults.end_process(soak, one, signal.SIGTERM)
    one.routes['front'].reset()
    for answer in answers:
        answer.result()


def plant_unknown_status(soak):
    """Let a process answer with a status that no page names."""
    one = soak.fleet.processes[0]
    one.routes['front'].change(
        rewrite=lambda data: data.replace(b'HTTP/1.1 200', b'HTTP/1.1 500')
    )


def rewrite_answers(soak, before, after):
    """Change what clients are told."""
    rewrite = functools.partial(replaced, before, after)
    for one in soak.fleet.processes:
        one.routes['front'].change(rewrite=rewrite)


def replaced(before, after, data):
    """Return an answer with some of its bytes changed."""
    return data.replace(before, after)


PLANTS = types.MappingProxyType(
    {
        'a start carried out twice': (plant_twin, 'two runs of'),
        'workers that overstate their room': (plant_overstated, 'over its'),
        'false refusals': (plant_false_refusals, 'said not to'),
        'false completions': (plant_false_completions, 'tasks done'),
        'strange states': (plant_strange_states, 'was told'),
        'held answers': (plant_held_answers, 'waited'),
        'a forgotten queue': (plant_forgotten_queue, 'has forgotten'),
        'a configuration that comes late': (plant_late_queue, 'did not know'),
        'workers that leave unsaid': (plant_untold_drain, 'after it drained'),
        'a stop that cuts': (plant_cut_by_stop, 'was cut by the stop'),
        'a status that no page names': (plant_unknown_status, 'got status'),
    }
)
