"""Instances of the worker pool on a fake clock, with simulated workers."""

import collections
import random

from twisted.internet import task

from guavaroad.adapters import reactor_timers
from guavaroad.domain import names
from guavaroad.domain.pool import (
    constraints,
    open_jobs,
    peer_messages,
    routing,
    values,
)
from guavaroad.services.pool import decision_log, dependencies, pool_instance
from guavaroad_standins import pool_cluster, pool_worker

STEP_S = 0.005
TASK_CPU = 14_000
# What clients of the users' sites wait: three objectives and 1.5 s.
PATIENCE_MS = 1500
PATIENCE_OBJECTIVES = 3


class Lines:
    """Keeps the log lines and counts of one instance."""

    def __init__(self):
        self.lines = []
        self.counts = collections.Counter()

    def write(self, event, fields):
        """Keep a line."""
        self.lines.append((event, fields))

    def record_event(self, event, _):
        """Count an event."""
        self.counts[event] += 1

    def record_job(self, outcome, reason, _):
        """Count an answered job."""
        self.counts[outcome, reason] += 1


class Codec:
    """Reads the memory store's texts."""

    def __init__(self, store):
        self.store = store

    def facts(self, rows):
        """Return the workers of a list."""
        listed = {key for key, _ in rows.rows}
        return tuple(one for one in self.store.facts if one.worker_id in listed)

    def configuration(self, body):
        """Return the configuration whose version the text is."""
        return routing.Configuration(
            version=names.Version(int(body)),
            routes=(),
            limits=routing.Limits(),
        )


class Entry:
    """One instance and what is around it."""

    def __init__(self, *, world, name, zone):
        self.name = name
        self.zone = zone
        self.world = world
        self.clock = task.Clock()
        self.clock.rightNow = world.clock.seconds()
        self.lines = Lines()
        self.is_frozen = False
        self.cluster = pool_cluster.MemoryCluster(
            clock=world.clock, store=world.store
        )
        self.workers = pool_worker.SimWorkers(
            clock=world.clock,
            workers=world.workers,
            reaches=lambda one: world.reaches(self, one),
        )
        timer_service = reactor_timers.ReactorTimers(clock=world.clock)
        self.node = pool_instance.PoolInstance(
            local_instance=peer_messages.Instance(
                name=values.InstanceName(name),
                address=name,
                zone=names.AvailabilityZone(zone),
            ),
            deps=dependencies.Dependencies(
                workers=self.workers,
                cluster=self.cluster,
                codec=Codec(world.store),
                dialler=pool_cluster.MemoryDialler(
                    network=world.network, owner=name
                ),
                timers=timer_service,
                decision_log=decision_log.DecisionLog(
                    writer=self.lines,
                    counters=self.lines,
                    timer_service=timer_service,
                ),
            ),
            on_configuration=lambda _: None,
        )
        world.network.listeners[name] = (
            name,
            self.node.allocator_follower.accept,
        )
        self.node.start()


def patience_of(work_ms):
    """Return how long the client of a job waits, in milliseconds."""
    objective_ms = 1.6 * work_ms + 60
    return int(PATIENCE_MS + PATIENCE_OBJECTIVES * objective_ms)


def chain_of(steps):
    """Return steps of which each waits for the one before."""
    return tuple((step - 1,) if step else () for step in range(steps))


