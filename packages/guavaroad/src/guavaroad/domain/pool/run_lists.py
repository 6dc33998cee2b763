"""Lists of workers compared with what is booked on them."""

import dataclasses

from guavaroad.domain import units
from guavaroad.domain.pool import (
    ledger,
    messages,
    outcomes,
    run_book,
    standings,
    values,
    worker,
)


class RunLists:
    """Takes looks at workers.

    Attributes:
        state: What the allocator knows.
        runs: Follows runs.
    """

    def __init__(self, *, state: ledger.Ledger, runs: run_book.RunBook) -> None:
        self.state = state
        self.runs = runs

    def record_report(
        self,
        *,
        worker_id: values.WorkerId,
        report: outcomes.RunReport,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Take the answer to a look.

        Args:
            worker_id: Worker that answered.
            report: What it lists.
            sent_s: When the look was sent.
            now_s: Time.
        """
        one = self.state.workers.get(worker_id)
        if one is None or one.is_from_before(report.started_ms, sent_s):
            return
        if report.started_ms and report.started_ms != one.facts.started_ms:
            self.life_changed(one, report.started_ms, now_s)
        one.standing.answered()
        one.lease.read_clock(report.clock_ms, now_s)
        if not one.readable and one.looked_s:
            self.state.note(
                'worker_back',
                worker=worker_id,
                silent_ms=units.to_ms(now_s - one.looked_s),
                listed=len(report.running),
            )
        one.looked_s = max(one.looked_s, sent_s)
        for end in report.ended:
            if end.position > one.last_end:
                one.last_end = end.position
                self.ended(one, end, now_s)
        # Looks beside each other may be answered out of order.
        if report.clock_ms >= one.listed_ms:
            one.listed_ms = report.clock_ms
            self.compare(one, report, sent_s, now_s)
        one.readable = True

    def record_poll_failure(
        self, worker_id: values.WorkerId, detail: str, now_s: float
    ) -> None:
        """Keep new tasks away from a worker until it answers a look."""
        one = self.state.workers.get(worker_id)
        if one is None:
            return
        if not one.standing.missed(now_s):
            return
        if one.readable:
            self.state.note(
                'worker_silent',
                worker=worker_id,
                detail=detail,
                runs=len(one.runs),
            )
        one.readable = False

    def compare(
        self,
        one: worker.Worker,
        report: outcomes.RunReport,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Compare what is booked with what a worker lists."""
        listed = {entry.task: entry for entry in report.running}
        one.unclaimed_runs = {}
        for entry in report.running:
            run = one.runs.get(entry.task)
            if run is not None and run.number == entry.number:
                self.progressed(run, entry, now_s)
            else:
                self.adopt(one, entry, now_s)
        if not one.unclaimed_runs:
            one.strange_s = None
        elif one.strange_s is None:
            one.strange_s = now_s
        missing = [
            run
            for name, run in one.runs.items()
            if name not in listed and run.known_s < sent_s
        ]
        for run in missing:
            if run.state is not values.RunState.UNANSWERED:
                self.runs.over(one, run, values.EndKind.LAPSED, now_s)

    def progressed(
        self, run: worker.Run, entry: outcomes.ListedRun, now_s: float
    ) -> None:
        """Take the progress of a run."""
        if run.state is values.RunState.ORDERED:
            run.state = values.RunState.RUNNING
            run.known_s = now_s
        if entry.percent != run.percent or not run.moved_s:
            run.percent = entry.percent
            run.moved_s = now_s

    def adopt(
        self, one: worker.Worker, entry: outcomes.ListedRun, now_s: float
    ) -> None:
        """Keep a run that another allocator started."""
        task = self.state.tasks.get(entry.task)
        if task is None or task.worker is not None or task.done:
            one.unclaimed_runs[entry.task] = entry.number
            return
        pool = self.state.pool(task.job.pool)
        if task in task.job.waiting:
            pool.backlog.taken(task)
        task.job.begun = True
        one.lease.inherit(now_s)
        self.state.book(
            one,
            worker.Run(
                task=task,
                number=entry.number,
                state=values.RunState.RUNNING,
                ordered_s=now_s,
                known_s=now_s,
                percent=entry.percent,
                moved_s=now_s,
            ),
        )
        self.state.note(
            'run_adopted',
            job=task.job.job_id,
            task=task.name,
            run=entry.number,
            worker=one.facts.worker_id,
        )
        self.state.tell(
            task.job,
            messages.Begun(
                job=task.job.job_id,
                starts=((task.index, entry.number, one.facts.worker_id),),
            ),
        )

    def ended(
        self, one: worker.Worker, end: outcomes.ListedEnd, now_s: float
    ) -> None:
        """Take an end that a worker lists."""
        run = one.runs.get(end.task)
        if run is not None and run.number == end.number:
            self.runs.over(one, run, end.kind, now_s)
            return
        if self.state.tasks.get(end.task) is None:
            self.state.early_ends[end.task] = ledger.EarlyEnd(
                number=end.number, kind=end.kind, seen_s=now_s
            )

    def life_changed(
        self, one: worker.Worker, born_ms: int, now_s: float
    ) -> None:
        """Forget what a worker ran before it started again."""
        if one.facts.started_ms:
            self.state.note(
                'worker_restarted',
                worker=one.facts.worker_id,
                runs_lost=len(one.runs),
            )
            self.runs.lapse(one, now_s)
        one.last_end = 0
        one.listed_ms = -1
        one.life_s = now_s
        one.standing = standings.Standing()
        one.facts = dataclasses.replace(one.facts, started_ms=born_ms)
