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
STATUS_PATH = '/v1/submissions/zone~1'
CONFIG_PATH = '/v1/config'
CALL_TIMEOUT_S = 60
NEW_ID = fakes.ScriptedResponse(
    body=fakes.answer(
        'IDS_MINTED', code=1003, extra={'submission_ids': ['zone~1']}
    )
)
COMPLETE = fakes.ScriptedResponse(
    body=fakes.answer(
        'COMPLETE',
        code=1000,
        submission_id='zone~1',
        answers=[{'echo': 'one'}, {'echo': 'two'}],
    )
)
PENDING = fakes.ScriptedResponse(
    body=fakes.answer(
        'PENDING', code=1002, extra={'state': 'started', 'tasks_done': 1}
    )
)


def start_fakes(context, *, count=1):
    context.instances = [start_fake(context) for _ in range(count)]
    context.fake = context.instances[0]
    context.addresses = [instance.address for instance in context.instances]
    context.stdin = ''


def start_fake(context):
    fake = fakes.FakeInstance()
    context.add_cleanup(fake.close)
    fake.script('POST', ID_PATH, NEW_ID)
    fake.script('POST', JOB_PATH, COMPLETE)
    return fake


def write_file(text):
    directory = pathlib.Path(tempfile.mkdtemp(prefix='guavaroadctl-'))
    path = directory / 'input.json'
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
    start_fakes(context)


@behave.given('{count:d} fake instances')
def given_fakes(context, count):
    start_fakes(context, count=count)


@behave.given('an address without a listener comes first')
def given_unused_first(context):
    unused = f'127.0.0.1:{ports.free_port()}'
    context.addresses = [unused, *getattr(context, 'addresses', [])]


@behave.given('the only address has no listener')
def given_unused(context):
    context.addresses = [f'127.0.0.1:{ports.free_port()}']


@behave.given(
    'the connections of the first {count:d} submissions are closed'
    ' without an answer'
)
def given_dropped(context, count):
    drops = [fakes.ConnectionDrop() for _ in range(count)]
    context.fake.script('POST', JOB_PATH, *drops, COMPLETE)


@behave.given('the connection of every submission is closed without an answer')
def given_all_dropped(context):
    context.fake.script('POST', JOB_PATH, fakes.ConnectionDrop())


@behave.given('the submission is answered after {count:d} status requests')
def given_slow(context, count):
    fake = context.fake
    fake.script('GET', STATUS_PATH, PENDING)
    fake.script(
        'POST',
        JOB_PATH,
        fakes.ScriptedResponse(
            body=COMPLETE.body,
            condition=lambda: len(fake.requests('GET', STATUS_PATH)) >= count,
        ),
    )


@behave.given(
    'the submission is only accepted, and ends by the second status request'
)
def given_accepted(context):
    accepted = fakes.ScriptedResponse(
        status=202,
        body=fakes.answer('ACCEPTED', code=1001, submission_id='zone~1'),
    )
    context.fake.script('POST', JOB_PATH, accepted)
    context.fake.script('GET', STATUS_PATH, PENDING, COMPLETE)


@behave.given('the submission is answered with code {number:d}')
def given_code(context, number):
    try:
        name = codes.ResultCode(number).name
    except ValueError:
        name = 'NEWER'
    status = 200 if name == 'COMPLETE' else 503
    body = fakes.answer(name, code=number)
    context.fake.script(
        'POST', JOB_PATH, fakes.ScriptedResponse(status=status, body=body)
    )


@behave.given('every request is answered with an error page of a proxy')
def given_proxy_error(context):
    page = fakes.ScriptedResponse(status=502, body=b'<html>Bad Gateway</html>')
    for method, path in (
        ('GET', CONFIG_PATH),
        ('GET', '/v1/state'),
        ('POST', ID_PATH),
    ):
        context.fake.script(method, path, page)


@behave.given('version {version:d} of the configuration is {document}')
def given_config(context, version, document):
    extra = {'version': version, 'document': json.loads(document)}
    body = fakes.answer('CONFIGURATION', code=5000, extra=extra)
    context.fake.script('GET', CONFIG_PATH, fakes.ScriptedResponse(body=body))


