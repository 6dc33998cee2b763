"""One or more dispatchers on a fake clock, with fake upstreams."""

import collections
import dataclasses
import random

import msgspec
from twisted.internet import defer, task

from guavaroad.adapters import reactor_timers
from guavaroad.domain import attempts, jobs, names
from guavaroad.domain.configuration import document
from guavaroad.domain.health import rules
from guavaroad.domain.scheduling import admission
from guavaroad.domain.slots import table
from guavaroad.domain.submissions import holds, submission
from guavaroad.ports import upstreams
from guavaroad.services import dispatch, health

STEP_S = 0.01
TASK_S = 0.1
LONG_S = 3600


@dataclasses.dataclass(slots=True, kw_only=True)
class RunningTask:
    """A task that the fake upstreams run."""

    upstream: str
    attempt: upstreams.Attempt
    ends_s: float
    pending: 'defer.Deferred[attempts.AttemptOutcome]'


class FakeUpstreams:
    """Upstream port that runs tasks on the fake clock."""

    def __init__(self, clock):
        self.clock = clock
        self.running = []
        self.starts = []
        self.start_times = []
        self.run_s = collections.defaultdict(lambda: TASK_S)
        self.outcomes = {}

    def start(self, upstream, attempt):
        """Run a task for the time of its job."""
        self.starts.append((upstream.name, attempt))
        self.start_times.append((upstream.name, self.clock.seconds()))
        outcome = self.outcome(upstream.name, attempt)
        run_s = self.run_s[attempt.job]
        if not isinstance(outcome, attempts.Answered):
            run_s = 0
        pending = defer.Deferred()
        self.running.append(
            RunningTask(
                upstream=upstream.name,
                attempt=attempt,
                ends_s=self.clock.seconds() + run_s,
                pending=pending,
            )
        )
        return pending

    def outcome(self, name, attempt):
        """Return the outcome configured for an upstream or a job."""
        success = attempts.Answered(body=msgspec.Raw(b'1'))
        return self.outcomes.get(name, self.outcomes.get(attempt.job, success))

    def end_due(self):
        """End the tasks that have run for their time."""
        now = self.clock.seconds() + 1e-6
        due = [
            running_task
            for running_task in self.running
            if running_task.ends_s <= now
        ]
        self.running = [
            running_task
            for running_task in self.running
            if running_task.ends_s > now
        ]
        for ended in due:
            ended.pending.callback(self.outcome(ended.upstream, ended.attempt))


class World:
    """One dispatcher on a fake clock with fake upstreams."""

    def __init__(
        self, *, count, slots, config=None, bounds=None, clock=None, port=None
    ):
        self.clock = clock or task.Clock()
        self.timers = reactor_timers.ReactorTimers(
            clock=self.clock, wall_clock=self.clock.seconds
        )
        self.port = port or FakeUpstreams(self.clock)
        rng = random.Random(1)
        self.slots = table.SlotTable(rng=rng, two_choices=False)
        self.config = config or document.Document()
        self.health = health.HealthService(
            slots=self.slots, timer_service=self.timers, bounds=rules.Rules()
        )
        self.dispatcher = dispatch.Dispatcher(
            port=self.port,
            timer_service=self.timers,
            slots=self.slots,
            health_service=self.health,
            bounds=bounds or admission.Bounds(tasks=10_000, size_bytes=10**7),
            rng=rng,
            configuration=lambda: self.config,
        )
        self.dispatcher.configure()
        self.outcomes = {}
        self.jobs = {}
        self.sequence = 0
        self.listed = [
            listed_upstream(number, slots) for number in range(count)
        ]
        self.list_upstreams()

    def list_upstreams(self):
        """Pass the platform's list to the dispatcher."""
        self.dispatcher.set_upstreams(
            dispatch.equal_uses(tuple(self.listed), 0, 1)
        )

    def request(self, team, urgency, count, job, deadline_s=LONG_S):
        """Return a job request."""
        self.sequence += 1
        return jobs.JobRequest(
            submission_id=names.SubmissionId(str(self.sequence)),
            team=names.TeamName(team),
            job=names.JobName(job),
            urgency=jobs.Urgency(urgency),
            pool=names.PoolName('main'),
            tasks=(jobs.TaskSpec(payload=msgspec.Raw(b'{}')),) * count,
            deadline_s=self.clock.seconds() + deadline_s,
            digest='',
        )

    def queue(self, request, *, held=False):
        """Queue a job."""
        job = submission.Submission(request=request)
        if held:
            job.hold.state = holds.HoldState.HELD
        self.jobs[request.submission_id] = job
        self.dispatcher.enqueue(job, self.record_outcome)
        return job

    def record_outcome(self, job):
        """Record the outcome of a finished submission."""
        self.outcomes[job.request.submission_id] = job.outcome()

    def run_for(self, seconds):
        """Advance the clock and the upstreams."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self.port.end_due()
        self.clock.advance(0)

    def started_by(self, key):
        """Count the starts by a property of the request."""
        counted = collections.Counter()
        for _, attempt in self.port.starts:
            counted[key(self.jobs[attempt.submission_id].request)] += 1
        return counted


def listed_upstream(number, slots):
    """Return an upstream of the platform's list."""
    return upstreams.Upstream(
        name=names.UpstreamName(f'up-{number}'),
        availability_zone=names.AvailabilityZone('zone-a'),
        pool=names.PoolName('main'),
        address=f'127.0.0.1:{number}',
        slots=slots,
    )
