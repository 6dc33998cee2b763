"""Steps about the result codes and their page."""

import pathlib
import subprocess
import sys

import behave

from guavaroad.domain import codes
from guavaroadctl import exit_codes

ROOT = pathlib.Path(__file__).resolve().parents[2]
FAMILY_SIZE = 1000


def family(digit):
    found = [
        code for code in codes.ResultCode if code.value // FAMILY_SIZE == digit
    ]
    assert found, digit
    return found


@behave.when('the page written by {tool} is checked')
def when_checked(context, tool):
    context.check = subprocess.run(
        [sys.executable, str(ROOT / 'tools' / tool), '--check'],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@behave.then('it agrees')
def then_agrees(context):
    assert not context.check.returncode, context.check.stderr


@behave.then('no two result codes share a number')
def then_unique(context):
    members = codes.ResultCode.__members__
    assert len(members) == len(set(codes.ResultCode)), members


@behave.then('every result code says whether anything ran')
def then_facts(context):
    missing = [code for code in codes.ResultCode if code not in codes.CODE_INFO]
    assert not missing, missing


@behave.then('every code of family {digit:d} says ran {ran}')
def then_ran(context, digit, ran):
    allowed = ran.split(' or ')
    others = [
        code
        for code in family(digit)
        if codes.info_of(code).ran.value not in allowed
    ]
    assert not others, others


@behave.then(
    'every code of family {digit:d} has an HTTP status from {low:d} to {high:d}'
)
def then_status(context, digit, low, high):
    others = [
        code
        for code in family(digit)
        if not low <= codes.info_of(code).http_status <= high
    ]
    assert not others, others


@behave.then('every exit code has a meaning')
def then_meanings(context):
    explained = [code for code, _ in exit_codes.MEANINGS]
    assert explained == list(exit_codes.ExitCode), explained
