"""Runs this build together with another one and checks every answer.

Usage: `.venv/bin/python tools/mixed_builds.py --other=PATH`, where PATH is a
checkout of another version whose virtual environment is ready in `.venv`.

- `entry`: instances of both builds in one system: membership, patches,
  submissions, answers read elsewhere, owners killed.
- `data`: each build reads the settings and the rows that the other one wrote.
- `pool`: processes of both builds at the same workers: jobs under load while
  allocators are killed, stopped and paused, until each kind of fault led to an
  election each way; then `guavaroadctl explain` of each build reads the logs
  of both.
- `agents`: the same with links so small that instances of this build are worker
  agents.
"""

import pathlib
import sys
import types
from typing import Final

from absl import app, flags

ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'features'))

from support import mixed_entry, mixed_fleet, mixed_pool  # noqa: E402

OTHER: Final = flags.DEFINE_string(
    'other', None, 'Checkout of the other build.', required=True
)
ONLY: Final = flags.DEFINE_list('only', [], 'Checks to run; all if empty.')
CHECKS: Final = types.MappingProxyType(
    {
        'entry': mixed_entry.check_side_by_side,
        'data': mixed_entry.check_stored_data,
        'pool': mixed_pool.check_pool,
        'agents': mixed_pool.check_agents,
    }
)


def main(_: list[str]) -> None:
    """Run the checks."""
    builds = mixed_fleet.Builds(OTHER.value)
    for name in ONLY.value or CHECKS:
        print(f'{name}:', flush=True)
        for line in CHECKS[name](builds):
            print(f'  {line}', flush=True)
    print('mixed builds: all checks passed')


if __name__ == '__main__':
    app.run(main)
