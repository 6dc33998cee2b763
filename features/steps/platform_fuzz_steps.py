"""Steps that fuzz what the users' program reads; the same inputs every run."""

import json
import types

import behave
import hypothesis

from guavaroad.adapters import http_door, http_line
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
LOOK = types.MappingProxyType(
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


def changed(document, data):
    """Return a good document with one of its values, at any depth, replaced."""
    if isinstance(document, dict) and document:
        key = data.draw(strategies.sampled_from(sorted(document)))
        if data.draw(strategies.booleans()):
            return document | {key: data.draw(VALUES)}
        return document | {key: changed(document[key], data)}
    if isinstance(document, list) and document:
        return [changed(document[0], data), *document[1:]]
    return data.draw(VALUES)


def body_of(document, data):
    """Return bytes that are nothing, cut short, or a changed document."""
    if data.draw(strategies.booleans()):
        return data.draw(strategies.binary(max_size=60))
    body = json.dumps(changed(dict(document), data)).encode()
    return body[: data.draw(strategies.integers(0, 2 * len(body)))]


def visit_of(body, headers=None):
    """Return a request with a body."""
    visit = http_door.Visit(line=None, method='POST')
    visit.body = body
    visit.headers = headers or {}
    return visit


def read_submission(data):
    """Read a submission; what is taken asks for room that can exist."""
    body = body_of(platform_requests.good_job(), data)
    found = submissions.request_of(visit_of(body), ROUTE, JOB_ID, 1)
    if isinstance(found, open_jobs.JobRequest):
        needs = [task.need for task in found.tasks]
        assert min(one.cpu for one in needs) >= 0
        assert min(one.memory_mb for one in needs) >= 0
        assert found.estimate_ms >= 0
        return
    assert isinstance(found, submissions.Unacceptable), found
    assert found.status.value in {400, 503}


def read_entry(data):
    """Read an entry of a worker."""
    rows = pool.WorkerRows(rows=(('w', body_of(ENTRY, data)),))
    for one in codec.Codec().facts(rows):
        assert isinstance(one, worker.Facts)
        assert one.capacity.cpu > 0


def read_configuration(data):
    """Read a configuration."""
    body = body_of(platform_requests.config(), data)
    found = codec.Codec().configuration(body)
    assert found is None or isinstance(found, routing.Configuration)


def read_list(data):
    """Read a worker's answer to a look."""
    status = data.draw(strategies.sampled_from((200, 409, 421, 500)))
    reply = http_line.Reply(status=status, body=body_of(LOOK, data))
    found = workers.look_outcome(reply)
    kinds = (outcomes.RunReport, outcomes.Refused, outcomes.NoAnswer)
    assert isinstance(found, kinds), found


def read_order(data):
    """Read a worker's answer to an order."""
    status = data.draw(strategies.sampled_from((200, 400, 409, 421, 500)))
    good = {'ClockMs': 5, 'Reason': 'fence'}
    reply = http_line.Reply(status=status, body=body_of(good, data))
    found = workers.order_outcome(reply)
    kinds = (outcomes.Accepted, outcomes.Refused, outcomes.NoAnswer)
    assert isinstance(found, kinds), found


def read_rows(data):
    """Read rows of the store, and what their values hold."""
    reply = http_line.Reply(status=200, body=body_of(ROWS, data))
    found = store.decode_rows(reply)
    if not isinstance(found, platform.Away):
        assert all(
            isinstance(codec.unpack(row.content), bytes) for row in found.rows
        )


READERS = types.MappingProxyType(
    {
        'the reader of submissions': read_submission,
        'the reader of worker entries': read_entry,
        'the reader of configurations': read_configuration,
        'the reader of lists of runs': read_list,
        'the reader of answers to orders': read_order,
        'the reader of rows of the store': read_rows,
    }
)


@behave.then('{reader} reads or refuses anything drawn')
def then_read(_, reader):
    fuzzed = hypothesis.given(strategies.data())(READERS[reader])
    settings = hypothesis.settings(
        derandomize=True, max_examples=400, database=None, deadline=None
    )
    settings(fuzzed)()


@behave.then('a step whose {field} is {wrong} is refused with status 400')
def then_step_refused(_, field, wrong):
    step = {'Count': 1, 'Cpu': 1, field: json.loads(wrong)}
    body = json.dumps(platform_requests.good_job(Steps=[step])).encode()
    found = submissions.request_of(visit_of(body), ROUTE, JOB_ID, 1)
    assert isinstance(found, submissions.Unacceptable), found
    assert found.status.value == 400, found


@behave.then('an entry whose address is {address} names no worker')
def then_no_worker(_, address):
    body = json.dumps(dict(ENTRY) | {'Address': address}).encode()
    rows = pool.WorkerRows(rows=(('w', body),))
    assert not codec.Codec().facts(rows)


@behave.then(
    'a client whose deadline has {digits:d} digits is taken to wait an hour'
)
def then_bounded(_, digits):
    visit = visit_of(b'', {'deadline-ms': '9' * digits})
    assert submissions.patience_ms(visit) == HOUR_MS
