"""Runs the soak test: `make soak SEED=n`, or `make soak SEEDS=50`.

A larger fleet: `make soak SEED=n INSTANCES=60 WORKERS=150`; worker agents:
`make soak SEED=n LINK_MBPS=1`; tasks that crash workers, and clients that send
jobs again: `make soak SEED=n DEADLY=1 RESENDS=3`.
"""

import pathlib
import sys
import time

from absl import app, flags

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'features'))

from support import soak  # noqa: E402

DEFAULT_SIZE = soak.Size()
INSTANCES = flags.DEFINE_integer(
    'instances',
    DEFAULT_SIZE.instances,
    'Number of processes of the program.',
    lower_bound=1,
)
WORKERS = flags.DEFINE_integer(
    'workers', DEFAULT_SIZE.workers, 'Number of workers.', lower_bound=1
)
FAULTS = flags.DEFINE_integer(
    'faults', DEFAULT_SIZE.faults, 'Faults injected per seed.'
)
JOBS_PER_S = flags.DEFINE_integer(
    'jobs_per_s',
    DEFAULT_SIZE.jobs_per_s,
    'Jobs submitted per second.',
    lower_bound=1,
)
LINK_MBPS = flags.DEFINE_integer(
    'link_mbps',
    DEFAULT_SIZE.link_mbps,
    'Link of each process in Mbit/s; with 1, all are worker agents.',
    lower_bound=1,
)

DEADLY = flags.DEFINE_boolean(
    'deadly',
    DEFAULT_SIZE.has_deadly_tasks,
    'Whether some tasks crash the workers that start them.',
)
RESENDS = flags.DEFINE_integer(
    'resends',
    DEFAULT_SIZE.resends,
    'How often clients send a job again that has no result.',
    lower_bound=0,
)


def size_from_flags() -> soak.Size:
    """Return the size of the runs."""
    return soak.Size(
        instances=INSTANCES.value,
        workers=WORKERS.value,
        faults=FAULTS.value,
        jobs_per_s=JOBS_PER_S.value,
        link_mbps=LINK_MBPS.value,
        has_deadly_tasks=DEADLY.value,
        resends=RESENDS.value,
    )


def run_seed(seed: int) -> bool:
    """Run one seed and print its result; return whether it passed."""
    started_s = time.monotonic()
    run = soak.Soak(seed, size_from_flags())
    violations = run.run()
    elapsed_s = round(time.monotonic() - started_s)
    result = 'FAILED' if violations else 'passed'
    print(f'seed {seed}: {result} in {elapsed_s} s', flush=True)
    if violations:
        print(*run.steps, *violations, run.fleet.folder, sep='\n  ')
    return not violations


def main(words: list[str]) -> int:
    """Run the given seeds; return the number of those that failed."""
    seeds = [int(word) for word in words[1:]]
    passed = sum(run_seed(seed) for seed in seeds)
    failed = len(seeds) - passed
    print(f'{passed} seeds passed, {failed} failed')
    return failed


if __name__ == '__main__':
    app.run(main)
