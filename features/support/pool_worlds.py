"""Instances of the worker pool on a simulated clock, with simulated workers."""

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
from guavaroad_standins import pool_cluster, pool_connections, pool_worker
from support import pool_processes, pool_promises

STEP_S = 0.005
TASK_CPU = 14_000
# Capacity of an instance's link, as on the users' smaller machines.
LINK_BYTES_PER_S = 1_500_000
WORKER_LIST_PERIOD_S = 0.5
# Timeout of the clients on the users' sites: 1.5 s plus three times the latency
# objective.
CLIENT_TIMEOUT_BASE_MS = 1500
CLIENT_TIMEOUT_OBJECTIVES = 3


class LogRecorder:
    """Records the log lines and counters of one instance."""

    def __init__(self):
        self.lines = []
        self.counts = collections.Counter()

    def write(self, event, fields):
        """Record a log line."""
        self.lines.append((event, fields))

    def record_event(self, event, _):
        """Count an event."""
        self.counts[event] += 1

    def record_job(self, outcome, reason, _):
        """Count a job outcome."""
        self.counts[outcome, reason] += 1


class Codec:
    """Decodes the rows of the in-memory store."""

    def __init__(self, store):
        self.store = store

    def worker_infos(self, rows):
        """Return the workers in a list of rows."""
        listed = {key for key, _ in rows.rows}
        return tuple(
            worker_info
            for worker_info in self.store.worker_infos
            if worker_info.worker_id in listed
        )

    def configuration(self, body):
        """Return a configuration with the version in the text."""
        return routing.Configuration(
            version=names.Version(int(body)),
            routes=(),
            limits=routing.Limits(),
        )


