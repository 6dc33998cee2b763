"""Steps that fuzz the decoders with deterministic inputs."""

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


def decode_body(data):
    decoded = requests.decode_body(data)
    assert isinstance(decoded, requests.SubmitBody | jobs.JobNotCompleted)


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
    deterministic = hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=count,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    given = hypothesis.given(check=strategies.just(check), drawn=inputs)
    deterministic(given(check_drawn))()


@behave.when('the {decoder} is fuzzed with {count:d} inputs')
def when_fuzzed(context, decoder, count):
    check, inputs = decoder_named(decoder)
    fuzz(check, count, inputs)


@behave.then('no input raises an exception')
def then_no_exception(context):
    """Nothing to check: an exception fails the step before."""


def send_bytes(instance, data):
    connection = instance.connect()
    connection.send(data)
    connection.disconnect()


@behave.when('{count:d} connections send fuzzed bytes')
def when_fuzzed_bytes(context, count):
    lines = strategies.lists(strategies.binary(max_size=60), max_size=6)
    send = functools.partial(send_bytes, context.instance)
    fuzz(send, count, lines.map(b'\r\n'.join))


def send_fuzzed_request(context, drawn):
    headers, path = drawn
    connection = context.instance.connect()
    connection.send(
        edge_support.request(path=f'/{path}', body=edge_steps.GOOD, **headers)
    )
    context.responses.append(connection.text())
    connection.disconnect()


@behave.when(
    '{count:d} connections send a valid request with fuzzed headers and path'
)
def when_fuzzed_requests(context, count):
    context.responses = []
    headers = strategies.dictionaries(HEADER_NAMES, HEADER_TEXTS, max_size=3)
    paths = HEADER_TEXTS | strategies.just('v1/jobs/render/submissions')
    send = functools.partial(send_fuzzed_request, context)
    fuzz(send, count, strategies.tuples(headers, paths))


@behave.then('every answer carries a result code')
def then_result_codes(context):
    for text in context.responses:
        assert '"code":9000' not in text, text
        assert '"code":' in text or text in {'', CONTINUE}, text
