"""Steps that run `guavaroadctl` against fake instances."""

import contextlib
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading

import behave
import ctl_fake as fakes

from guavaroad.domain import codes
from guavaroad_standins import ports, processes

JOB_PATH = '/v1/jobs/render/submissions'
ID_PATH = '/v1/submission-ids'
LOOKUP_PATH = '/v1/submissions/zone~1'
CONFIG_PATH = '/v1/config'
CALL_TIMEOUT_S = 60
MINTED = fakes.Says(
    body=fakes.answer(
        'IDS_MINTED', code=1003, extra={'submission_ids': ['zone~1']}
    )
)
COMPLETE = fakes.Says(
    body=fakes.answer(
        'COMPLETE',
        code=1000,
        submission_id='zone~1',
        answers=[{'echo': 'one'}, {'echo': 'two'}],
    )
)
PENDING = fakes.Says(
    body=fakes.answer(
        'PENDING', code=1002, extra={'state': 'started', 'tasks_done': 1}
    )
)


def fake_for(context, *, count=1):
    context.instances = [started_fake(context) for _ in range(count)]
    context.fake = context.instances[0]
    context.addresses = [one.address for one in context.instances]
    context.stdin = ''


def started_fake(context):
    fake = fakes.FakeInstance()
    context.add_cleanup(fake.close)
    fake.on('POST', ID_PATH, MINTED)
    fake.on('POST', JOB_PATH, COMPLETE)
    return fake


def file_of(text):
    folder = pathlib.Path(tempfile.mkdtemp(prefix='guavaroadctl-'))
    path = folder / 'given.json'
    path.write_text(text)
    return path


def command(context, words, token='long-secret'):
    addresses = ','.join(context.addresses)
    return [
        sys.executable,
        '-m',
        'guavaroadctl.main',
        f'--address={addresses}',
        f'--token={token}',
        *words,
    ]


def call_ctl(context, *words, token='long-secret'):
    done = subprocess.run(
        command(context, words, token),
        input=getattr(context, 'stdin', ''),
        capture_output=True,
        text=True,
        timeout=CALL_TIMEOUT_S,
        check=False,
    )
    context.exit_code = done.returncode
    context.printed = done.stdout
    context.noted = done.stderr


@behave.given('a fake instance')
def given_fake(context):
    fake_for(context)


@behave.given('{count:d} fake instances')
def given_fakes(context, count):
    fake_for(context, count=count)


@behave.given('an address where nobody listens comes first')
def given_dead_first(context):
    dead = f'127.0.0.1:{ports.free_port()}'
    context.addresses = [dead, *getattr(context, 'addresses', [])]


@behave.given('nobody listens at the only address')
def given_dead(context):
    context.addresses = [f'127.0.0.1:{ports.free_port()}']


@behave.given('the first {count:d} submissions end with a broken line')
def given_dropped(context, count):
    drops = [fakes.Drops() for _ in range(count)]
    context.fake.on('POST', JOB_PATH, *drops, COMPLETE)


@behave.given('every submission ends with a broken line')
def given_all_dropped(context):
    context.fake.on('POST', JOB_PATH, fakes.Drops())


@behave.given('the submission is answered after {count:d} lookups')
def given_slow(context, count):
    fake = context.fake
    fake.on('GET', LOOKUP_PATH, PENDING)
    fake.on(
        'POST',
        JOB_PATH,
        fakes.Says(
            body=COMPLETE.body,
            after=lambda: len(fake.requests('GET', LOOKUP_PATH)) >= count,
        ),
    )


@behave.given('the submission is only recorded, and ends by the next lookup')
def given_recorded(context):
    recorded = fakes.Says(
        status=202,
        body=fakes.answer('ACCEPTED', code=1001, submission_id='zone~1'),
    )
    context.fake.on('POST', JOB_PATH, recorded)
    context.fake.on('GET', LOOKUP_PATH, PENDING, COMPLETE)


@behave.given('the submission is answered with code {number:d}')
def given_code(context, number):
    try:
        name = codes.ResultCode(number).name
    except ValueError:
        name = 'NEWER'
    status = 200 if name == 'COMPLETE' else 503
    body = fakes.answer(name, code=number)
    context.fake.on('POST', JOB_PATH, fakes.Says(status=status, body=body))


@behave.given('every page is answered with a web page of a proxy')
def given_foreign(context):
    page = fakes.Says(status=502, body=b'<html>Bad Gateway</html>')
    for method, path in (
        ('GET', CONFIG_PATH),
        ('GET', '/v1/state'),
        ('POST', ID_PATH),
    ):
        context.fake.on(method, path, page)


@behave.given('version {version:d} of the configuration is {document}')
def given_config(context, version, document):
    extra = {'version': version, 'document': json.loads(document)}
    body = fakes.answer('CONFIGURATION', code=5000, extra=extra)
    context.fake.on('GET', CONFIG_PATH, fakes.Says(body=body))


@behave.given('the configuration is never answered')
def given_silent(context):
    held = fakes.Says(body={}, after=fakes.never)
    context.fake.on('GET', CONFIG_PATH, held)


