"""Steps that run `guavaroadctl` against a fleet of real processes."""

import behave
import ctl_steps

from guavaroad_standins import fleet


def call_as(context, token, words):
    ctl_steps.call_ctl(context, *words, token=token)


@behave.given('the command line has only the address of the first instance')
def given_first(context):
    context.addresses = [context.fleet.instances[0].address]


@behave.when('the operator patches version {base:d} with {text}')
def when_patched(context, base, text):
    path = ctl_steps.write_file(text)
    words = ['config', 'patch', str(base), str(path)]
    call_as(context, fleet.OPERATOR_TOKEN, words)
    assert not context.exit_code, context.printed


@behave.when('the operator calls "{words}"')
def when_operator(context, words):
    call_as(context, fleet.OPERATOR_TOKEN, words.split())


@behave.when('team "{team}" calls "{words}"')
def when_team(context, team, words):
    call_as(context, f'{team}-secret', words.split())


@behave.then('every instance of the fleet is listed')
def then_instances(context):
    for instance in context.fleet.instances:
        assert instance.address in context.printed, context.printed
        assert instance.zone in context.printed, context.printed


@behave.then('every upstream of the fleet is listed')
def then_upstreams(context):
    for upstream in context.fleet.upstreams:
        assert upstream.name in context.printed, context.printed
