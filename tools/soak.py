"""Runs the soak: `make soak SEED=n`, or `make soak SEEDS=50`.

Runs up to the limits of a machine: `make soak SEED=n INSTANCES=60 WORKERS=150`.
"""

import pathlib
import sys
import time

from absl import app, flags

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'features'))

from support import soak  # noqa: E402

USUAL = soak.Size()
INSTANCES = flags.DEFINE_integer(
    'instances', USUAL.instances, 'Processes of the program.', lower_bound=1
)
WORKERS = flags.DEFINE_integer(
    'workers', USUAL.workers, 'Workers.', lower_bound=1
)
FAULTS = flags.DEFINE_integer('faults', USUAL.faults, 'Faults a seed.')
JOBS_PER_S = flags.DEFINE_integer(
    'jobs_per_s', USUAL.jobs_per_s, 'Jobs of clients a second.', lower_bound=1
)


def chosen_size() -> soak.Size:
    """Return how large the runs are."""
    return soak.Size(
        instances=INSTANCES.value,
        workers=WORKERS.value,
        faults=FAULTS.value,
        jobs_per_s=JOBS_PER_S.value,
    )


def play(seed: int) -> bool:
    """Run one seed, say what was found; return whether all was kept."""
    begun_s = time.monotonic()
    one = soak.Soak(seed, chosen_size())
    broken = one.run()
    taken_s = round(time.monotonic() - begun_s)
    result = 'BROKEN' if broken else 'kept'
    print(f'seed {seed}: {result} in {taken_s} s', flush=True)
    if broken:
        print(*one.steps, *broken, one.fleet.folder, sep='\n  ')
    return not broken


def main(words: list[str]) -> int:
    """Run the seeds that were given; return the number of those that failed."""
    seeds = [int(word) for word in words[1:]]
    kept = sum(play(seed) for seed in seeds)
    failed = len(seeds) - kept
    print(f'{kept} seeds kept, {failed} broken')
    return failed


if __name__ == '__main__':
    app.run(main)
