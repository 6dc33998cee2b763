"""Steps about the settings file and the command line of `guavaroad`."""

import copy
import json
import pathlib
import socket
import subprocess
import sys
import tempfile
import types

import behave

from guavaroad import settings
from guavaroad_standins import ports

BASE_SETTINGS = types.MappingProxyType(
    {
        'instance': {
            'availability_zone': 'kigali-1',
            'client_address': '127.0.0.1:8080',
            'peer_address': '127.0.0.1:8081',
        },
        'platform': {'url': 'http://127.0.0.1:9000'},
        'tokens': [{'token': 'long-secret', 'team': 'office'}],
    }
)
CALL_TIMEOUT_S = 60


def write_settings(context, text):
    folder = pathlib.Path(tempfile.mkdtemp(prefix='guavaroad-settings-'))
    context.settings_path = folder / 'guavaroad.yaml'
    context.settings_path.write_bytes(text.encode('utf-8', 'surrogateescape'))


def call_guavaroad(context, *arguments):
    completed = subprocess.run(
        [sys.executable, '-m', 'guavaroad.main', *arguments],
        capture_output=True,
        text=True,
        timeout=CALL_TIMEOUT_S,
        check=False,
    )
    context.exit_code = completed.returncode
    context.output = completed.stdout + completed.stderr


@behave.given('the settings of an instance')
def given_settings(context):
    context.raw_settings = copy.deepcopy(dict(BASE_SETTINGS))
    write_settings(context, json.dumps(context.raw_settings))


@behave.given('the field {path} is {given}')
def given_field(context, path, given):
    section = context.raw_settings
    *parents, last = path.split('.')
    for parent in parents:
        section = section.setdefault(parent, {})
    section[last] = json.loads(given)
    write_settings(context, json.dumps(context.raw_settings))


@behave.given('a settings file of {text}')
def given_file(context, text):
    write_settings(context, json.loads(text))


@behave.given('the settings of an instance whose {field} is in use')
def given_used_port(context, field):
    listener = socket.socket()
    context.add_cleanup(listener.close)
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    port = listener.getsockname()[1]
    given_settings(context)
    for name in ('client_address', 'peer_address'):
        free = f'"127.0.0.1:{ports.free_port()}"'
        given_field(context, f'instance.{name}', free)
    given_field(context, f'instance.{field}', f'"127.0.0.1:{port}"')


@behave.when('guavaroad checks them')
def when_checked(context):
    call_guavaroad(context, '--check', f'--settings={context.settings_path}')


@behave.when('guavaroad starts')
def when_started(context):
    call_guavaroad(context, f'--settings={context.settings_path}')


@behave.when('guavaroad checks the settings file "{path}"')
def when_path_checked(context, path):
    call_guavaroad(context, '--check', f'--settings={path}')


@behave.when('guavaroad is called with "{arguments}"')
def when_called(context, arguments):
    call_guavaroad(context, *arguments.split())


@behave.then('guavaroad exits with {code:d} and prints "{message}"')
def then_prints(context, code, message):
    assert context.exit_code == code, (context.exit_code, context.output)
    assert message in context.output, context.output


@behave.then('guavaroad never prints "{text}"')
def then_never_prints(context, text):
    assert text not in context.output, context.output


@behave.when('the settings are loaded')
def when_loaded(context):
    context.loaded = settings.load_settings(context.settings_path)


@behave.then('they are refused with "{message}"')
def then_refused_with(context, message):
    problems = context.loaded.problems
    assert any(message in problem for problem in problems), problems
    assert all(str(context.settings_path) in problem for problem in problems)


@behave.then('no problem contains "{text}"')
def then_no_problem_contains(context, text):
    problems = context.loaded.problems
    assert not any(text in problem for problem in problems), problems
