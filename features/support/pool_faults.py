"""Random faults that come in series and overlap, in the simulated pool."""

import functools
import random

from guavaroad_standins import pool_cluster, pool_worker
from support import path_faults, pool_clients, pool_worlds

SETUP_S = 2
# Time without faults at the end, in seconds: all clients have their answer, and
# the orders that were carried out late have arrived.
SETTLE_S = 8
STOP_GRACE_S = 3
CLIENT_GRACE_S = 0.4
MAX_RESET_DELAY_S = 0.05
# Submissions of new jobs per second. The workers run about 25 jobs a second.
RATES_PER_S = (3, 8, 15, 50)
# Rates of groups of faults per second, and sizes of these groups.
FAULT_RATES_PER_S = (0.5, 1, 3)
FAULT_GROUPS = (1, 1, 2, 4)
# Capacities for no task, one and two of the tasks in the pool.
WORKER_CPU = (8000, 16_000, 32_000)
# Additional shares of faults in runs with many restarts and pauses.
MORE_CRASHES = 6
MORE_FREEZES = 4
MORE_HOLDS = 2
# Additional shares of faults in runs with cuts behind messages that wait.
MORE_CUTS = 20
MAX_CUT_DELAY_S = 0.1
WAIT_S = (0.2, 0.5)


def reset_link(world, link):
    """Reset one link; messages in transit may be lost."""
    other = link.other
    link.other = None
    if other is None:
        return
    other.other = None
    is_in_transit_lost = world.random.choice((True, False))
    for end in (link, other):
        delay_s = world.random.uniform(0, MAX_RESET_DELAY_S)
        if is_in_transit_lost:
            delay_s = 0
        end_of_link = world.instances[end.owner]
        world.clock.callLater(delay_s, end_of_link.process.execute, end.lost)


