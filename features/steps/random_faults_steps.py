"""Steps for random faults in the worker pool."""

import behave

from support import pool_faults

# A job whose earlier attempt got no result may be refused as a new one.
ALLOWED = frozenset(('refused after an earlier attempt',))


@behave.then(
    '{count:d} runs of {seconds:g} s with random faults from seed {seed:d} start no refused job'
)
def then_random_faults(context, count, seconds, seed):
    for number in range(seed, seed + count):
        check_run(number, pool_faults.FaultRun(seed=number), seconds)


@behave.then(
    '{count:d} runs of {seconds:g} s with random faults and worker agents from seed {seed:d} start no refused job'
)
def then_random_faults_agents(context, count, seconds, seed):
    for number in range(seed, seed + count):
        run = pool_faults.FaultRun(seed=number, link_bytes_per_s=200_000)
        check_run(number, run, seconds)


def check_run(number, run, seconds):
    run.run(seconds)
    found = {
        kind: described[:3]
        for kind, described in run.violations().items()
        if described and kind not in ALLOWED
    }
    assert not found, (number, found, run.faults.log)
