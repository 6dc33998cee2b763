"""Faults that the soak draws; each returns its description for the report."""

import functools
import signal
import subprocess
import time

from support import platform_requests, soak_checks

# SIGHUP ends a process whose interpreter has not yet run the program's code.
INTERPRETER_START_S = 0.3
# Time until a worker is back that a deadly task has crashed.
MIN_WORKER_RESTART_S = 1.5
MAX_WORKER_RESTART_S = 4


def kill(soak):
    """Kill a process; it is restarted later."""
    return end_process(soak, soak.choose_live_process(), signal.SIGKILL)


def kill_allocator(soak):
    """Kill the active allocator; it is restarted later."""
    return end_process(soak, active_allocator(soak), signal.SIGKILL)


def stop(soak):
    """Stop a process in the planned way; it is restarted later."""
    return end_process(soak, soak.choose_live_process(), signal.SIGTERM)


def active_allocator(soak):
    """Return the active allocator, or another process if it does not run."""
    live = soak.fleet.live_processes()
    allocator = soak.fleet.allocating_process()
    return allocator if allocator in live else live[0]


def end_process(soak, process, number):
    """Send a process a signal that ends it, and restart it later."""
    child = process.child
    if number == signal.SIGTERM:
        disruption = soak_checks.Disruption(
            kind='stop', subject=process.name, begun_s=time.monotonic()
        )
        soak.stops.append(disruption)
    else:
        disruption = soak.begin_disruption('kill', process.name)
    process.signal(number)
    soak.undo_later(disruption, functools.partial(restart, process, child))
    return process.name


def restart(process, child):
    """Wait up to the grace period for a child to end, then start a new one."""
    if process.child is not child:
        return
    try:
        child.wait(timeout=soak_checks.GRACE_S)
    except subprocess.TimeoutExpired:
        child.kill()
        child.wait()
    process.start()


def reload_settings(soak):
    """Signal a process to reload its settings."""
    process = soak.choose_live_process()
    age_s = time.monotonic() - process.started_s
    if age_s < INTERPRETER_START_S:
        return f'{process.name} skipped: still starting'
    process.signal(signal.SIGHUP)
    return process.name


def suspend(soak):
    """Suspend a process for a while."""
    return suspend_process(soak, soak.choose_live_process())


def suspend_allocator(soak):
    """Suspend the active allocator for a while."""
    return suspend_process(soak, active_allocator(soak))


def suspend_process(soak, process):
    """Suspend a process, and resume it later."""
    disruption = soak.begin_disruption('pause', process.name)
    process.signal(signal.SIGSTOP)
    soak.undo_later(disruption, lambda: process.signal(signal.SIGCONT))
    return process.name


def disrupt_store(soak):
    """Make the store unavailable, slow, drop responses or lose its feed."""
    faults = soak.random.choice(
        ({'away': True}, {'delay_s': 0.3}, {'loses': True}, {'forgets': True})
    )
    disruption = soak.begin_disruption('store')
    soak.fleet.control('/store', faults)
    soak.undo_later(disruption, lambda: soak.fleet.control('/store', {}))
    return faults


def disrupt_connections(soak):
    """Disrupt a process's connections to its peers, the store or clients."""
    process = soak.choose_live_process()
    name = soak.random.choice(('peers', 'store', 'front'))
    return disrupt_route(soak, process.routes[name], process.name, name)


def disrupt_worker_connections(soak):
    """Disrupt the connections to a worker."""
    name = f'w{soak.random.randrange(soak.size.workers)}'
    route = soak.fleet.worker_routes[name]
    return disrupt_route(soak, route, '', name)


def disrupt_route(soak, route, subject, name):
    """Delay, reset or stall the connections of a proxied route."""
    fault = soak.random.choice(
        (
            'delay',
            'reset',
            'stall open connections',
            'stall requests',
            'stall responses',
            'stall both directions',
        )
    )
    disruption = soak.begin_disruption('connection', subject)
    disruption.is_lasting = fault == 'stall open connections'
    match fault:
        case 'delay':
            route.set_faults(delay_s=soak.random.uniform(0.02, 0.4))
        case 'reset':
            route.reset()
        case 'stall open connections':
            route.stall_open_connections()
        case 'stall requests':
            route.set_faults(stalls_requests=True)
        case 'stall responses':
            route.set_faults(stalls_responses=True)
        case 'stall both directions':
            route.set_faults(stalls_requests=True, stalls_responses=True)
    soak.undo_later(disruption, route.set_faults)
    return f'{subject} {name} {fault}'


def disrupt_worker(soak):
    """Make a worker unresponsive, fail, hang, slow or crash."""
    faults = soak.random.choice(
        (
            {'silent': True},
            {'fails': True},
            {'hangs': True},
            {'pace': 4},
            {'life': 'restart'},
        )
    )
    name = f'w{soak.random.randrange(soak.size.workers)}'
    soak.fleet.control('/worker', {'id': name, **faults})
    soak.undo.append(lambda: soak.fleet.control('/worker', {'id': name}))
    return f'{name} {faults}'


def mark_deadly(soak):
    """Let a kind of job crash each worker that starts it, for a while."""
    deadly = {
        'digit': soak.random.choice('0123456789abcdef'),
        'restart_s': soak.random.uniform(
            MIN_WORKER_RESTART_S, MAX_WORKER_RESTART_S
        ),
    }
    soak.fleet.control('/deadly', deadly)
    soak.undo.append(lambda: soak.fleet.control('/deadly', {}))
    return deadly


def drain_worker(soak):
    """Drain a worker, and let it return later."""
    name = f'w{soak.random.randrange(soak.size.workers)}'
    soak.fleet.control('/worker', {'id': name, 'life': 'drain'})
    refill = {'id': name, 'life': 'refill'}
    soak.undo.append(lambda: soak.fleet.control('/worker', refill))
    return name


def change_configuration(soak):
    """Publish a new version of the configuration that adds a queue."""
    config = soak.fleet.config
    config['Version'] += soak.random.randint(1, 3)
    queue = f'c{config["Version"]}'
    route = platform_requests.route(1)
    config['Routes'].append(route | {'Name': queue, 'PathPrefix': f'/{queue}/'})
    soak.fleet.control('/config', config)
    soak.versions[queue] = time.monotonic()
    return queue


FAULTS = (
    kill,
    kill_allocator,
    stop,
    stop,
    reload_settings,
    suspend,
    suspend_allocator,
    disrupt_store,
    disrupt_connections,
    disrupt_connections,
    disrupt_worker_connections,
    disrupt_worker,
    drain_worker,
    change_configuration,
)
# In addition to the others, in runs with deadly tasks.
DEADLY_FAULTS = (mark_deadly, mark_deadly, mark_deadly, mark_deadly)