class PoolFaults:
    """Injects faults into a pool; each ends by itself.

    Attributes:
        kinds: Faults to choose from.
        is_over: Whether no more faults are injected.
        held: Instances that receive nothing for now.
        store_outages: Number of outages of the store that overlap.
        log: Time and description of each fault.
    """

    def __init__(self, *, world, traffic):
        self.world = world
        self.traffic = traffic
        self.random = world.random
        self.is_over = False
        self.log = []
        self.held = set()
        self.store_outages = 0
        self.kinds = (
            self.reset_one,
            self.reset_all,
            self.flap,
            self.hold,
            self.kill_allocator,
            self.kill_any,
            self.freeze_allocator,
            self.freeze_any,
            self.cut_zone,
            self.cut_instance,
            self.store_away,
            self.store_slow,
            self.late_orders,
            self.lossy_workers,
            self.crash_worker,
            self.refusing_workers,
            self.resize_workers,
            self.drain_worker,
            self.slow_worker,
            self.stop_instance,
        )

    def add_restarts_and_pauses(self):
        """Choose restarts of workers and pauses of instances more often."""
        self.kinds += (self.crash_worker,) * MORE_CRASHES
        self.kinds += (self.freeze_any,) * MORE_FREEZES
        self.kinds += (self.hold,) * MORE_HOLDS

    def add_cuts_behind_messages(self):
        """Choose cuts of the allocator's zone while messages to it wait."""
        self.kinds += (self.cut_behind_messages,) * MORE_CUTS

    def later(self, delay_s, action, *args):
        """Do something after a delay."""
        self.world.clock.callLater(delay_s, action, *args)

    def duration(self, least_s, most_s):
        """Return a random duration, in seconds."""
        return self.random.uniform(least_s, most_s)

    def running(self):
        """Return the names of the running instances."""
        world = self.world
        return [
            name for name in world.instances if name not in world.network.dead
        ]

    def allocator(self):
        """Return the name of an allocator, or of any instance."""
        found = [instance.name for instance in self.world.allocators()]
        return self.random.choice(found or self.running())

    def inject(self):
        """Inject a random fault."""
        if self.is_over or len(self.running()) < 2:
            return
        kind = self.random.choice(self.kinds)
        detail = kind()
        self.log.append((self.world.clock.seconds(), kind.__name__, detail))

    def links_of(self, name):
        """Return the open links of an instance."""
        return [
            link
            for link in self.world.network.links
            if link.owner == name and link.is_open and link.other is not None
        ]

    def reset_one(self, name=None):
        """Reset the links of an instance, or of the allocator."""
        name = name or self.random.choice([*self.running(), self.allocator()])
        for link in self.links_of(name):
            reset_link(self.world, link)
        return name

    def reset_all(self):
        """Reset every link."""
        for name in self.running():
            self.reset_one(name)

    def flap(self):
        """Reset the links of an instance again and again."""
        name = self.random.choice(self.running())
        end_s = self.world.clock.seconds() + self.duration(0.5, 6)
        self.flap_until(name, end_s)
        return name, end_s

    def flap_until(self, name, end_s):
        """Reset links shortly after they were opened."""
        if self.is_over or self.world.clock.seconds() > end_s:
            return
        self.reset_one(name)
        self.later(self.duration(0.01, 0.5), self.flap_until, name, end_s)

    def hold(self):
        """Hold back what arrives at an instance."""
        name = self.random.choice([*self.running(), self.allocator()])
        if name in self.held:
            return None
        self.held.add(name)
        self.world.network.hold(name)
        delay_s = self.duration(0.1, 3)
        self.later(delay_s, self.release, name)
        return name, delay_s

    def release(self, name):
        """Deliver what was held back."""
        self.held.discard(name)
        self.world.network.release(name)

    def freeze_allocator(self):
        """Freeze an allocator."""
        return self.freeze(self.allocator())

    def freeze_any(self):
        """Freeze any instance."""
        return self.freeze(self.random.choice(self.running()))

    def freeze(self, name):
        """Stop an instance from doing anything for some time."""
        if name in self.held:
            return None
        self.held.add(name)
        self.world.network.hold(name)
        instance = self.world.instances[name]
        instance.process.freeze()
        delay_s = self.duration(0.3, 3)
        is_network_first = self.random.choice((True, False))
        self.later(delay_s, self.resume, instance, is_network_first)
        return name, delay_s

    def resume(self, instance, is_network_first):
        """Let an instance continue."""
        if is_network_first:
            instance.process.is_frozen = False
            self.release(instance.name)
            instance.process.resume()
        else:
            instance.process.resume()
            self.release(instance.name)

    def kill_allocator(self):
        """Kill an allocator, and restart it under its name."""
        return self.kill(self.allocator())

    def kill_any(self):
        """Kill any instance, and restart it under its name."""
        return self.kill(self.random.choice(self.running()))

    def kill(self, name):
        """Kill an instance, and restart it under its name."""
        if name in self.world.network.dead or name in self.held:
            return None
        world = self.world
        world.kill(name)
        world.instances[name].process.kill()
        for link in world.network.links:
            if link.owner == name:
                link.is_open = False
        self.traffic.reset(name)
        delay_s = self.duration(0.1, 2)
        self.later(delay_s, self.restart, name)
        return name, delay_s

    def restart(self, name):
        """Start an instance under a previous name."""
        world = self.world
        world.network.dead.discard(name)
        zone = world.instances[name].zone
        world.instances[name] = pool_worlds.SimInstance(
            world=world, name=name, zone=zone
        )
        self.update_store()

    def stop_instance(self):
        """Stop an instance as planned, and restart it."""
        name = self.random.choice(self.running())
        instance = self.world.instances[name]
        if instance.node.stopping or name in self.held:
            return None
        deadline_s = self.world.clock.seconds() + STOP_GRACE_S
        instance.node.stop(exit_deadline_s=deadline_s - CLIENT_GRACE_S)
        self.later(STOP_GRACE_S - CLIENT_GRACE_S, self.finish_all, instance)
        self.later(STOP_GRACE_S, self.exit, instance)
        return name

    def finish_all(self, instance):
        """Answer the open jobs of an instance that stops."""
        instance.process.execute(
            functools.partial(
                instance.node.job_owner.finish_all, 'instance stops'
            )
        )

    def exit(self, instance):
        """End the process of an instance that has stopped."""
        if not instance.process.is_dead:
            self.kill(instance.name)

    def cut_zone(self):
        """Cut a zone off."""
        if self.world.cut_zone is not None:
            return None
        self.world.cut_zone = self.random.choice(self.world.zones)
        self.update_store()
        delay_s = self.duration(0.1, 4)
        self.later(delay_s, self.heal_zone)
        return self.world.cut_zone, delay_s

    def heal_zone(self):
        """Connect the zone again."""
        self.world.cut_zone = None
        self.update_store()

    def cut_behind_messages(self):
        """Cut an allocator's zone off while messages to it wait.

        The other side is told by resets, and orders are carried out late.
        """
        name = self.allocator()
        if self.world.cut_zone is not None or name in self.held:
            return None
        self.held.add(name)
        self.world.network.hold(name)
        delay_s = self.duration(*WAIT_S)
        self.later(delay_s, self.release, name)
        cut_s = self.duration(0, MAX_CUT_DELAY_S)
        self.later(cut_s, self.cut_and_reset, name)
        return name, cut_s, delay_s

    def cut_and_reset(self, name):
        """Cut the zone of an instance off; the other side sees resets."""
        world = self.world
        if world.cut_zone is not None:
            return
        world.cut_zone = world.zone_of(name)
        self.update_store()
        for worker in world.workers.values():
            if worker.worker_info.zone == world.cut_zone:
                delay_s = self.duration(1, 3)
                worker.faults.delay_orders_s = delay_s
                self.later(delay_s, setattr, worker.faults, 'delay_orders_s', 0)
        for link in self.links_of(name):
            if world.zone_of(link.other.owner) != world.cut_zone:
                instance = world.instances[link.other.owner]
                self.later(0, instance.process.execute, link.other.lost)
        self.later(self.duration(2, 4), self.heal_zone)

    def cut_instance(self):
        """Cut an instance off from the others."""
        name = self.random.choice([*self.running(), self.allocator()])
        self.world.cut_instances.add(name)
        delay_s = self.duration(0.1, 3)
        self.later(delay_s, self.world.cut_instances.discard, name)
        return name, delay_s

    def store_away(self):
        """Make the store unavailable."""
        self.store_outages += 1
        self.update_store()
        delay_s = self.duration(0.2, 4)
        self.later(delay_s, self.restore_store)
        return delay_s

    def restore_store(self):
        """Make the store available."""
        self.store_outages -= 1
        self.update_store()

    def update_store(self):
        """Apply the cuts and outages to the connections to the store."""
        world = self.world
        for instance in world.instances.values():
            instance.cluster.is_disconnected = (
                self.store_outages > 0 or instance.zone == world.cut_zone
            )

    def store_slow(self):
        """Make the store slow."""
        self.set_store_latency(self.duration(0.05, 0.6))
        delay_s = self.duration(0.2, 4)
        self.later(
            delay_s, self.set_store_latency, pool_cluster.STORE_LATENCY_S
        )
        return delay_s

    def set_store_latency(self, seconds):
        """Set the latency of the store."""
        for instance in self.world.instances.values():
            instance.cluster.latency_s = seconds

    def some_workers(self):
        """Return some workers."""
        workers = list(self.world.workers.values())
        return self.random.sample(workers, self.random.randint(1, 4))

    def set_fault(self, field, value):
        """Set a fault of some workers for some time."""
        workers = self.some_workers()
        normal = getattr(pool_worker.Faults(), field)
        delay_s = self.duration(0.3, 4)
        for faulty in workers:
            setattr(faulty.faults, field, value)
            self.later(delay_s, setattr, faulty.faults, field, normal)
        return [worker.worker_info.worker_id for worker in workers], delay_s

    def late_orders(self):
        """Carry out orders late and without an answer."""
        return self.set_fault('delay_orders_s', self.duration(0.1, 3))

    def lossy_workers(self):
        """Lose calls, or carry out orders seconds late."""
        return self.set_fault('unanswered_share', self.duration(0.1, 0.9))

    def slow_worker(self):
        """Slow workers down."""
        return self.set_fault('slowdown', self.duration(1.5, 8))

    def refusing_workers(self):
        """Refuse connections."""
        return self.set_fault('refuses', True)

    def resize_workers(self):
        """Change the capacity of some workers for some time."""
        workers = self.some_workers()
        delay_s = self.duration(0.3, 6)
        for resized in workers:
            self.resize(resized, self.random.choice(WORKER_CPU))
            self.later(delay_s, self.resize, resized, max(WORKER_CPU))
        return [worker.worker_info.worker_id for worker in workers], delay_s

    def resize(self, worker, cpu):
        """Change the capacity of a worker."""
        pool_worker.resize(worker, cpu)
        self.world.list_workers()

    def crash_worker(self):
        """Crash a worker, and restart it."""
        worker = self.some_workers()[0]
        worker.crash()
        worker.faults.refuses = self.random.choice((True, False))
        self.later(self.duration(0.05, 0.5), self.world.list_workers)
        self.later(self.duration(0.6, 3), self.restart_worker, worker)
        return worker.worker_info.worker_id

    def restart_worker(self, worker):
        """Start a worker again."""
        pool_worker.restart(worker)
        worker.faults.refuses = False
        self.set_draining(worker, is_draining=False)

    def drain_worker(self):
        """Drain a worker for some time."""
        worker = self.some_workers()[0]
        self.set_draining(worker, is_draining=True)
        self.later(
            self.duration(0.5, 3),
            functools.partial(self.set_draining, worker, is_draining=False),
        )
        return worker.worker_info.worker_id

    def set_draining(self, worker, *, is_draining):
        """List a worker as draining, or not."""
        changed = {
            field: getattr(worker.worker_info, field)
            for field in type(worker.worker_info).__slots__
        }
        changed['draining'] = is_draining
        worker.worker_info = type(worker.worker_info)(**changed)
        self.world.list_workers()