class SimInstance:
    """One instance with its connections to workers, store and peers."""

    def __init__(self, *, world, name, zone):
        self.name = name
        self.zone = zone
        self.world = world
        self.process = pool_processes.SimProcess(clock=world.clock)
        self.log = LogRecorder()
        self.cluster = pool_cluster.MemoryCluster(
            clock=self.process, store=world.store
        )
        self.workers = pool_connections.SimWorkers(
            clock=world.clock,
            workers=world.workers,
            reaches=lambda worker: world.reaches(self, worker),
        )
        self.workers.run_answer = self.process.execute
        timer_service = reactor_timers.ReactorTimers(clock=self.process)
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
                dialler=pool_processes.ProcessDialler(
                    dialler=pool_cluster.MemoryDialler(
                        network=world.network, owner=name
                    ),
                    process=self.process,
                ),
                timers=timer_service,
                link_bytes_per_s=world.link_bytes_per_s,
                worker_list_period_s=WORKER_LIST_PERIOD_S,
                decision_log=decision_log.DecisionLog(
                    writer=self.log,
                    counters=self.log,
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


def client_timeout_ms(work_ms):
    """Return the timeout of a job's client, in milliseconds."""
    objective_ms = 1.6 * work_ms + 60
    return int(
        CLIENT_TIMEOUT_BASE_MS + CLIENT_TIMEOUT_OBJECTIVES * objective_ms
    )


def _accept(_):
    return True


class WaitingClient:
    """The client of one submission."""

    def __init__(self, *, world, instance, job_id, accept):
        self.world = world
        self.instance = instance
        self.job_id = job_id
        self.accept = accept
        self.attempt = world.promises.begin(job_id, instance.name)

    def receive(self, outcome):
        """Record the answer and check that "not run" is true."""
        world = self.world
        is_dead = (
            self.instance.name in world.network.dead
            or self.instance.process.is_dead
        )
        if is_dead or not self.accept(outcome):
            return
        world.promises.answer(self.attempt, outcome)
        age_s = world.clock.seconds() - world.sent[self.job_id]
        world.outcomes[self.job_id] = (outcome, age_s)
        is_started = bool(world.promises.job(self.job_id).starts)
        if isinstance(outcome, open_jobs.NotRun) and is_started:
            world.history.violations.append(
                f'{self.job_id} was reported as not run but has started'
            )


def chain_of(steps):
    """Return the dependencies of steps that run one after another."""
    return tuple((step - 1,) if step else () for step in range(steps))


class PoolWorld:
    """Instances, workers, a store and a network on one simulated clock."""

    def __init__(
        self,
        *,
        zones,
        instances,
        workers,
        seed=1,
        link_bytes_per_s=LINK_BYTES_PER_S,
    ):
        self.link_bytes_per_s = link_bytes_per_s
        self.clock = task.Clock()
        self.random = random.Random(seed)
        self.store = pool_cluster.MemoryStore()
        self.network = pool_cluster.Network(clock=self.clock)
        self.network.is_cut = self.is_cut
        self.promises = pool_promises.Promises(clock=self.clock)
        self.history = pool_worker.RunHistory(
            on_start=self.promises.record_start
        )
        self.cut_zone = None
        self.cut_instances = set()
        self.cut_pairs = set()
        self.workers = {}
        for number in range(workers):
            worker_info = pool_worker.worker_info_of(
                number, zone=zones[number % len(zones)]
            )
            self.workers[worker_info.worker_id] = pool_worker.SimWorker(
                clock=self.clock, worker_info=worker_info, history=self.history
            )
        self.list_workers()
        self.zones = zones
        self.instances = {}
        self.add_instances(instances)
        self.outcomes = {}
        self.sent = {}
        self.client_timeout_s = {}
        self.count = 0

    def add_instances(self, count):
        """Start more instances and return their names."""
        first = len(self.instances)
        added = []
        for number in range(first, first + count):
            zone = self.zones[number % len(self.zones)]
            name = f'{zone}-{number}'
            self.instances[name] = SimInstance(world=self, name=name, zone=zone)
            added.append(name)
        return added

    def list_workers(self):
        """Write the running workers to the platform's list."""
        self.store.worker_infos = tuple(
            worker.worker_info
            for worker in self.workers.values()
            if worker.is_up
        )

    def zone_of(self, name):
        """Return the zone of an instance."""
        return self.instances[name].zone

    def is_cut(self, name, other):
        """Return whether two instances can't reach each other."""
        if name == other:
            return False
        if name in self.cut_instances or other in self.cut_instances:
            return True
        zones = {self.zone_of(name), self.zone_of(other)}
        return len(zones) > 1 and self.cut_zone in zones

    def reaches(self, instance, worker):
        """Return whether an instance can reach a worker."""
        zones = {instance.zone, worker.worker_info.zone}
        if len(zones) > 1 and self.cut_zone in zones:
            return False
        if (instance.name, worker.worker_info.worker_id) in self.cut_pairs:
            return False
        return worker.is_up and instance.name not in self.network.dead

    def cut(self, zone):
        """Cut a zone off from the other zones and from the store."""
        self.cut_zone = zone
        for instance in self.instances.values():
            instance.cluster.is_disconnected = instance.zone == zone

    def heal(self):
        """Remove all cuts."""
        self.cut_zone = None
        self.cut_instances = set()
        for instance in self.instances.values():
            instance.cluster.is_disconnected = False

    def run(self, seconds):
        """Advance the clock."""
        for _ in range(int(seconds / STEP_S + 0.5)):
            self.clock.advance(STEP_S)

    def allocators(self):
        """Return the running instances that are active allocators."""
        return [
            instance
            for instance in self.instances.values()
            if instance.node.active_allocator
            and instance.name not in self.network.dead
        ]

    def allocator(self):
        """Return the only active allocator."""
        found = self.allocators()
        assert len(found) == 1, [instance.name for instance in found]
        return found[0]

    def power_off(self, name):
        """Stop an instance without closing its connections."""
        instance = self.instances[name]
        self.network.dead.add(name)
        if instance.node.active_allocator:
            instance.node.stop_allocating(retiring=False)
        instance.node.candidate.withdrawn = True

    def kill(self, name):
        """Kill an instance; its connections are reset."""
        self.network.reset_links(name)
        self.power_off(name)

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
        """Submit a job at an instance, record its outcome and return its id.

        Each step has `tasks` tasks and waits for the step before it.
        """
        request = self.request(
            tasks=tasks,
            work_ms=work_ms,
            urgency=urgency,
            job=job,
            constraint=constraint,
            steps=steps,
        )
        self.hand_in(name, request)
        return request.job_id

    def request(
        self,
        *,
        tasks=2,
        work_ms=100,
        urgency=1,
        job=None,
        constraint=constraints.ANYWHERE,
        steps=1,
    ):
        """Return the request for a job."""
        self.count += 1
        job_id = job or f'{self.count:016x}'
        requests = []
        for index in range(tasks * steps):
            step, place = divmod(index, tasks)
            task_name = values.TaskName(f'{job_id}.0.{step}.{place}')
            self.history.cpu[task_name] = TASK_CPU
            self.history.work_s[task_name] = work_ms / 1000
            requests.append(
                open_jobs.TaskRequest(
                    name=task_name,
                    need=values.Amount(cpu=TASK_CPU),
                    step=step,
                    estimate_ms=work_ms,
                    constraint=constraint,
                )
            )
        self.client_timeout_s[job_id] = client_timeout_ms(work_ms) / 1000
        return open_jobs.JobRequest(
            job_id=values.JobId(job_id),
            pool=names.PoolName('pool'),
            urgency=urgency,
            max_attempts=4,
            payload='',
            estimate_ms=work_ms * steps,
            objective_ms=int(0.6 * work_ms * steps) + 60,
            client_timeout_ms=client_timeout_ms(work_ms * steps),
            after=chain_of(steps),
            tasks=tuple(requests),
        )

    def hand_in(self, name, request, accept=_accept):
        """Submit a request at an instance, and return its open job if any.

        An instance that stops may refuse it, as the platform's front does.

        Args:
            name: The instance.
            request: The request.
            accept: Called with the outcome; returns whether the client has
                waited for it.
        """
        self.sent[request.job_id] = self.clock.seconds()
        client = WaitingClient(
            world=self,
            instance=self.instances[name],
            job_id=request.job_id,
            accept=accept,
        )
        node = client.instance.node
        refusal = node.refusal(request)
        if refusal is None:
            return node.job_owner.submit(request, client.receive)
        client.receive(refusal)
        return None

    def load(self, seconds, per_s, *, names=None, **job):
        """Submit jobs at a constant rate, at each instance in turn."""
        steps = int(seconds / STEP_S + 0.5)
        due = 0
        for _ in range(steps):
            due += per_s * STEP_S
            while due >= 1:
                due -= 1
                running = names or [
                    name
                    for name in self.instances
                    if name not in self.network.dead
                ]
                self.submit(running[self.count % len(running)], **job)
            self.clock.advance(STEP_S)

    def of_kind(self, kind):
        """Return the jobs with one kind of outcome, and their response times."""
        return [
            (job, age)
            for job, (outcome, age) in self.outcomes.items()
            if isinstance(outcome, kind)
        ]
