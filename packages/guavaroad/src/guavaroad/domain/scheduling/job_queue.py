"""All queued jobs of one instance, and the choice of the next task."""

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
    """Queued jobs by pool, class and team.

    Attributes:
        jobs: Entries by submission id.
        pools: Queues by pool.
        run_times: Mean run times of tasks.
        rules: Shares, weights and quotas in force.
        teams: Waiting work of each team.
        task_count: Number of waiting tasks.
        size_bytes: Payload bytes of all queued jobs.
        arrivals: Number of jobs ever queued.
        held: Held jobs of all pools and classes.
    """

    def __init__(self) -> None:
        self.jobs: dict[names.SubmissionId, entries.QueuedJob] = {}
        self.pools: dict[names.PoolName, pool_queue.PoolQueue] = {}
        self.run_times = run_times.RunTimes()
        self.rules = policy.Policy()
        self.teams = team_totals.TeamTotals()
        self.task_count = 0
        self.size_bytes = 0
        self.arrivals = 0
        self.held: entries.HeldJobs = {}

    def pool(self, name: names.PoolName) -> pool_queue.PoolQueue:
        """Return the queue of a pool, created on first use."""
        queue = self.pools.get(name)
        if queue is None:
            queue = pool_queue.PoolQueue(held_jobs=self.held)
            self.pools[name] = queue
        return queue

    def class_of(self, job: submission.Submission) -> class_queue.ClassQueue:
        """Return the class queue of a submission."""
        request = job.request
        return self.pool(request.pool).classes[request.urgency]

    def add(self, job: submission.Submission) -> None:
        """Queue all tasks of a job."""
        self.arrivals += 1
        queued = entries.queued_job(job, self.arrivals)
        self.jobs[job.request.submission_id] = queued
        self.task_count += len(queued.waiting)
        self.size_bytes += queued.size_bytes
        self.teams.add(queued)
        self.class_of(job).add(queued)

    def remove(self, submission_id: names.SubmissionId) -> None:
        """Remove a job and its waiting tasks, if it is queued."""
        queued = self.jobs.pop(submission_id, None)
        if queued is None:
            return
        self.task_count -= len(queued.waiting)
        self.size_bytes -= queued.size_bytes
        self.teams.count(queued.job.request.team, -len(queued.waiting))
        self.class_of(queued.job).remove(queued)

    def rerank(self, job: submission.Submission) -> None:
        """Update the rank of a job whose `held` changed."""
        queued = self.jobs.get(job.request.submission_id)
        if queued is not None:
            self.class_of(job).rerank(queued)

    def rerank_released(self) -> bool:
        """Rank the held jobs whose hold has ended.

        Returns:
            Whether there was such a job.
        """
        released = [
            (submission_id, queued)
            for submission_id, queued in self.held.items()
            if not queued.job.held
        ]
        for submission_id, queued in released:
            self.held.pop(submission_id)
            self.rerank(queued.job)
        return bool(released)

    def pick(
        self, name: names.PoolName, capacity: int, free: int
    ) -> entries.Pick | None:
        """Take the next task for a slot of a pool, if one may start.

        The expected run time of the task is charged to its team.

        Args:
            name: The pool.
            capacity: Slots that this instance may fill in the pool.
            free: Number of these slots that are free.

        Returns:
            The task, or None if none may start.
        """
        next_class = self.pool(name).next_class(self.rules, capacity, free)
        team = next_class.next_team() if next_class else None
        queued = team.next_job() if team else None
        if next_class is None or team is None or queued is None:
            return None
        expected_s = self.run_times.expected_s(queued.job.request.job)
        index = next_class.take_task(team, queued)
        self.task_count -= 1
        self.teams.count(team.team, -1)
        next_class.charge(team, expected_s / self.rules.team(team.team).weight)
        return entries.Pick(job=queued.job, index=index, charged_s=expected_s)

    def record_end(self, pick: entries.Pick, took_s: float) -> None:
        """Record the end of an attempt.

        The charge made in advance is corrected to the time really used.

        Args:
            pick: The task.
            took_s: Slot-seconds to charge.
        """
        request = pick.job.request
        queue = self.class_of(pick.job)
        queue.record_end(request.team)
        weight = self.rules.team(request.team).weight
        correction_s = (took_s - pick.charged_s) / weight
        queue.charge(queue.team(request.team), correction_s)
        queued = self.jobs.get(request.submission_id)
        if queued is not None:
            queued.running -= 1
            queue.rerank(queued)

    def requeue(self, pick: entries.Pick) -> None:
        """Queue a task again whose attempt is proven not to have started."""
        queued = self.jobs.get(pick.job.request.submission_id)
        if queued is not None:
            self.task_count += 1
            self.teams.count(pick.job.request.team, 1)
            self.class_of(pick.job).requeue(queued, pick.index)

    def weighted_backlog(
        self, team: names.TeamName, more_tasks: int = 0
    ) -> float:
        """Return the number of waiting tasks of a team over its weight.

        Args:
            team: The team.
            more_tasks: Tasks to add to those that wait.

        Returns:
            Tasks for each unit of weight.
        """
        tasks = self.teams.total(team).tasks + more_tasks
        return tasks / self.rules.team(team).weight

    def most_backlogged_team(self) -> names.TeamName | None:
        """Return the team with the largest weighted backlog, if any."""
        return max(self.teams.by_team, key=self.weighted_backlog, default=None)

    def eviction_candidate(self) -> submission.Submission | None:
        """Return the job to evict first.

        Returns:
            The newest unstarted job of the first team that has one, in
            order of weighted backlog, largest first.
        """
        for team in sorted(
            self.teams.by_team, key=self.weighted_backlog, reverse=True
        ):
            newest = self.teams.total(team).newest_unstarted(self.jobs)
            if newest is not None:
                return newest.job
        return None

    def describe(self) -> list[dict[str, Any]]:
        """Return the queues that are in use for the state dump."""
        return [
            {'pool': name} | described
            for name, pool in self.pools.items()
            for described in pool.describe()
        ]
