"""Steps of the model check of submissions."""

import behave

from models import submission_model

ONE_OF_EACH = submission_model.Budget(crashes=1, faults=1, takeovers=1)
NO_FAULTS = submission_model.Budget(crashes=0, faults=0, takeovers=1)


@behave.when(
    'every order of 1 fault, 1 crash and 1 takeover is searched for a submission recorded as {mode}'
)
def when_searched(context, mode):
    context.search = submission_model.search(
        submission_model.Mode(mode), budget=ONE_OF_EACH
    )


@behave.when('the search runs with the planted fault "{fault}"')
def when_planted(context, fault):
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
