"""An allocator without services, whose starts are answered at once."""

import dataclasses

from guavaroad.domain.pool import (
    actions,
    allocator,
    messages,
    outcomes,
    values,
)
from guavaroad_standins import pool_worker

OWNER = values.InstanceName('owner')
TAKEN_OVER_S = 10
# Period of the allocator's ticks.
TICK_S = 0.02
# Time until a call returns.
CALL_S = 0.001
MAX_STARTS_A_TICK = 50
LOWEST_URGENCY = 9
ROUNDING = 1e-6


class AllocatorScene:
    """An allocator whose starts are answered at once.

    Attributes:
        refusals: Reason for which each worker refuses its starts.
        starts: Workers of the starts, in order.
        logged: Lines of the decision log.
        outcome: Outcome of every start, if it is set.
        unstarted: Tasks whose start no worker has carried out.
    """

    def __init__(self, *, workers, cpu):
        self.now_s = TAKEN_OVER_S
        self.machine = allocator.Allocator(
            token=values.Token(2), now_s=self.now_s
        )
        self.infos = [
            pool_worker.worker_info_of(number, zone='a', cpu=cpu)
            for number in range(workers)
        ]
        self.refusals = {}
        self.starts = []
        self.logged = []
        self.outcome = None
        self.unstarted = set()
        self.machine.update_workers(self.infos, self.now_s)
        for worker_info in self.infos:
            self.report(worker_info.worker_id)

    def report(self, worker_id, *, ended=(), extra=()):
        """Receive a report of every run that the allocator tracks."""
        worker_state = self.machine.state.workers[worker_id]
        self.now_s += CALL_S
        self.machine.reports.record_report(
            worker_id=worker_id,
            report=outcomes.RunReport(
                clock_ms=int(self.now_s * 1000),
                started_ms=self.started_ms(worker_id),
                running=tuple(
                    outcomes.ListedRun(task=name, number=run.number)
                    for name, run in worker_state.runs.items()
                    if name not in {end.task for end in ended}
                    and name not in self.unstarted
                )
                + extra,
                ended=ended,
            ),
            sent_s=self.now_s,
            now_s=self.now_s,
        )

    def started_ms(self, worker_id):
        """Return the start of a worker's present process."""
        return next(
            worker_info.started_ms
            for worker_info in self.infos
            if worker_info.worker_id == worker_id
        )

    def resize(self, number, cpu):
        """List a worker with another capacity."""
        worker_info = self.infos[number]
        self.infos[number] = dataclasses.replace(
            worker_info,
            capacity=dataclasses.replace(worker_info.capacity, cpu=cpu),
        )
        self.machine.update_workers(self.infos, self.now_s)

    def declare(self, job_id, tasks, cpu):
        """Declare a job."""
        self.machine.job_admission.declare(
            OWNER,
            messages.Declare(
                job=job_id,
                pool='pool',
                urgency=0,
                max_attempts=4,
                payload='',
                estimate_ms=900,
                age_ms=0,
                objective_ms=600,
                client_timeout_ms=6000,
                tasks=tuple(
                    messages.DeclaredTask(
                        name=values.TaskName(f'{job_id}.{index}'), cpu=cpu
                    )
                    for index in range(tasks)
                ),
            ),
            self.now_s,
        )

    def withdraw(self, job_id):
        """Withdraw a job."""
        self.machine.job_admission.withdraw(
            OWNER, messages.Withdraw(job=job_id)
        )

    def run(self, seconds):
        """Let time pass; the starts are answered at once."""
        for _ in range(int(seconds / TICK_S + 0.5)):
            self.report_reached()
            self.machine.tick(self.now_s)
            self.answer_starts()
            self.check_backlog()
            self.now_s += TICK_S

    def report_reached(self):
        """Receive the reports of the workers that are reached."""
        for worker_info in self.infos:
            worker_id = worker_info.worker_id
            refusal = self.refusals.get(worker_id)
            if refusal is not outcomes.Refusal.UNREACHED:
                self.report(worker_id)

    def check_backlog(self):
        """Check the waiting core-seconds against the waiting tasks."""
        state = self.machine.state
        waiting_core_s = sum(
            task.need.cpu * task.estimate_s / values.CPU_MILLIS_PER_CORE
            for job in state.jobs.values()
            for task in job.waiting.values()
        )
        counted = state.pool('pool').backlog.core_s_ahead(LOWEST_URGENCY)
        assert abs(counted - waiting_core_s) < ROUNDING, counted

    def answer_starts(self):
        """Place tasks until no more start is ordered."""
        for _ in range(MAX_STARTS_A_TICK):
            self.machine.place(self.now_s)
            ordered = self.pop_starts()
            if not ordered:
                return
            for start in ordered:
                self.answer(start)

    def pop_starts(self):
        """Return the new starts."""
        popped = self.machine.pop_actions()
        self.logged += [
            action for action in popped if isinstance(action, actions.LogEvent)
        ]
        return [
            action for action in popped if isinstance(action, actions.StartRun)
        ]

    def answer(self, start):
        """Accept or refuse a start."""
        self.starts.append(start.worker_id)
        refusal = self.refusals.get(start.worker_id)
        outcome = outcomes.Accepted(clock_ms=int(self.now_s * 1000))
        if self.outcome is not None:
            outcome = self.outcome
            self.unstarted.add(start.task)
        if refusal is not None:
            outcome = outcomes.Refused(reason=refusal)
        self.machine.runs.on_start_outcome(
            worker_id=start.worker_id,
            name=start.task,
            number=start.number,
            outcome=outcome,
            now_s=self.now_s,
        )

    def worker(self, number):
        """Return a worker as tracked by the allocator."""
        return self.machine.state.workers[worker_id_of(number)]


def worker_id_of(number):
    return values.WorkerId(f'w{number}')
