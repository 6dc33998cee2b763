"""Steps for the last contact of an owner with an allocator."""

import behave
from twisted.internet import task

from guavaroad.adapters import reactor_timers
from guavaroad.domain import names
from guavaroad.domain.pool import messages, open_jobs, peer_messages, values
from guavaroad.services.pool import decision_log, job_owner
from support import pool_worlds

# Time between two contacts, in seconds.
BETWEEN_S = 2
TOKEN = values.Token(1)
JOB = values.JobId('1')


class RecordingLink:
    """Link that records what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        """Record a message."""
        self.sent.append(message)


def beat(sent_ms):
    return peer_messages.AllocatorBeat(
        config_version=1, list_age_ms=0, sent_ms=sent_ms
    )


def create_owner(context):
    context.clock = task.Clock()
    timers = reactor_timers.ReactorTimers(clock=context.clock)
    log = pool_worlds.LogRecorder()
    context.owner = job_owner.JobOwner(
        timer_service=timers,
        log=decision_log.DecisionLog(
            writer=log, counters=log, timer_service=timers
        ),
    )


def follow(context, token=TOKEN):
    context.link = RecordingLink()
    context.owner.on_allocator_linked(
        context.link, token, has_declared_jobs=False, launches=False
    )


@behave.given(
    'an owner that {contact} and then hears nothing for {seconds:g} s'
)
def given_owner(context, contact, seconds):
    create_owner(context)
    make_contact(context, contact)
    context.clock.advance(seconds)


def make_contact(context, contact):
    match contact:
        case 'follows an allocator':
            context.clock.advance(BETWEEN_S)
            follow(context)
        case 'answers a heartbeat':
            context.clock.advance(BETWEEN_S)
            context.owner.contact.on_beat(beat(0))
        case 'answers a heartbeat, and follows an allocator later':
            make_contact(context, 'answers a heartbeat')
            make_contact(context, 'follows an allocator')
        case 'answers a heartbeat of an older build':
            context.owner.contact.on_beat(beat(-1))
        case _:
            assert contact == 'has just started', contact


@behave.then('it declares its jobs with a contact age of {age_ms:d} ms')
def then_age(context, age_ms):
    assert abs(context.owner.contact.age_ms() - age_ms) <= 1


@behave.given(
    'an owner with an open job that answers a heartbeat and then hears nothing for {seconds:g} s'
)
def given_open_job(context, seconds):
    create_owner(context)
    follow(context)
    request = open_jobs.JobRequest(
        job_id=JOB,
        pool=names.PoolName('pool'),
        urgency=0,
        max_attempts=4,
        payload='',
        estimate_ms=900,
        objective_ms=600,
        client_timeout_ms=60_000,
        tasks=(),
    )
    context.owner.submit(request, lambda _: None)
    make_contact(context, 'answers a heartbeat')
    context.owner.on_allocator_lost()
    context.clock.advance(seconds)


@behave.when('it follows another allocator')
def when_follows(context):
    follow(context, values.Token(TOKEN + 1))


@behave.then('the job is declared there with a contact age of {age_ms:d} ms')
def then_declared(context, age_ms):
    ages_ms = [
        message.contact_age_ms
        for message in context.link.sent
        if isinstance(message, messages.Declare)
    ]
    assert len(ages_ms) == 1, ages_ms
    assert abs(ages_ms[0] - age_ms) <= 1, ages_ms


@behave.then(
    'each owner is away {long_s:g} s later, and not {short_s:g} s later'
)
def then_away(context, long_s, short_s):
    contacts = context.scene.machine.state.contacts
    for owner in context.owners:
        contact_s = contacts.contact_s[owner]
        assert contacts.is_away(owner, contact_s + long_s)
        assert not contacts.is_away(owner, contact_s + short_s)
