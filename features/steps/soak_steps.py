"""Steps of the soak test."""

import behave

from support import platform_fleet, soak, soak_violations

INJECTION_SEED = 1
INJECTION_SIZE = soak.Size(faults=0)


@behave.then('the soak of seed {seed:d} violates no invariant')
def then_no_violation(_, seed):
    run = soak.Soak(seed)
    violations = run.run()
    assert not violations, (run.steps, violations[:5], str(run.fleet.folder))


@behave.then('the soak of seed {seed:d} with small links violates no invariant')
def then_no_violation_by_agents(_, seed):
    size = soak.Size(link_mbps=platform_fleet.SMALL_LINK_MBPS)
    run = soak.Soak(seed, size)
    violations = run.run()
    assert not violations, (run.steps, violations[:5], str(run.fleet.folder))


@behave.then('a soak with {violation} reports the violation')
def then_violation_reported(_, violation):
    inject, expected = soak_violations.VIOLATIONS[violation]
    violations = soak.Soak(INJECTION_SEED, INJECTION_SIZE).run(inject)
    assert any(expected in found for found in violations), violations[:5]
