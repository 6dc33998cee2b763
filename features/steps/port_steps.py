"""Steps for the ports that test processes choose."""

import subprocess
import sys
from unittest import mock

from behave import given, then, when

from guavaroad_standins import ports

COUNT = 20
OTHER_PROCESS = """
import sys
from unittest import mock
from guavaroad_standins import ports
with mock.patch.multiple(ports, FIRST_PORT={first}, LAST_PORT={last}):
    print(*[ports.free_port() for _ in range({number})], flush=True)
sys.stdin.read()
"""


def free_range():
    """Return the first of some adjacent ports that nobody listens on."""
    for first in range(ports.FIRST_PORT, ports.LAST_PORT, COUNT):
        if all(map(ports.is_free, range(first, first + COUNT))):
            return first
    raise AssertionError('no range of free ports')


def take(context, number):
    with mock.patch.multiple(
        ports, FIRST_PORT=context.first, LAST_PORT=context.first + COUNT - 1
    ):
        return {ports.free_port() for _ in range(number)}


@given('another test process that has taken {number:d} of 20 ports')
def given_other(context, number):
    context.first = free_range()
    script = OTHER_PROCESS.format(
        first=context.first, last=context.first + COUNT - 1, number=number
    )
    context.other = subprocess.Popen(
        [sys.executable, '-c', script],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(context.other.communicate)
    context.taken = set(map(int, context.other.stdout.readline().split()))


@when('this process takes {number:d} of them')
def when_taken(context, number):
    context.ports = take(context, number)


@when(
    'the other process has ended and this process takes {number:d} of them again'
)
def when_ended(context, number):
    context.other.communicate()
    context.ports = take(context, number)


@then('it gets the other ones')
def then_others(context):
    assert not context.ports & context.taken, context.ports


@then('it gets those of the other process')
def then_released(context):
    assert context.ports == context.taken, context.ports
