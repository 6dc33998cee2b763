"""Steps for queues, admission and fairness, on a fake clock."""

import behave

from guavaroad.domain import codes, names
from guavaroad.domain.configuration import document
from guavaroad.domain.scheduling import admission
from guavaroad.domain.submissions import holds
from support import worlds


@behave.given('a dispatcher with {count:d} upstreams of {slots:d} slots')
def given_dispatcher(context, count, slots):
    context.world = worlds.World(count=count, slots=slots)


@behave.given('a dispatcher with {count:d} slots and a reserve of {part:g}')
def given_reserve(context, count, part):
    config = document.Document(reserve=part)
    context.world = worlds.World(count=1, slots=count, config=config)


@behave.given('a dispatcher with 1 slot and a queue bound of {count:d} tasks')
def given_queue_bound(context, count):
    context.world = worlds.World(
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
    context.job.hold.state = holds.HoldState.OPEN


@behave.when('team "{team}" queues a job with a deadline of {ms:d} ms')
def when_deadline(context, team, ms):
    request = context.world.request(team, 'normal', 1, 'render', ms / 1000)
    context.job = context.world.queue(request)


@behave.when('the tasks run for {seconds:g} s')
def when_tasks_run(context, seconds):
    context.world.run_for(seconds)


@behave.when(
    'team "{team}" submits {count:d} tasks with a deadline of {ms:d} ms'
)
def when_submits(context, team, count, ms):
    request = context.world.request(team, 'normal', count, 'render', ms / 1000)
    context.refusal = context.world.dispatcher.refuse(request)


@behave.then('the running tasks by class are {urgent:d}, {normal:d}, {low:d}')
def then_running(context, urgent, normal, low):
    pool = context.world.dispatcher.queue.pool(names.PoolName('main'))
    running = [queue.running for queue in pool.classes.values()]
    assert running == [urgent, normal, low], running


@behave.then(
    'team "{team}" has started {low:g} to {high:g} times as many as "{other}"'
)
def then_ratio(context, team, other, low, high):
    counts = context.world.started_by(lambda request: request.team)
    ratio = counts[team] / counts[other]
    assert low <= ratio <= high, counts


@behave.then('the starts by job are {expected}')
def then_by_job(context, expected):
    counts = context.world.started_by(lambda request: request.submission_id)
    assert ' '.join(map(str, counts.values())) == expected, counts


@behave.then('{count:d} tasks have started')
def then_started(context, count):
    assert len(context.world.port.starts) == count, context.world.port.starts


@behave.then('the last job has ended as {code} and none of its tasks ran')
def then_ended(context, code):
    outcome = context.world.outcomes[context.job.request.submission_id]
    assert outcome.code is codes.ResultCode[code], outcome
    assert all(report.ran is codes.Ran.NO for report in outcome.tasks), outcome


@behave.then('the last job waits')
def then_waits(context):
    submission_id = context.job.request.submission_id
    assert submission_id not in context.world.outcomes


@behave.then('it is refused as {code} with a retry hint')
def then_refused_as(context, code):
    assert context.refusal.code is codes.ResultCode[code], context.refusal
    assert context.refusal.retry_after_s > 0, context.refusal
    ran = codes.info_of(context.refusal.code).ran
    assert ran is codes.Ran.NO, ran


@behave.then('it is admitted')
def then_admitted(context):
    assert context.refusal is None, context.refusal


@behave.then('jobs of "{team}" end as OVERLOADED, the newest first')
def then_newest_first(context, team):
    world = context.world
    ended = [world.jobs[ended_id].request for ended_id in world.outcomes]
    assert ended, world.outcomes
    assert {request.team for request in ended} == {team}, ended
    team_ids = [
        int(job.request.submission_id)
        for job in world.jobs.values()
        if job.request.team == team
    ]
    expected = sorted(team_ids, reverse=True)[: len(ended)]
    assert [int(evicted.submission_id) for evicted in ended] == expected, ended
    found = {outcome.code for outcome in world.outcomes.values()}
    assert found == {codes.ResultCode.OVERLOADED}, found


@behave.when('a configuration sets {path} to {number:g}')
def when_limit_set(context, path, number):
    shares = {'urgent': 0.5, 'normal': 0.3, 'low': 0.2}
    config = {
        'classes': {name: {'share': part} for name, part in shares.items()},
        'teams': {'office': {}},
    }
    *parents, last = path.split('.')
    section = config
    for parent in parents:
        section = section[parent]
    section[last] = number
    context.checked = document.check_document(config)


@behave.then('it is refused with a problem that names "{named}"')
def then_problem_named(context, named):
    match context.checked:
        case document.Invalid():
            problems = context.checked.problems
            assert any(text.startswith(named) for text in problems), problems
            return
    raise AssertionError(context.checked)
