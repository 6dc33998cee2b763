"""Steps about queues, admission and fairness, on a fake timer."""

import collections
import dataclasses
import random

import behave
import msgspec
from twisted.internet import defer, task

from guavaroad.adapters import reactor_timers
from guavaroad.domain import attempts, codes, jobs, names, submission
from guavaroad.domain.configuration import document
from guavaroad.domain.health import rules
from guavaroad.domain.scheduling import admission
from guavaroad.domain.slots import table
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
        """Return the outcome that is set for an upstream or a job."""
        success = attempts.Answered(body=msgspec.Raw(b'1'))
        return self.outcomes.get(name, self.outcomes.get(attempt.job, success))

    def end_due(self):
        """End the tasks whose time has come."""
        now = self.clock.seconds() + STEP_S / 2
        due = [one for one in self.running if one.ends_s <= now]
        self.running = [one for one in self.running if one.ends_s > now]
        for ended in due:
            ended.pending.callback(self.outcome(ended.upstream, ended.attempt))


class World:
    """One dispatcher on a fake clock with fake upstreams."""

    def __init__(self, *, count, slots, config=None, bounds=None):
        self.clock = task.Clock()
        self.timers = reactor_timers.ReactorTimers(
            clock=self.clock, wall_clock=self.clock.seconds
        )
        self.port = FakeUpstreams(self.clock)
        chooser = random.Random(1)
        self.slots = table.SlotTable(chooser=chooser, two_choices=False)
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
            chooser=chooser,
            configuration=lambda: self.config,
        )
        self.dispatcher.configure()
        self.settled = {}
        self.jobs = {}
        self.sequence = 0
        self.listed = [listed_upstream(at, slots) for at in range(count)]
        self.list_upstreams()

    def list_upstreams(self):
        """Show the dispatcher the platform's list."""
        self.dispatcher.set_upstreams(
            dispatch.static_uses(tuple(self.listed), 0, 1)
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
        job.held = held
        self.jobs[request.submission_id] = job
        self.dispatcher.enqueue(job, self.settle)
        return job

    def settle(self, job):
        """Keep the outcome of a settled submission."""
        self.settled[job.request.submission_id] = job.outcome()

    def run_for(self, seconds):
        """Let the clock and the upstreams run."""
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


@behave.given('a dispatcher with {count:d} upstreams of {slots:d} slots')
def given_dispatcher(context, count, slots):
    context.world = World(count=count, slots=slots)


@behave.given('a dispatcher with {count:d} slots and a reserve of {part:g}')
def given_reserve(context, count, part):
    config = document.Document(reserve=part)
    context.world = World(count=1, slots=count, config=config)


@behave.given('a dispatcher with 1 slot and room for {count:d} waiting tasks')
def given_room(context, count):
    context.world = World(
        count=1,
        slots=1,
        bounds=admission.Bounds(tasks=count, size_bytes=10**6),
    )


@behave.given('team "{team}" may queue {count:d} tasks')
def given_quota(context, team, count):
    world = context.world
    world.config = document.Document(
        teams={team: document.Team(max_queued_tasks=count)}
    )


@behave.given('tasks of job "{job}" take {ms:d} ms')
def given_run_time(context, job, ms):
    context.world.port.run_s[job] = ms / 1000


@behave.when('team "{team}" queues {kind} jobs "{job}" of {count:d} tasks')
def when_queues(context, team, kind, job, count):
    number, urgency = kind.split()
    for _ in range(int(number)):
        request = context.world.request(team, urgency, count, job)
        context.job = context.world.queue(request)


@behave.when('team "{team}" queues a held job of {count:d} tasks')
def when_held(context, team, count):
    request = context.world.request(team, 'normal', count, 'render')
    context.job = context.world.queue(request, held=True)


@behave.when('the hold ends')
def when_hold_ends(context):
    context.job.held = False


@behave.when('team "{team}" queues a job with a deadline of {ms:d} ms')
def when_deadline(context, team, ms):
    request = context.world.request(team, 'normal', 1, 'render', ms / 1000)
    context.job = context.world.queue(request)


@behave.when('{seconds:g} s pass')
def when_pass(context, seconds):
    context.world.run_for(seconds)


@behave.when('team "{team}" asks for {count:d} tasks within {ms:d} ms')
def when_asks(context, team, count, ms):
    request = context.world.request(team, 'normal', count, 'render', ms / 1000)
    context.refusal = context.world.dispatcher.refuse(request)


@behave.then('the running tasks by class are {urgent:d}, {normal:d}, {low:d}')
def then_running(context, urgent, normal, low):
    pool = context.world.dispatcher.queue.pool(names.PoolName('main'))
    running = [known.running for known in pool.classes.values()]
    assert running == [urgent, normal, low], running


@behave.then(
    'team "{one}" has started {low:g} to {high:g} times as many as "{other}"'
)
def then_ratio(context, one, other, low, high):
    counted = context.world.started_by(lambda request: request.team)
    ratio = counted[one] / counted[other]
    assert low <= ratio <= high, counted


@behave.then('the starts by job are {expected}')
def then_by_job(context, expected):
    counted = context.world.started_by(lambda request: request.submission_id)
    assert ' '.join(map(str, counted.values())) == expected, counted


@behave.then('{count:d} tasks have started')
def then_started(context, count):
    assert len(context.world.port.starts) == count, context.world.port.starts


@behave.then('the last job has ended as {code} and nothing of it ran')
def then_ended(context, code):
    outcome = context.world.settled[context.job.request.submission_id]
    assert outcome.code is codes.ResultCode[code], outcome
    assert all(one.ran is codes.Ran.NO for one in outcome.tasks), outcome


@behave.then('the last job waits')
def then_waits(context):
    submission_id = context.job.request.submission_id
    assert submission_id not in context.world.settled


@behave.then('it is refused as {code} with a hint when to try again')
def then_refused_as(context, code):
    assert context.refusal.code is codes.ResultCode[code], context.refusal
    assert context.refusal.retry_after_s > 0, context.refusal
    ran = codes.facts_of(context.refusal.code).ran
    assert ran is codes.Ran.NO, ran


@behave.then('it is taken')
def then_taken(context):
    assert context.refusal is None, context.refusal


@behave.then('jobs of "{team}" end as OVERLOADED, the newest first')
def then_newest_first(context, team):
    world = context.world
    ended = [world.jobs[one].request for one in world.settled]
    assert ended, world.settled
    assert {request.team for request in ended} == {team}, ended
    newest = [
        int(one.request.submission_id)
        for one in world.jobs.values()
        if one.request.team == team
    ]
    expected = sorted(newest, reverse=True)[: len(ended)]
    assert [int(one.submission_id) for one in ended] == expected, ended
    outcomes = {one.code for one in world.settled.values()}
    assert outcomes == {codes.ResultCode.OVERLOADED}, outcomes
