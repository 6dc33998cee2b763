"""Steps of the soak test."""

import behave

from support import platform_fleet, soak, soak_violations

INJECTION_SEED = 1
INJECTION_SIZE = soak.Size(faults=0)


@behave.then('the soak of seed {seed:d} violates no invariant')
def then_no_violation(_, seed):
    assert_no_violation(seed, soak.Size())


@behave.then('the soak of seed {seed:d} with small links violates no invariant')
def then_no_violation_by_agents(_, seed):
    assert_no_violation(
        seed, soak.Size(link_mbps=platform_fleet.SMALL_LINK_MBPS)
    )


@behave.then(
    'the soak of seed {seed:d} with deadly tasks and jobs that are sent again '
    'violates no invariant'
)
def then_no_violation_with_deadly_tasks(_, seed):
    assert_no_violation(seed, soak.Size(has_deadly_tasks=True, resends=3))


def assert_no_violation(seed, size):
    """Assert that a run of a seed violates no invariant."""
    run = soak.Soak(seed, size)
    violations = run.run()
    assert not violations, (run.steps, violations[:5], str(run.fleet.folder))


@behave.then('a soak with {violation} reports the violation')
def then_violation_reported(_, violation):
    inject, expected = soak_violations.VIOLATIONS[violation]
    violations = soak.Soak(INJECTION_SEED, INJECTION_SIZE).run(inject)
    assert any(expected in found for found in violations), violations[:5]
