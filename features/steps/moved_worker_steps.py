"""Steps of workers that come back at other addresses."""

import dataclasses

import behave
from twisted.internet import task

from guavaroad.adapters import reactor_timers
from guavaroad.domain.pool import actions, agent_messages, allocator, values
from guavaroad.services.pool import worker_agent, worker_connections
from guavaroad_standins import pool_worker

FROZEN_S = 2
TURN_S = 0.3
LATE_S = 0.05
WORKER = values.WorkerId('w')


def relocate(pool, addresses):
    """Restart workers at other addresses, by worker id."""
    for worker_id, address in addresses.items():
        worker = pool.workers[worker_id]
        pool_worker.restart(worker)
        worker.worker_info = dataclasses.replace(
            worker.worker_info, address=address
        )
    pool.list_workers()


def addresses_of(pool):
    return {
        worker_id: worker.worker_info.address
        for worker_id, worker in pool.workers.items()
    }


def other_addresses(pool):
    return {
        worker_id: address.replace(':80', ':81')
        for worker_id, address in addresses_of(pool).items()
    }


@behave.when('every worker restarts at another address')
def when_moved(context):
    context.before = context.pool.store.worker_infos
    relocate(context.pool, other_addresses(context.pool))


@behave.when('every worker restarts at the address of the next one')
def when_swapped(context):
    addresses = addresses_of(context.pool)
    values_in_turn = list(addresses.values())
    turned = values_in_turn[1:] + values_in_turn[:1]
    relocate(context.pool, dict(zip(addresses, turned, strict=True)))


@behave.when('every worker restarts at another address and then comes back')
def when_came_back(context):
    former = addresses_of(context.pool)
    when_moved(context)
    context.pool.run(3)
    relocate(context.pool, former)


@behave.when('the allocator dies as every worker moves, unread by it')
def when_dies(context):
    pool = context.pool
    pool.allocator().cluster.is_disconnected = True
    pool.run(0.5)
    when_moved(context)
    pool.run(0.1)
    pool.kill(pool.allocator().name)
    pool.run(1)


@behave.when('the allocator is replaced while frozen as every worker moves')
def when_frozen(context):
    pool = context.pool
    process = pool.allocator().process
    process.freeze()
    when_moved(context)
    pool.run(FROZEN_S)
    process.resume()


@behave.when(
    'the workers move in turn under a load of {rate:d} jobs per second'
)
def when_turns(context, rate):
    pool = context.pool
    for worker_id, address in other_addresses(pool).items():
        pool.load(TURN_S, rate, tasks=2, work_ms=100)
        relocate(pool, {worker_id: address})


@behave.when('the rows of the processes before are listed again')
def when_late_rows(context):
    context.pool.store.worker_infos = context.before
    context.pool.run(1)


@behave.then('every worker is called at its address within {seconds:g} s')
def then_called(context, seconds):
    pool = context.pool
    pool.run(seconds)
    tracked = pool.allocator().node.active_allocator.machine.state.workers
    lost = [
        worker_id
        for worker_id, worker in pool.workers.items()
        if not tracked[worker_id].is_synced
        or tracked[worker_id].worker_info.address != worker.worker_info.address
    ]
    assert not lost, lost


class RecordingWorkers:
    """Records the address of each poll."""

    def __init__(self):
        self.addresses = {}
        self.polled = []

    def open(self, worker_id, address):
        """Record an address."""
        self.addresses[worker_id] = address

    def close(self, worker_id):
        """Forget an address."""
        self.addresses.pop(worker_id)

    def poll_status(self, worker_id, poll, _):
        """Record a poll."""
        self.polled.append((poll.token, self.addresses[worker_id]))


@behave.given(
    'two allocators with one agent, to whom a worker has different addresses'
)
def given_two(context):
    context.workers = RecordingWorkers()
    timers = reactor_timers.ReactorTimers(clock=task.Clock())
    agent = worker_agent.WorkerAgent(
        connections=worker_connections.WorkerConnections(
            workers=context.workers, timer_service=timers
        ),
        timer_service=timers,
    )
    context.sessions = [
        agent.open_session(values.Token(token), None) for token in (1, 2)
    ]
    for session in reversed(context.sessions):
        session.receive(
            agent_messages.AssignWorker(
                number=1, worker_id=WORKER, address=f'host:{session.token}'
            )
        )


@behave.when('each of them polls the worker through the agent in turn')
def when_polled(context):
    for session in (*context.sessions, *context.sessions):
        session.receive(
            agent_messages.PollWorker(
                call=1, number=1, last_end_position=0, until_ms=None, wait_ms=0
            )
        )


@behave.then('each poll went to the address that its allocator has read')
def then_right(context):
    expected = [(token, f'host:{token}') for token in (1, 2, 1, 2)]
    assert context.workers.polled == expected, context.workers.polled


@behave.given('an allocator that has read a worker without a start time')
def given_unknown(context):
    context.machine = allocator.Allocator(token=values.Token(2), now_s=0)
    context.listed = dataclasses.replace(
        pool_worker.worker_info_of(1, zone='a'), started_ms=0
    )
    context.machine.update_workers([context.listed], 0)
    context.machine.pop_actions()


@behave.when('the address of that worker changes in the list')
def when_listed_elsewhere(context):
    context.listed = dataclasses.replace(context.listed, address='host:81')
    context.machine.update_workers([context.listed], 1)


@behave.then('its calls move to the other address')
def then_moved(context):
    worker_id = context.listed.worker_id
    moved = actions.WorkerMoved(worker_id=worker_id)
    assert moved in context.machine.pop_actions()
    tracked = context.machine.state.workers[worker_id]
    assert tracked.worker_info.address == context.listed.address
