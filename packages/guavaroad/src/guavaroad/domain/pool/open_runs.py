"""Runs that are not known to be over."""

from guavaroad.domain.pool import values, worker


class OpenRuns:
    """Runs that hold capacity, and unclaimed runs that workers report.

    Attributes:
        tracked: Latest run that holds capacity on a worker, by task.
        earlier: Earlier ones by task, of a job that was declared again. There
            are nearly always none.
        reporters: Workers that report unclaimed runs, by id. There are nearly
            always none.
        holders: Workers that report an unclaimed run of a task, by task and id.
    """

    def __init__(self) -> None:
        self.tracked: dict[values.TaskName, worker.Run] = {}
        self.earlier: dict[values.TaskName, list[worker.Run]] = {}
        self.reporters: dict[values.WorkerId, worker.Worker] = {}
        self.holders: dict[
            values.TaskName, dict[values.WorkerId, worker.Worker]
        ] = {}

    def track(self, run: worker.Run) -> None:
        """Add a run that holds capacity on a worker."""
        name = run.task.name
        previous = self.tracked.get(name)
        if previous is not None:
            self.earlier.setdefault(name, []).append(previous)
        self.tracked[name] = run

    def untrack(self, run: worker.Run) -> None:
        """Remove a run that is over."""
        name = run.task.name
        earlier = self.earlier.pop(name, [])
        if run in earlier:
            earlier.remove(run)
        elif earlier:
            self.tracked[name] = earlier.pop()
        else:
            self.tracked.pop(name, None)
        if earlier:
            self.earlier[name] = earlier

    def last_number(self, name: values.TaskName) -> values.RunNumber | None:
        """Return the highest number of the open runs of a task."""
        numbers = [
            holder.unclaimed_runs[name]
            for holder in self.holders.get(name, {}).values()
        ]
        run = self.tracked.get(name)
        if run is not None:
            numbers.append(run.number)
        numbers += [before.number for before in self.earlier.get(name, ())]
        return max(numbers, default=None)

    def add_unclaimed(
        self,
        worker_state: worker.Worker,
        name: values.TaskName,
        number: values.RunNumber,
    ) -> None:
        """Record an unclaimed run that a worker reports."""
        worker_state.unclaimed_runs[name] = number
        holders = self.holders.setdefault(name, {})
        holders[worker_state.worker_info.worker_id] = worker_state

    def pop_holder(self, name: values.TaskName) -> worker.Worker | None:
        """Remove and return a worker that reports a run of a task."""
        holders = self.holders.get(name)
        if not holders:
            return None
        worker_id = next(iter(holders))
        worker_state = holders.pop(worker_id)
        if not holders:
            self.holders.pop(name)
        return worker_state

    def clear_unclaimed(self, worker_state: worker.Worker) -> None:
        """Forget the unclaimed runs of a worker before its next report."""
        for name in worker_state.unclaimed_runs:
            holders = self.holders.get(name, {})
            holders.pop(worker_state.worker_info.worker_id, None)
            if not holders:
                self.holders.pop(name, None)
        worker_state.unclaimed_runs = {}

    def note_unclaimed(self, worker_state: worker.Worker, now_s: float) -> None:
        """Record since when a worker reports unclaimed runs, if it does."""
        if not worker_state.unclaimed_runs:
            self.drop_unclaimed(worker_state)
            return
        self.reporters[worker_state.worker_info.worker_id] = worker_state
        worker_state.lease.inherit(now_s)
        if worker_state.unclaimed_since_s is None:
            worker_state.unclaimed_since_s = now_s

    def drop_unclaimed(self, worker_state: worker.Worker) -> None:
        """Drop the unclaimed runs of a worker, which are over."""
        self.clear_unclaimed(worker_state)
        worker_state.unclaimed_since_s = None
        self.reporters.pop(worker_state.worker_info.worker_id, None)
