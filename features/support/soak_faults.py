"""Faults that the soak draws; each returns what was done, for the report."""

import functools
import signal
import subprocess
import time

from support import platform_requests, soak_checks

# Before the interpreter runs any code of the program, SIGHUP ends it.
INTERPRETER_S = 0.3


def kill(soak):
    """Kill a process; it starts again a moment later."""
    return end_process(soak, soak.any_alive(), signal.SIGKILL)


def kill_holder(soak):
    """Kill the allocator; it starts again a moment later."""
    return end_process(soak, holder_of(soak), signal.SIGKILL)


def stop(soak):
    """Ask a process to stop; it starts again when it has."""
    return end_process(soak, soak.any_alive(), signal.SIGTERM)


def holder_of(soak):
    """Return the allocator, or another process if it does not run."""
    alive = soak.alive()
    holder = soak.fleet.allocating_process()
    return holder if holder in alive else alive[0]


def end_process(soak, one, number):
    """Send a process a signal that ends it, and start it anew later."""
    child = one.child
    if number == signal.SIGTERM:
        noted = soak_checks.Disruption(
            kind='stop', subject=one.name, begun_s=time.monotonic()
        )
        soak.stops.append(noted)
    else:
        noted = soak.begin('kill', one.name)
    one.signal(number)
    soak.until_undone(noted, functools.partial(start_again, one, child))
    return one.name


def start_again(one, child):
    """Wait for the end of a life, as long as the platform does."""
    if one.child is not child:
        return
    try:
        child.wait(timeout=soak_checks.GRACE_S)
    except subprocess.TimeoutExpired:
        child.kill()
        child.wait()
    one.start()


def hang_up(soak):
    """Tell a process that its settings may have changed."""
    one = soak.any_alive()
    age_s = time.monotonic() - one.started_s
    if age_s < INTERPRETER_S:
        return f'{one.name} left alone'
    one.signal(signal.SIGHUP)
    return one.name


def pause(soak):
    """Pause a process for a while."""
    return pause_one(soak, soak.any_alive())


def pause_holder(soak):
    """Pause the allocator for a while."""
    return pause_one(soak, holder_of(soak))


def pause_one(soak, one):
    """Pause a process."""
    noted = soak.begin('pause', one.name)
    one.signal(signal.SIGSTOP)
    soak.until_undone(noted, lambda: one.signal(signal.SIGCONT))
    return one.name


def trouble_store(soak):
    """Take the store away, or let it be slow, lose answers or forget."""
    faults = soak.drawn.choice(
        ({'away': True}, {'delay_s': 0.3}, {'loses': True}, {'forgets': True})
    )
    noted = soak.begin('store')
    soak.fleet.control('/store', faults)
    soak.until_undone(noted, lambda: soak.fleet.control('/store', {}))
    return faults


def trouble_line(soak):
    """Trouble a process's lines to its peers, the store or its clients."""
    one = soak.any_alive()
    name = soak.drawn.choice(('peers', 'store', 'front'))
    return trouble_route(soak, one.routes[name], one.name, name)


def trouble_worker_line(soak):
    """Trouble the lines to a worker."""
    name = f'w{soak.drawn.randrange(soak.size.workers)}'
    route = soak.fleet.worker_routes[name]
    return trouble_route(soak, route, '', name)


def trouble_route(soak, route, subject, name):
    """Delay, reset, silence a proxied way, or cut it one way."""
    kind = soak.drawn.choice(
        ('delay', 'reset', 'silence', 'cut there', 'cut back', 'cut')
    )
    noted = soak.begin('cut', subject)
    match kind:
        case 'delay':
            route.change(delay_s=soak.drawn.uniform(0.02, 0.4))
        case 'reset':
            route.reset()
        case 'silence':
            route.silence()
        case 'cut there':
            route.change(stalls_requests=True)
        case 'cut back':
            route.change(stalls_answers=True)
        case 'cut':
            route.change(stalls_requests=True, stalls_answers=True)
    soak.until_undone(noted, route.change)
    return f'{subject} {name} {kind}'


def trouble_worker(soak):
    """Let a worker be silent, fail, stand still, be slow or crash."""
    faults = soak.drawn.choice(
        (
            {'silent': True},
            {'fails': True},
            {'hangs': True},
            {'pace': 4},
            {'life': 'restart'},
        )
    )
    name = f'w{soak.drawn.randrange(soak.size.workers)}'
    soak.fleet.control('/worker', {'id': name, **faults})
    soak.undo.append(lambda: soak.fleet.control('/worker', {'id': name}))
    return f'{name} {faults}'


def drain_worker(soak):
    """Let a worker leave, and come again."""
    name = f'w{soak.drawn.randrange(soak.size.workers)}'
    soak.fleet.control('/worker', {'id': name, 'life': 'drain'})
    back = {'id': name, 'life': 'refill'}
    soak.undo.append(lambda: soak.fleet.control('/worker', back))
    return name


def change_configuration(soak):
    """Add a queue by a new version of the configuration."""
    config = soak.fleet.config
    config['Version'] += soak.drawn.randint(1, 3)
    queue = f'c{config["Version"]}'
    route = platform_requests.route(1)
    config['Routes'].append(route | {'Name': queue, 'PathPrefix': f'/{queue}/'})
    soak.fleet.control('/config', config)
    soak.versions[queue] = time.monotonic()
    return queue


FAULTS = (
    kill,
    kill_holder,
    stop,
    stop,
    hang_up,
    pause,
    pause_holder,
    trouble_store,
    trouble_line,
    trouble_line,
    trouble_worker_line,
    trouble_worker,
    drain_worker,
    change_configuration,
)
