"""Steps for submission ids and the cache of their outcomes."""

import behave
import msgspec
from twisted.internet import task

from guavaroad.adapters import reactor_timers
from guavaroad.domain import identity, jobs, names
from guavaroad.services import outcomes
from guavaroad.services.owning import minting

TEAM = names.TeamName('office')


def fill_cache(context, size, **bounds):
    clock = task.Clock()
    context.clock = clock
    context.minter = minting.Minter(
        incarnation=identity.Incarnation(
            availability_zone=names.AvailabilityZone('a'),
            address=names.ClientAddress('127.0.0.1:1'),
            epoch=names.Epoch('e'),
        ),
        timer_service=reactor_timers.ReactorTimers(
            clock=clock, wall_clock=clock.seconds
        ),
        id_lifetime_s=3600,
    )
    context.cache = outcomes.OutcomeCache(**bounds)
    context.ids = [context.minter.mint_parsed(TEAM) for _ in range(4)]
    answer = msgspec.Raw(msgspec.json.encode('x' * size))
    for parsed in context.ids[:3]:
        submission_id = identity.format_id(parsed)
        entry = outcomes.Entry(digest='d', sequence=parsed.sequence)
        context.cache.open(submission_id, entry)
        context.cache.close(submission_id, jobs.JobCompleted(answers=(answer,)))


@behave.given('a cache of {count:d} outcomes after 3 submissions have ended')
def given_count_bound(context, count):
    fill_cache(context, 1, kept_outcomes=count)


@behave.given(
    'a cache of {limit:d} bytes after 3 submissions of {size:d} bytes have ended'
)
def given_size_bound(context, limit, size):
    fill_cache(context, size, kept_outcomes=100, kept_bytes=limit)


@behave.when('{seconds:d} seconds pass at the minter')
def when_time_passes(context, seconds):
    context.clock.advance(seconds)


@behave.then('the id {sequence:d} is refused as {code}')
def then_id_refused(context, sequence, code):
    minted = context.ids[0]
    parsed = identity.ParsedId(
        owner=minted.owner,
        sequence=sequence,
        minted_s=minted.minted_s,
        team=TEAM,
    )
    assert context.cache.find(identity.format_id(parsed)) is None
    refusal = context.minter.refusal(parsed, context.cache.horizon)
    assert refusal.name == code, refusal


@behave.then('the id {sequence:d} is answered from the cache')
def then_id_cached(context, sequence):
    parsed = context.ids[sequence - 1]
    assert context.cache.find(identity.format_id(parsed)).outcome


@behave.when('the submission {sequence:d} runs here again and 3 others end')
def when_runs_again(context, sequence):
    returned_id = identity.format_id(context.ids[sequence - 1])
    context.cache.open(
        returned_id, outcomes.Entry(digest='d', sequence=sequence)
    )
    for _ in range(3):
        other = context.minter.mint_parsed(TEAM)
        other_id = identity.format_id(other)
        entry = outcomes.Entry(digest='d', sequence=other.sequence)
        context.cache.open(other_id, entry)
        context.cache.close(other_id, jobs.JobCompleted(answers=()))


@behave.then('the submission {sequence:d} is still open in the cache')
def then_still_open(context, sequence):
    parsed = context.ids[sequence - 1]
    entry = context.cache.find(identity.format_id(parsed))
    assert entry is not None
    assert entry.outcome is None
