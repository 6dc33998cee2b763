"""Tasks that crash the simulated worker that starts them."""

import collections

from guavaroad_standins import pool_worker

# Time from a start to the crash, in seconds.
CRASH_DELAY_S = 0.005
# Time until the platform's list no longer has a crashed worker, in seconds.
UNLIST_DELAY_S = 1.5
RESTART_RANGE_S = (2, 4)
# Crashes after which a task is to be given up soon.
CRASHES = 3


class DeadlyTasks:
    """Crashes the workers that start certain tasks, and restarts them.

    Attributes:
        tasks: Names of the tasks.
        crashes: Number of workers that each of them has crashed.
        late_starts: Number of starts of each after `CRASHES` crashes.
    """

    def __init__(self, *, world):
        self.world = world
        self.tasks = set()
        self.crashes = collections.Counter()
        self.late_starts = collections.Counter()
        self.record_start = world.history.on_start
        world.history.on_start = self.on_start

    def on_start(self, task):
        """Crash the worker of a start soon, if the task is one of these."""
        self.record_start(task)
        if task not in self.tasks:
            return
        if self.crashes[task] >= CRASHES:
            self.late_starts[task] += 1
        worker_id = self.world.history.starts[-1][-1]
        worker = self.world.workers[worker_id]
        born_ms = worker.worker_info.started_ms
        self.world.clock.callLater(
            CRASH_DELAY_S, self.crash, worker, born_ms, task
        )

    def crash(self, worker, born_ms, task):
        """Crash a worker, unless it has restarted since the start."""
        if not worker.is_up or worker.worker_info.started_ms != born_ms:
            return
        self.crashes[task] += 1
        worker.crash()
        clock = self.world.clock
        clock.callLater(UNLIST_DELAY_S, self.world.list_workers)
        clock.callLater(
            self.world.random.uniform(*RESTART_RANGE_S), self.restart, worker
        )

    def restart(self, worker):
        """Start a crashed worker again."""
        pool_worker.restart(worker)
        self.world.list_workers()
