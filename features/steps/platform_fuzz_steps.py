"""Steps that fuzz the decoders of the platform program.

The inputs are derived from a fixed seed, so that every run uses the same ones.
"""

import json
import types

import behave
import hypothesis
import msgspec

from guavaroad.adapters import base64_text, http_connection, http_listener
from guavaroad.domain import names
from guavaroad.domain.pool import open_jobs, outcomes, routing, worker
from guavaroad.ports import platform, pool
from guavaroad_platform import codec, store, submissions, workers
from support import platform_requests

strategies = hypothesis.strategies

JOB_ID = '0123456789abcdef'
HOUR_MS = 3_600_000
ROUTE = routing.Route(
    name='r',
    host='jobs.example',
    prefix='/q/',
    pool=names.PoolName('pool'),
    urgency=1,
    max_attempts=2,
    stretch=1.6,
    grace_ms=60,
    timeout_ms=1500,
)
ENTRY = types.MappingProxyType(
    {
        'Service': 'pool',
        'Address': '10.0.0.1:80',
        'Zone': 'a',
        'State': 'ready',
        'Capacity': {'Cpu': 1000, 'MemMb': 10},
        'Labels': ['a'],
        'born': 7,
    }
)
REPORT = types.MappingProxyType(
    {
        'ClockMs': 5,
        'Running': [['t', 1, '', 40, 0]],
        'Ended': [[1, 't', 1, 'done', '']],
        'born': 7,
    }
)
ROWS = types.MappingProxyType(
    {
        'rows': [{'Key': 'k', 'Value': 'e30=', 'ApiVersion': 1}],
        'HasMore': False,
        'ApiVersion': 1,
        'NowMs': 1,
    }
)
SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=12)
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=6), inner, max_size=3
        )
    ),
    max_leaves=8,
)


def mutated(document, data):
    """Return a document with one value replaced, at any depth."""
    if isinstance(document, dict) and document:
        key = data.draw(strategies.sampled_from(sorted(document)))
        if data.draw(strategies.booleans()):
            return document | {key: data.draw(VALUES)}
        return document | {key: mutated(document[key], data)}
    if isinstance(document, list) and document:
        return [mutated(document[0], data), *document[1:]]
    return data.draw(VALUES)


def fuzzed_body(document, data):
    """Return random bytes, or a mutated and possibly truncated document."""
    if data.draw(strategies.booleans()):
        return data.draw(strategies.binary(max_size=60))
    body = json.dumps(mutated(dict(document), data)).encode()
    depth = data.draw(strategies.sampled_from((0, 1200, 5000)))
    if depth:
        nested = '[' * depth + ']' * depth
        body = b'{"Nested":%s,%s' % (nested.encode(), body[1:])
    return body[: data.draw(strategies.integers(0, 2 * len(body)))]


def request_of(body, headers=None):
    """Return a POST request."""
    request = http_listener.Request(connection=None, method='POST')
    request.body = body
    request.headers = headers or {}
    return request


def check_fits_links(decoded):
    """Check that messages between instances can hold a decoded value."""
    msgspec.msgpack.encode(decoded)


def decode_submission(data):
    """Decode a submission; the amounts of an accepted one are not negative."""
    body = fuzzed_body(platform_requests.valid_job(), data)
    decoded = submissions.parse_request(request_of(body), ROUTE, JOB_ID, 1)
    if isinstance(decoded, open_jobs.JobRequest):
        needs = [task.need for task in decoded.tasks]
        assert min(need.cpu for need in needs) >= 0
        assert min(need.memory_mb for need in needs) >= 0
        assert decoded.estimate_ms >= 0
        check_fits_links(decoded)
        return
    assert isinstance(decoded, submissions.Refusal), decoded
    assert decoded.status.value in {400, 503}


def decode_entry(data):
    """Decode an entry of a worker between two valid ones."""
    valid = json.dumps(dict(ENTRY)).encode()
    fuzzed = ('w', fuzzed_body(ENTRY, data))
    rows = pool.WorkerRows(rows=(('v1', valid), fuzzed, ('v2', valid)))
    decoded = codec.Codec().worker_infos(rows)
    assert {'v1', 'v2'} <= {entry.worker_id for entry in decoded}
    for worker_info in decoded:
        assert isinstance(worker_info, worker.WorkerInfo)
        assert worker_info.capacity.cpu > 0
        check_fits_links(worker_info)


def decode_configuration(data):
    """Decode a configuration."""
    body = fuzzed_body(platform_requests.config(), data)
    decoded = codec.Codec().configuration(body)
    assert decoded is None or isinstance(decoded, routing.Configuration)
    check_fits_links(decoded)


def decode_report(data):
    """Decode a worker's response to a status poll."""
    status = data.draw(strategies.sampled_from((200, 409, 421, 500)))
    reply = http_connection.Reply(status=status, body=fuzzed_body(REPORT, data))
    decoded = workers.poll_outcome(reply)
    kinds = (outcomes.RunReport, outcomes.Refused, outcomes.NoAnswer)
    assert isinstance(decoded, kinds), decoded
    check_fits_links(decoded)


def decode_order(data):
    """Decode a worker's response to an order."""
    status = data.draw(strategies.sampled_from((200, 400, 409, 421, 500)))
    valid = {'ClockMs': 5, 'Reason': 'fence'}
    reply = http_connection.Reply(status=status, body=fuzzed_body(valid, data))
    decoded = workers.order_outcome(reply)
    kinds = (outcomes.Accepted, outcomes.Refused, outcomes.NoAnswer)
    assert isinstance(decoded, kinds), decoded
    check_fits_links(decoded)


def decode_rows(data):
    """Decode rows of the store and their values."""
    reply = http_connection.Reply(status=200, body=fuzzed_body(ROWS, data))
    decoded = store.decode_rows(reply)
    if not isinstance(decoded, platform.Away):
        assert all(
            isinstance(base64_text.decode(row.content), bytes)
            for row in decoded.rows
        )


DECODERS = types.MappingProxyType(
    {
        'the decoder of submissions': decode_submission,
        'the decoder of worker entries': decode_entry,
        'the decoder of configurations': decode_configuration,
        'the decoder of run reports': decode_report,
        'the decoder of order responses': decode_order,
        'the decoder of store rows': decode_rows,
    }
)


@behave.then('{decoder} accepts or refuses any generated input')
def then_decoded(_, decoder):
    fuzzed = hypothesis.given(strategies.data())(DECODERS[decoder])
    settings = hypothesis.settings(
        derandomize=True, max_examples=400, database=None, deadline=None
    )
    settings(fuzzed)()


@behave.then('a step whose {field} is {wrong} is refused with status 400')
def then_step_refused(_, field, wrong):
    step = {'Count': 1, 'Cpu': 1, field: json.loads(wrong)}
    body = json.dumps(platform_requests.valid_job(Steps=[step])).encode()
    decoded = submissions.parse_request(request_of(body), ROUTE, JOB_ID, 1)
    assert isinstance(decoded, submissions.Refusal), decoded
    assert decoded.status.value == 400, decoded


@behave.then('a worker entry with address {address} is ignored')
def then_ignored(_, address):
    body = json.dumps(dict(ENTRY) | {'Address': address}).encode()
    rows = pool.WorkerRows(rows=(('w', body),))
    assert not codec.Codec().worker_infos(rows)


@behave.then(
    'the timeout of a client whose deadline has {digits:d} digits is an hour'
)
def then_bounded(_, digits):
    request = request_of(b'', {'deadline-ms': '9' * digits})
    assert submissions.client_timeout_ms(request) == HOUR_MS
