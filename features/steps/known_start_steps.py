"""Steps for what an owner and its allocator know of the starts of a job."""

import behave

from guavaroad.domain import names
from guavaroad.domain.pool import messages, open_jobs, values
from steps import unconfirmed_steps

SECOND = values.InstanceName('second')
PAYLOAD = 'payload'


def failed_task():
    """Return a task of which only the end of a run is known."""
    return messages.DeclaredTask(
        name=unconfirmed_steps.TASK, cpu=1000, failures=1
    )


def job_declaration(task, payload):
    """Return a declaration of the job by its owner."""
    return messages.Declare(
        job=unconfirmed_steps.JOB,
        pool='pool',
        urgency=0,
        max_attempts=4,
        payload=payload,
        estimate_ms=900,
        age_ms=0,
        objective_ms=600,
        client_timeout_ms=6000,
        tasks=(task,),
        owner_has_payload=not payload,
        starts_known=True,
    )


@behave.when('the owner declares a job of which a run has failed')
def when_failed_declared(context):
    context.machine.job_admission.declare(
        unconfirmed_steps.OWNER,
        job_declaration(failed_task(), PAYLOAD),
        context.now_s,
    )


@behave.when('another instance declares the job, of which a run has failed')
def when_declared_by_other(context):
    unconfirmed_steps.declare_from(
        context, SECOND, failed_task(), unconfirmed=False
    )


@behave.when('that instance withdraws the job')
def when_other_withdraws(context):
    context.machine.job_admission.withdraw(
        SECOND, messages.Withdraw(job=unconfirmed_steps.JOB)
    )


@behave.given(
    'an allocator with {workers:d} workers and a job declared without its payload'
)
def given_without_payload(context, workers):
    unconfirmed_steps.take_over(context, workers)
    declare_payload(context, '')


def declare_payload(context, payload):
    task = messages.DeclaredTask(name=unconfirmed_steps.TASK, cpu=1000)
    context.machine.job_admission.declare(
        unconfirmed_steps.OWNER, job_declaration(task, payload), context.now_s
    )


@behave.when('the owner declares the job again with its payload')
def when_with_payload(context):
    declare_payload(context, PAYLOAD)


@behave.then('the start of the task has the payload')
def then_payload(context):
    decided = unconfirmed_steps.decisions(context.machine, context.now_s)
    starts = unconfirmed_steps.starts_in(decided)
    assert [start.payload for start in starts] == [PAYLOAD], starts
    assert not starts[0].owner_has_payload


@behave.given('an open job that was told of a failed run, but not of its start')
def given_failed_run(context):
    request = open_jobs.JobRequest(
        job_id=unconfirmed_steps.JOB,
        pool=names.PoolName('pool'),
        urgency=0,
        max_attempts=4,
        payload=PAYLOAD,
        estimate_ms=900,
        objective_ms=600,
        client_timeout_ms=6000,
        tasks=(
            open_jobs.TaskRequest(
                name=unconfirmed_steps.TASK, need=values.Amount(cpu=1000)
            ),
        ),
    )
    context.open_job = open_jobs.open_job(
        request,
        attempt=values.AttemptNumber(1),
        now_s=0,
        on_outcome=lambda _: None,
    )
    context.open_job.record_end(
        messages.Ended(job=request.job_id, index=0, kind=values.EndKind.FAILED)
    )


@behave.then('its outcome is unknown when the allocator gives it up')
def then_unknown(context):
    outcome = context.open_job.given_up_outcome(
        messages.GivenUp(
            job=unconfirmed_steps.JOB,
            reason=values.GiveUpReason.TOO_LATE,
            may_have_started=False,
        )
    )
    assert isinstance(outcome, open_jobs.OutcomeUnknown), outcome


@behave.when(
    'a job starts, its instance is cut off, and its client sends it there again {seconds:g} s later'
)
def when_sent_again(context, seconds):
    pool = context.pool
    zone = pool.allocator().zone
    owner = next(
        instance
        for instance in pool.instances.values()
        if instance.zone != zone
    )
    request = pool.request(tasks=2, work_ms=60)
    pool.hand_in(owner.name, request)
    while not pool.promises.job(request.job_id).starts:
        pool.run(0.005)
    pool.cut_instances = {owner.name}
    owner.cluster.is_disconnected = True
    pool.run(seconds)
    context.second_attempt = pool.hand_in(owner.name, request)


@behave.then('the second attempt does not claim to know every start')
def then_not_known(context):
    assert not context.second_attempt.starts_known


@behave.when('the cut ends')
def when_cut_ends(context):
    context.pool.heal()


@behave.then('its instance has withdrawn it')
def then_withdrawn(context):
    withdrawn = [
        sent.message.job
        for sent in context.pool.network.messages
        if isinstance(sent.message, messages.Withdraw)
    ]
    assert context.last_job in withdrawn, withdrawn
