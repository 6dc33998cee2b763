"""Steps for availability zones that the operator evacuates."""

import behave

from guavaroad.domain.pool import evacuations
from guavaroad_platform import store, wire


def write_evacuated(context, zones):
    """Write the evacuated zones to the store."""
    context.pool.store.evacuated = frozenset(zones)
    context.pool.store.position += 1
    context.starts_before = len(context.pool.history.starts)


def starts_in(context, zone):
    """Return the starts in a zone since the operator's last request."""
    pool = context.pool
    return [
        start
        for start in pool.history.starts[context.starts_before :]
        if pool.workers[start[2]].worker_info.zone == zone
    ]


@behave.when('zone "{zone}" is evacuated by the operator')
def when_evacuated(context, zone):
    write_evacuated(context, {zone})


@behave.when('the operator takes all zones back')
def when_returned(context):
    write_evacuated(context, set())


@behave.then('tasks have started since then, none of them in zone "{zone}"')
def then_no_start(context, zone):
    assert len(context.pool.history.starts) > context.starts_before
    found = starts_in(context, zone)
    assert not found, found


@behave.then('tasks have started in zone "{zone}" since then')
def then_starts(context, zone):
    assert starts_in(context, zone)


@behave.given('the zones "{zones}" are evacuated as of version {version:d}')
@behave.given('the zones "" are evacuated as of version {version:d}')
def given_zones(context, version, zones=''):
    context.evacuations = evacuations.Evacuations(
        version=version, zones=tuple(zones.split())
    )


@behave.when('a {kind} read as of version {version:d} has the rows "{keys}"')
def when_read(context, kind, version, keys):
    rows = [
        wire.StoredRow(key=key.removeprefix('-'), removed=key.startswith('-'))
        for key in keys.split()
    ]
    context.evacuations = evacuations.apply_changes(
        context.evacuations,
        store.zone_changes(rows, is_complete=kind == 'full'),
        version,
    )


@behave.then('the zones "{zones}" are evacuated as of version {version:d}')
@behave.then('the zones "" are evacuated as of version {version:d}')
def then_zones(context, version, zones=''):
    expected = evacuations.Evacuations(
        version=version, zones=tuple(zones.split())
    )
    assert context.evacuations == expected, context.evacuations
