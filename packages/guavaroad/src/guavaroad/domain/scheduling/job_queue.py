"""Every queued job of one instance, and which task goes next."""

from typing import Any

from guavaroad.domain import names
from guavaroad.domain.scheduling import (
    class_queue,
    entries,
    policy,
    pool_queue,
    run_times,
    team_totals,
)
from guavaroad.domain.submissions import submission


class JobQueue:
    """Queues by pool, class, team and job."""

    def __init__(self) -> None:
        self.jobs: dict[names.SubmissionId, entries.QueuedJob] = {}
        self.pools: dict[names.PoolName, pool_queue.PoolQueue] = {}
        self.run_times = run_times.RunTimes()
        self.rules = policy.Policy()
        self.teams = team_totals.TeamTotals()
        self.task_count = 0
        self.size_bytes = 0
        self.arrivals = 0
        self.held: entries.Parked = {}

    def pool(self, name: names.PoolName) -> pool_queue.PoolQueue:
        """Return the queue of a pool."""
        known = self.pools.get(name)
        if known is None:
            known = pool_queue.PoolQueue(parked=self.held)
            self.pools[name] = known
        return known

    def class_of(self, job: submission.Submission) -> class_queue.ClassQueue:
        """Return the class queue that a submission belongs to."""
        request = job.request
        return self.pool(request.pool).classes[request.urgency]

    def add(self, job: submission.Submission) -> None:
        """Queue every task of a job."""
        self.arrivals += 1
        queued = entries.queued_job(job, self.arrivals)
        self.jobs[job.request.submission_id] = queued
        self.task_count += len(queued.waiting)
        self.size_bytes += queued.size_bytes
        self.teams.add(queued)
        self.class_of(job).add(queued)

    def remove(self, submission_id: names.SubmissionId) -> None:
        """Forget a job and its waiting tasks."""
        queued = self.jobs.pop(submission_id, None)
        if queued is None:
            return
        self.task_count -= len(queued.waiting)
        self.size_bytes -= queued.size_bytes
        self.teams.count(queued.job.request.team, -len(queued.waiting))
        self.class_of(queued.job).remove(queued)

    def rerank(self, job: submission.Submission) -> None:
        """Rank a job again after its `held` changed."""
        queued = self.jobs.get(job.request.submission_id)
        if queued is not None:
            self.class_of(job).changed(queued)

    def rerank_released(self) -> bool:
        """Rank held jobs whose hold has ended; return if there was one."""
        freed = [
            (submission_id, queued)
            for submission_id, queued in self.held.items()
            if not queued.job.held
        ]
        for submission_id, queued in freed:
            self.held.pop(submission_id)
            self.rerank(queued.job)
        return bool(freed)

    def pick(
        self, name: names.PoolName, capacity: int, free: int
    ) -> entries.Pick | None:
        """Take the next task for a slot of a pool, if one may start.

        Args:
            name: The pool.
            capacity: Slots that this instance may fill in the pool.
            free: Slots of those that are free.

        Returns:
            The task, charged in advance by its expected run time.
        """
        chosen = self.pool(name).next_class(self.rules, capacity, free)
        team = chosen.next_team() if chosen else None
        queued = team.next_job() if team else None
        if chosen is None or team is None or queued is None:
            return None
        expected_s = self.run_times.expected_s(queued.job.request.job)
        index = chosen.take(team, queued)
        self.task_count -= 1
        self.teams.count(team.team, -1)
        chosen.charge(team, expected_s / self.rules.team(team.team).weight)
        return entries.Pick(job=queued.job, index=index, charged_s=expected_s)

    def record_end(self, pick: entries.Pick, took_s: float) -> None:
        """Count down the running tasks and charge what the task took."""
        request = pick.job.request
        chosen = self.class_of(pick.job)
        chosen.ended(request.team)
        weight = self.rules.team(request.team).weight
        correction_s = (took_s - pick.charged_s) / weight
        chosen.charge(chosen.team(request.team), correction_s)
        queued = self.jobs.get(request.submission_id)
        if queued is not None:
            queued.running -= 1
            chosen.changed(queued)

    def requeue(self, pick: entries.Pick) -> None:
        """Queue a task again whose attempt provably started nothing."""
        queued = self.jobs.get(pick.job.request.submission_id)
        if queued is not None:
            self.task_count += 1
            self.teams.count(pick.job.request.team, 1)
            self.class_of(pick.job).put_back(queued, pick.index)

    def excess(self, team: names.TeamName, more_tasks: int = 0) -> float:
        """Return the waiting tasks of a team, divided by its weight."""
        tasks = self.teams.total(team).tasks + more_tasks
        return tasks / self.rules.team(team).weight

    def furthest_team(self) -> names.TeamName | None:
        """Return the team with the most waiting tasks for its weight."""
        return max(self.teams.by_team, key=self.excess, default=None)

    def newest_of_furthest(self) -> submission.Submission | None:
        """Return the newest job, nothing started, of the furthest team."""
        for team in sorted(self.teams.by_team, key=self.excess, reverse=True):
            newest = self.teams.total(team).newest_unstarted(self.jobs)
            if newest is not None:
                return newest.job
        return None

    def describe(self) -> list[dict[str, Any]]:
        """Return the queues that are in use, for the state dump."""
        return [
            {'pool': name} | described
            for name, pool in self.pools.items()
            for described in pool.describe()
        ]
