"""Steps for the result code and detail of an ended submission."""

import behave
import msgspec

from guavaroad.domain import attempts, codes, jobs, names
from guavaroad.domain.submissions import submission


def request_of(count):
    task = jobs.TaskSpec(payload=msgspec.Raw(b'{}'))
    return jobs.JobRequest(
        submission_id=names.SubmissionId('any'),
        team=names.TeamName('office'),
        job=names.JobName('render'),
        urgency=jobs.Urgency.NORMAL,
        pool=names.PoolName('main'),
        tasks=(task,) * count,
        deadline_s=60,
        digest='',
    )


@behave.given('a submission of {total:d} tasks of which {count:d} has started')
def given_started(context, total, count):
    context.job = submission.Submission(request=request_of(total))
    context.started = range(count)
    for index in context.started:
        assert context.job.start(names.TaskIndex(index))


@behave.when('it ends as {name} and the started tasks answer')
def when_ends(context, name):
    code = codes.ResultCode[name]
    context.job.end(code, codes.info_of(code).meaning)
    for index in context.started:
        answered = attempts.Answered(body=msgspec.Raw(b'1'))
        context.job.finish(names.TaskIndex(index), answered)


@behave.then('its outcome is {name} with detail {detail}')
def then_outcome(context, name, detail):
    outcome = context.job.outcome()
    assert outcome.code is codes.ResultCode[name], outcome
    assert outcome.detail == detail, outcome