@behave.given('the request for the configuration is never answered')
def given_unanswered(context):
    unanswered = fakes.ScriptedResponse(body={}, condition=fakes.never)
    context.fake.script('GET', CONFIG_PATH, unanswered)


@behave.given('the connection of a patch is closed without an answer')
def given_patch_dropped(context):
    for fake in context.instances:
        fake.script('PATCH', CONFIG_PATH, fakes.ConnectionDrop())


@behave.given('the instances serve versions {versions}')
def given_versions(context, versions):
    served = [json.loads(text) for text in versions.split(' then ')]
    for position, fake in enumerate(context.instances):
        steps = [
            fakes.ScriptedResponse(body=state_of(context, step[position]))
            for step in served
        ]
        fake.script('GET', '/v1/state', *steps)
        fake.script(
            'GET', '/readyz', fakes.ScriptedResponse(body={'ready': True})
        )
    context.addresses = context.addresses[:1]


def state_of(context, version):
    peers = [
        {'address': fake.address, 'state': 'alive'}
        for fake in context.instances
    ]
    dead = {'address': '127.0.0.1:1', 'state': 'dead'}
    return {
        'instance': {'availability_zone': 'kigali-1'},
        'configuration': {'version': version},
        'membership': {'peers': [*peers, dead]},
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
    call_ctl(context, 'submit', 'render', str(write_file(text)))


@behave.when('the tasks {text} are submitted with {flag}')
def when_submitted_with(context, text, flag):
    call_ctl(context, 'submit', 'render', str(write_file(text)), flag)


@behave.when('guavaroadctl is called with "{words}"')
def when_called(context, words):
    call_ctl(context, *words.split())


@behave.when('the patch {text} is given to "{words}"')
def when_patched(context, text, words):
    call_ctl(context, *words.split(), str(write_file(text)))


@behave.when('a submission is interrupted while it waits')
def when_interrupted(context):
    unanswered = fakes.ScriptedResponse(body={}, condition=fakes.never)
    context.fake.script('POST', JOB_PATH, unanswered)
    interrupt(context, signal.default_int_handler)


@behave.when('a submission that ignores interrupts receives one while it waits')
def when_interrupt_ignored(context):
    interrupted = threading.Event()
    delayed = fakes.ScriptedResponse(
        body=COMPLETE.body, condition=interrupted.is_set
    )
    context.fake.script('POST', JOB_PATH, delayed)
    interrupt(context, signal.SIG_IGN, then=interrupted.set)


@contextlib.contextmanager
def interrupts_handled_by(handler):
    # A child process inherits SIG_IGN, which shells set for background jobs;
    # any other handler is reset to the default in the child.
    before = signal.signal(signal.SIGINT, handler)
    try:
        yield
    finally:
        signal.signal(signal.SIGINT, before)


def interrupt(context, handler, then=None):
    words = ['submit', 'render', str(write_file('[1]'))]
    with interrupts_handled_by(handler):
        child = subprocess.Popen(
            command(context, words),
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
    context.add_cleanup(child.kill)
    processes.wait_until(
        lambda: context.fake.requests('POST', JOB_PATH), 'submission received'
    )
    child.send_signal(signal.SIGINT)
    if then is not None:
        then()
    output = child.communicate(timeout=CALL_TIMEOUT_S)
    context.printed = output[0]
    context.noted = output[1]
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
    assert {request.headers['Idempotency-Key'] for request in sent} == {key}


@behave.then('the job was sent with the payloads {text}')
def then_payloads(context, text):
    sent = context.fake.requests('POST', JOB_PATH)
    tasks = json.loads(sent[0].body)['tasks']
    assert [task['payload'] for task in tasks] == json.loads(text), tasks


@behave.then('no id was requested')
def then_no_id(context):
    assert not context.fake.requests('POST', ID_PATH)


@behave.then('nothing was sent')
def then_nothing_sent(context):
    assert not context.fake.received, context.fake.received


@behave.then('the patch was sent once')
def then_patch_once(context):
    sent = [
        request
        for fake in context.instances
        for request in fake.requests('PATCH', CONFIG_PATH)
    ]
    assert len(sent) == 1, sent