class PoolWorld:
    """Several instances, workers, a store and a network on one clock."""

    def __init__(self, *, zones, instances, workers, seed=1):
        self.clock = task.Clock()
        self.random = random.Random(seed)
        self.store = pool_cluster.MemoryStore()
        self.network = pool_cluster.Network(clock=self.clock)
        self.network.is_cut = self.is_cut
        self.book = pool_worker.Ledger()
        self.cut_zone = None
        self.cut_instances = set()
        self.cut_pairs = set()
        self.workers = {}
        for number in range(workers):
            facts = pool_worker.facts_of(
                number, zone=zones[number % len(zones)]
            )
            self.workers[facts.worker_id] = pool_worker.SimWorker(
                clock=self.clock, facts=facts, book=self.book
            )
        self.list_workers()
        self.zones = zones
        self.entries = {}
        self.add_instances(instances)
        self.outcomes = {}
        self.sent = {}
        self.patience_s = {}
        self.count = 0

    def add_instances(self, count):
        """Let more instances come; return their names."""
        first = len(self.entries)
        added = []
        for number in range(first, first + count):
            zone = self.zones[number % len(self.zones)]
            name = f'{zone}-{number}'
            self.entries[name] = Entry(world=self, name=name, zone=zone)
            added.append(name)
        return added

    def list_workers(self):
        """Put every worker that is up into the list."""
        self.store.facts = tuple(
            one.facts for one in self.workers.values() if one.is_up
        )

    def zone_of(self, name):
        """Return the zone of an instance."""
        return self.entries[name].zone

    def is_cut(self, one, other):
        """Return whether two instances do not reach each other."""
        if one == other:
            return False
        if one in self.cut_instances or other in self.cut_instances:
            return True
        in_cut = {self.zone_of(one), self.zone_of(other)}
        return len(in_cut) > 1 and self.cut_zone in in_cut

    def reaches(self, entry, worker):
        """Return whether an instance reaches a worker."""
        zones = {entry.zone, worker.facts.zone}
        if len(zones) > 1 and self.cut_zone in zones:
            return False
        if (entry.name, worker.facts.worker_id) in self.cut_pairs:
            return False
        return worker.is_up and entry.name not in self.network.dead

    def cut(self, zone):
        """Cut a zone off from the others and from the store."""
        self.cut_zone = zone
        for entry in self.entries.values():
            entry.cluster.is_away = entry.zone == zone

    def heal(self):
        """End every cut."""
        self.cut_zone = None
        self.cut_instances = set()
        for entry in self.entries.values():
            entry.cluster.is_away = False

    def run(self, seconds):
        """Let time pass."""
        for _ in range(int(seconds / STEP_S + 0.5)):
            self.clock.advance(STEP_S)

    def holders(self):
        """Return the living instances that allocate."""
        return [
            entry
            for entry in self.entries.values()
            if entry.node.active_allocator
            and entry.name not in self.network.dead
        ]

    def holder(self):
        """Return the one instance that allocates."""
        found = self.holders()
        assert len(found) == 1, [one.name for one in found]
        return found[0]

    def power_off(self, name):
        """End an instance without a word."""
        entry = self.entries[name]
        self.network.dead.add(name)
        if entry.node.active_allocator:
            entry.node.stop_allocating(retiring=False)
        entry.node.candidate.withdrawn = True

    def kill(self, name):
        """End an instance; its connections are reset."""
        entry = self.entries[name]
        links = [entry.node.allocator_follower.link]
        if entry.node.active_allocator:
            links.extend(entry.node.active_allocator.links.links.values())
        others = [link.other for link in links if link]
        self.power_off(name)
        for other in others:
            self.clock.callLater(pool_cluster.LINK_S, other.lost)

    def submit(
        self,
        name,
        *,
        tasks=2,
        work_ms=100,
        urgency=1,
        job=None,
        constraint=constraints.ANYWHERE,
        steps=1,
    ):
        """Hand a job in at an instance, and note what becomes of it.

        Each of the steps has as many tasks and waits for the one before.
        """
        self.count += 1
        job_id = job or f'{self.count:016x}'
        requests = []
        for index in range(tasks * steps):
            step, place = divmod(index, tasks)
            task_name = values.TaskName(f'{job_id}.0.{step}.{place}')
            self.book.cpu[task_name] = TASK_CPU
            self.book.work_s[task_name] = work_ms / 1000
            requests.append(
                open_jobs.TaskRequest(
                    name=task_name,
                    need=values.Amount(cpu=TASK_CPU),
                    step=step,
                    estimate_ms=work_ms,
                    constraint=constraint,
                )
            )
        request = open_jobs.JobRequest(
            job_id=values.JobId(job_id),
            pool=names.PoolName('pool'),
            urgency=urgency,
            max_attempts=4,
            payload='',
            estimate_ms=work_ms * steps,
            objective_ms=int(0.6 * work_ms * steps) + 60,
            client_timeout_ms=patience_of(work_ms * steps),
            after=chain_of(steps),
            tasks=tuple(requests),
        )
        self.sent[job_id] = self.clock.seconds()
        self.patience_s[job_id] = patience_of(work_ms) / 1000
        self.entries[name].node.job_owner.submit(
            request, lambda outcome: self.answered(name, job_id, outcome)
        )
        return job_id

    def answered(self, name, job_id, outcome):
        """Note an answer, and whether it was true."""
        if name in self.network.dead:
            return
        now = self.clock.seconds()
        self.outcomes[job_id] = (outcome, now - self.sent[job_id])
        if isinstance(outcome, open_jobs.NotRun):
            started = [
                start for start in self.book.starts if job_id in start[0]
            ]
            if started:
                self.book.broken.append(f'{job_id} was said not to have run')

    def load(self, seconds, per_s, *, names=None, **job):
        """Hand jobs in at a steady rate, at instances in turn."""
        steps = int(seconds / STEP_S + 0.5)
        due = 0
        for _ in range(steps):
            due += per_s * STEP_S
            while due >= 1:
                due -= 1
                alive = names or [
                    name
                    for name in self.entries
                    if name not in self.network.dead
                ]
                self.submit(alive[self.count % len(alive)], **job)
            self.clock.advance(STEP_S)

    def of_kind(self, kind):
        """Return the answers of one kind."""
        return [
            (job, age)
            for job, (outcome, age) in self.outcomes.items()
            if isinstance(outcome, kind)
        ]