class FaultRun:
    """One run of a pool with random faults.

    Attributes:
        world: The pool.
        faults: The faults.
    """

    def __init__(
        self, *, seed, habits=None, instances=6, has_path_faults=False, **world
    ):
        self.random = random.Random(seed)
        self.world = pool_worlds.PoolWorld(
            zones=['a', 'b', 'c'],
            instances=instances,
            workers=12,
            seed=seed,
            **world,
        )
        self.traffic = pool_clients.Traffic(
            world=self.world, habits=habits or pool_clients.ClientHabits()
        )
        self.faults = PoolFaults(world=self.world, traffic=self.traffic)
        if has_path_faults:
            paths = path_faults.PathFaults(faults=self.faults)
            self.faults.kinds += paths.kinds

    def run(self, seconds):
        """Run with faults for some time, and then without."""
        self.world.run(SETUP_S)
        self.advance(0.5)
        per_s = self.random.choice(FAULT_RATES_PER_S)
        end_s = self.world.clock.seconds() + seconds
        while self.world.clock.seconds() < end_s:
            self.traffic.per_s = self.random.choice(RATES_PER_S)
            for _ in range(self.random.choice(FAULT_GROUPS)):
                self.faults.inject()
            self.advance(self.random.expovariate(per_s))
        self.faults.is_over = True
        self.traffic.per_s = 0
        self.advance(SETTLE_S)

    def advance(self, seconds):
        """Advance the clock and submit jobs."""
        for _ in range(int(seconds / pool_worlds.STEP_S) + 1):
            self.traffic.advance(pool_worlds.STEP_S)
            self.world.clock.advance(pool_worlds.STEP_S)

    def violations(self):
        """Return the violations of the guarantees, by kind."""
        promises = self.world.promises
        return {
            'invariant': [
                violation
                for violation in self.world.history.violations
                if 'reported as not run' not in violation
            ],
            'refused job started': promises.refused_starts(),
            'refused after a start': promises.false_answers(),
            'refused after an earlier attempt': promises.forgotten_starts(),
            'started after the last refusal': promises.late_starts(),
        }
