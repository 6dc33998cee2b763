"""Steps for submission ids."""

import behave

from guavaroad.domain import identity, names


@behave.given('an incarnation of zone "{zone}" at "{address}"')
def given_incarnation(context, zone, address):
    context.incarnation = identity.Incarnation(
        availability_zone=names.AvailabilityZone(zone),
        address=names.ClientAddress(address),
        epoch=names.Epoch('c0ffee'),
    )


@behave.when('it mints an id for team "{team}"')
def when_mints(context, team):
    context.minted = identity.ParsedId(
        owner=context.incarnation,
        sequence=7,
        minted_s=1_700_000_000,
        team=names.TeamName(team),
    )
    context.minted_id = identity.format_id(context.minted)
    context.parsed = identity.parse_id(context.minted_id)


@behave.when('the text {text} is parsed as an id')
def when_parsed(context, text):
    context.parsed = identity.parse_id(text)


@behave.when('the team in the id is changed to "{team}"')
def when_team_changed(context, team):
    context.parsed = identity.parse_id(
        context.minted_id.replace(context.minted.team, team)
    )


@behave.then('the id parses to the same owner, team and sequence')
def then_same(context):
    assert context.parsed == context.minted


@behave.then('the id is refused because {reason}')
def then_refused(context, reason):
    assert context.parsed == identity.InvalidId(reason=reason)