@behave.given('a patch ends with a broken line')
def given_patch_dropped(context):
    for fake in context.instances:
        fake.on('PATCH', CONFIG_PATH, fakes.Drops())


@behave.given('the instances serve versions {versions}')
def given_versions(context, versions):
    served = [json.loads(text) for text in versions.split(' then ')]
    for position, fake in enumerate(context.instances):
        steps = [
            fakes.Says(body=state_of(context, each[position]))
            for each in served
        ]
        fake.on('GET', '/v1/state', *steps)
        fake.on('GET', '/readyz', fakes.Says(body={'ready': True}))
    context.addresses = context.addresses[:1]


def state_of(context, version):
    peers = [
        {'address': fake.address, 'state': 'alive'}
        for fake in context.instances
    ]
    gone = {'address': '127.0.0.1:1', 'state': 'dead'}
    return {
        'instance': {'availability_zone': 'kigali-1'},
        'configuration': {'version': version},
        'membership': {'peers': [*peers, gone]},
        'upstreams': [
            {
                'name': 'up-1',
                'slots': 8,
                'running': 2,
                'state': 'serving' if version == 3 else 'ejected',
                'reason': '' if version == 3 else '5 failures in a row',
            }
        ],
    }


@behave.given('standard input is {text}')
def given_stdin(context, text):
    context.stdin = json.loads(text)


@behave.when('the tasks {text} are submitted')
def when_submitted(context, text):
    call_ctl(context, 'submit', 'render', str(file_of(text)))


@behave.when('the tasks {text} are submitted with {flag}')
def when_submitted_with(context, text, flag):
    call_ctl(context, 'submit', 'render', str(file_of(text)), flag)


@behave.when('guavaroadctl is called with "{words}"')
def when_called(context, words):
    call_ctl(context, *words.split())


@behave.when('the patch {text} is given to "{words}"')
def when_patched(context, text, words):
    call_ctl(context, *words.split(), str(file_of(text)))


@behave.when('a submission is interrupted while it waits')
def when_interrupted(context):
    held = fakes.Says(body={}, after=fakes.never)
    context.fake.on('POST', JOB_PATH, held)
    interrupt(context, signal.default_int_handler)


@behave.when('a submission that ignores interrupts gets one while it waits')
def when_interrupted_in_vain(context):
    interrupted = threading.Event()
    late = fakes.Says(body=COMPLETE.body, after=interrupted.is_set)
    context.fake.on('POST', JOB_PATH, late)
    interrupt(context, signal.SIG_IGN, then=interrupted.set)


@contextlib.contextmanager
def interrupts_handled_by(handler):
    # A child inherits that interrupts are ignored, as they are in the
    # background jobs of a shell; any other handler it gets as the default.
    before = signal.signal(signal.SIGINT, handler)
    try:
        yield
    finally:
        signal.signal(signal.SIGINT, before)


def interrupt(context, handler, then=None):
    words = ['submit', 'render', str(file_of('[1]'))]
    with interrupts_handled_by(handler):
        child = subprocess.Popen(
            command(context, words),
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
    context.add_cleanup(child.kill)
    processes.wait_until(
        lambda: context.fake.requests('POST', JOB_PATH), 'it was sent'
    )
    child.send_signal(signal.SIGINT)
    if then is not None:
        then()
    said = child.communicate(timeout=CALL_TIMEOUT_S)
    context.printed = said[0]
    context.noted = said[1]
    context.exit_code = child.returncode


@behave.then('it exits with {code:d}')
def then_exits(context, code):
    shown = (context.exit_code, context.printed, context.noted)
    assert context.exit_code == code, shown
    assert 'Traceback' not in context.noted, context.noted


@behave.then('it prints "{text}"')
def then_prints(context, text):
    assert text in context.printed, (context.printed, context.noted)


@behave.then('it prints the lines')
def then_prints_lines(context):
    assert context.printed.strip() == context.text.strip(), context.printed


@behave.then('it prints JSON whose {key} is {text}')
def then_prints_json(context, key, text):
    printed = json.loads(context.printed)
    assert printed[key] == json.loads(text), printed


@behave.then('it notes "{text}"')
def then_notes(context, text):
    assert text in context.noted, (context.printed, context.noted)


@behave.then('the job was sent {count:d} times, each under the id "{key}"')
def then_sent(context, count, key):
    sent = context.fake.requests('POST', JOB_PATH)
    assert len(sent) == count, len(sent)
    assert {one.headers['Idempotency-Key'] for one in sent} == {key}


@behave.then('the job was sent with the payloads {text}')
def then_payloads(context, text):
    sent = context.fake.requests('POST', JOB_PATH)
    tasks = json.loads(sent[0].body)['tasks']
    assert [task['payload'] for task in tasks] == json.loads(text), tasks


@behave.then('no id was asked for')
def then_no_id(context):
    assert not context.fake.requests('POST', ID_PATH)


@behave.then('nothing was sent')
def then_nothing_sent(context):
    assert not context.fake.asked, context.fake.asked


@behave.then('the patch was sent once')
def then_patch_once(context):
    sent = [
        one
        for fake in context.instances
        for one in fake.requests('PATCH', CONFIG_PATH)
    ]
    assert len(sent) == 1, sent
