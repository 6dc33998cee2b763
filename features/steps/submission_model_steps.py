"""Steps for the model check of the submission protocol."""

import behave
import hypothesis as property_testing
from hypothesis import strategies

from models import submission_model

MANY_FAULTS = 8
ONE_OF_EACH = submission_model.Budget(crashes=1, faults=1, takeovers=1)
NO_FAULTS = submission_model.Budget(crashes=0, faults=0, takeovers=1)


@behave.when(
    'every order of 1 fault, 1 crash and 1 takeover is searched for a submission recorded as {mode}'
)
def when_searched(context, mode):
    context.search = submission_model.search(
        submission_model.Mode(mode), budget=ONE_OF_EACH
    )


@behave.when('the search runs with the injected fault "{fault}"')
def when_fault_injected(context, fault):
    context.search = submission_model.search(
        submission_model.Mode.OPTIONAL,
        submission_model.Fault(fault),
        budget=NO_FAULTS,
    )


@behave.then('the search is complete and found no violation')
def then_no_violation(context):
    report = context.search
    assert report.complete, report
    assert report.states > 100, report


@behave.then('it reports "{violation}"')
def then_violation(context, violation):
    assert context.search.violation == violation, context.search


@behave.when(
    '{count:d} random orders of up to {length:d} actions are drawn, the same ones each time'
)
def when_random_orders(context, count, length):
    context.taken = []
    choices = strategies.lists(
        strategies.integers(0, 1000), min_size=length // 2, max_size=length
    )
    modes = strategies.sampled_from(submission_model.Mode)
    settings = property_testing.settings(
        max_examples=count, derandomize=True, database=None, deadline=None
    )
    run = property_testing.given(mode=modes, numbers=choices)(
        lambda mode, numbers: context.taken.append(walk(mode, numbers))
    )
    settings(run)()


def walk(mode, numbers):
    world = submission_model.World(mode=mode, fault=submission_model.Fault.NONE)
    world.budget = submission_model.Budget(
        crashes=1, faults=MANY_FAULTS, takeovers=MANY_FAULTS
    )
    for number in numbers:
        actions = world.actions()
        if actions:
            world.act(*actions[number % len(actions)])
    return world.starts


@behave.then('none of them violated an invariant')
def then_no_invariant_violated(context):
    assert len(context.taken) >= 400, len(context.taken)
    assert any(context.taken), 'no order started a task'
