"""Steps that check where the names of the platform's wire format occur."""

import pathlib

import behave

ROOT = pathlib.Path(__file__).resolve().parents[2]
# `TaskSpec` is not listed: the packages have used this name independently of the
# platform.
WIRE_NAMES = (
    'ApiVersion',
    'CloudApi',
    'Deadline-Ms',
    'EstimateMs',
    'FencingToken',
    'GUAVAROAD_SETTINGS',
    'InternalPorts',
    'LastSeen',
    'MemMb',
    'PathPrefix',
    'Target-Instance',
    'TableName',
    'UntilMs',
    'WaitMs',
    'guavaroad/hold',
    'minion',
    'rows-feed',
    'rows-get',
    'rows-tx',
    'run-start',
    'run-stop',
    'given/kit',
    'fleetbench',
)


@behave.when('the sources of the packages and the stand-ins are read')
def when_read(context):
    context.sources = [
        path
        for folder in ('packages', 'standins', 'bench', 'tools')
        for path in (ROOT / folder).rglob('*.py')
    ]


@behave.when('the sources of platform/ are read')
def when_platform(context):
    context.sources = list((ROOT / 'platform').rglob('*.py'))


@behave.then("none of them has a name of the platform's wire format")
def then_none(context):
    assert len(context.sources) > 100
    found = [
        (path.name, name)
        for path in context.sources
        for name in WIRE_NAMES
        if name in path.read_text()
    ]
    assert not found, found


@behave.then('they have fewer than {count:d} lines')
def then_small(context, count):
    assert context.sources
    lines = sum(len(path.read_text().splitlines()) for path in context.sources)
    assert lines < count, lines
