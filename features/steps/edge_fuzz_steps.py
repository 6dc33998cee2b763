"""Steps that fuzz the decoders; the same inputs every run."""

import functools

import behave
import edge_steps
import edge_support
import hypothesis

from guavaroad import settings
from guavaroad.domain import identity, jobs
from guavaroad.domain.configuration import document, merge_patch
from guavaroad.services import requests

strategies = hypothesis.strategies

SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=20)
)
FIELDS = strategies.sampled_from(
    [
        'tasks',
        'payload',
        'deadline_ms',
        'declared_ms',
        'jobs',
        'teams',
        'classes',
        'urgent',
        'share',
        'weight',
        'instance',
        'platform',
        'limits',
        'tokens',
        'token',
        'peers',
        'logs',
        'drain_s',
        'url',
    ]
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            FIELDS | strategies.text(max_size=8), inner, max_size=4
        )
    ),
    max_leaves=12,
)
BODIES = strategies.binary(max_size=200) | strategies.builds(
    lambda tasks, rest: b'{"tasks": [%s], "deadline_ms": %s}' % (tasks, rest),
    strategies.binary(max_size=40),
    strategies.binary(max_size=12),
)
IDS = strategies.text(max_size=300) | strategies.builds(
    '~'.join, strategies.lists(strategies.text(max_size=12), max_size=8)
)
CONTINUE = 'HTTP/1.1 100 Continue\r\n\r\n'
HEADER_NAMES = strategies.sampled_from(
    [
        'Idempotency_Key',
        'If_Match',
        'Content_Type',
        'Content_Length',
        'Transfer_Encoding',
        'Expect',
        'Connection',
        'Cookie',
    ]
)
HEADER_TEXTS = strategies.text(
    strategies.characters(min_codepoint=1, max_codepoint=255), max_size=30
)


def decode_body(sent):
    decoded = requests.decode_body(sent)
    assert isinstance(decoded, requests.SubmitBody | jobs.JobEnded)


def parse_id(text):
    parsed = identity.parse_id(text)
    assert isinstance(parsed, identity.ParsedId | identity.InvalidId)


def check_document(raw):
    checked = document.check_document(raw)
    assert isinstance(checked, document.Document | document.Invalid)


def check_settings(raw):
    checked = settings.check_settings('fuzz.yaml', raw)
    assert isinstance(checked, settings.Settings | settings.BadSettings)


def check_patch(raw):
    merged = merge_patch.apply_patch(edge_support.document(), raw)
    check_document(merged)


def decoder_named(name):
    return {
        'submission body': (decode_body, BODIES),
        'submission id': (parse_id, IDS),
        'configuration': (check_document, VALUES),
        'settings': (check_settings, VALUES),
        'merge patch': (check_patch, VALUES),
    }[name]


def check_drawn(check, drawn):
    check(drawn)


def fuzz(check, count, inputs):
    same_every_run = hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=count,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    given = hypothesis.given(check=strategies.just(check), drawn=inputs)
    same_every_run(given(check_drawn))()


@behave.when('the {decoder} is fuzzed with {count:d} inputs')
def when_fuzzed(context, decoder, count):
    check, inputs = decoder_named(decoder)
    fuzz(check, count, inputs)


@behave.then('it never raised')
def then_never(context):
    """The step before would have failed."""


def send_bytes(instance, sent):
    line = instance.connect()
    line.send(sent)
    line.hang_up()


@behave.when('{count:d} connections send fuzzed bytes')
def when_bytes(context, count):
    lines = strategies.lists(strategies.binary(max_size=60), max_size=6)
    send = functools.partial(send_bytes, context.instance)
    fuzz(send, count, lines.map(b'\r\n'.join))


def send_changed(context, drawn):
    headers, path = drawn
    line = context.instance.connect()
    line.send(
        edge_support.request(path=f'/{path}', body=edge_steps.GOOD, **headers)
    )
    context.texts.append(line.text())
    line.hang_up()


@behave.when(
    '{count:d} connections send a good request with fuzzed headers and path'
)
def when_changed(context, count):
    context.texts = []
    headers = strategies.dictionaries(HEADER_NAMES, HEADER_TEXTS, max_size=3)
    paths = HEADER_TEXTS | strategies.just('v1/jobs/render/submissions')
    send = functools.partial(send_changed, context)
    fuzz(send, count, strategies.tuples(headers, paths))


@behave.then('every answer carries a result code')
def then_codes(context):
    for text in context.texts:
        assert '"code":9000' not in text, text
        assert '"code":' in text or text in {'', CONTINUE}, text
