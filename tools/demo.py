"""Runs the main job on real processes and prints the answers.

Starts the platform stand-in, upstream stand-ins and entry instances in two
availability zones, patches the configuration and submits a job, both with
the command line.
"""

import pathlib
import subprocess
import sys
from typing import Final

import msgspec

from guavaroad_standins import fleet

BIN: Final = pathlib.Path(sys.executable).parent
COMMAND_TIMEOUT_S: Final = 60
CONFIGURATION: Final = b"""{
  "teams": {"office": {}, "rival": {}},
  "jobs": {"render": {"teams": ["office"], "urgency": "urgent"}}
}"""
TASK_COUNT: Final = 6


def run_ctl(system: fleet.Fleet, token: str, *words: str) -> None:
    """Print and run one command against every instance of the fleet."""
    addresses = ','.join(one.address for one in system.instances)
    shown = ' '.join(words)
    print(f'$ guavaroadctl {shown}', flush=True)
    subprocess.run(
        [
            str(BIN / 'guavaroadctl'),
            f'--address={addresses}',
            f'--token={token}',
            *words,
        ],
        check=True,
        timeout=COMMAND_TIMEOUT_S,
    )


def main() -> None:
    """Start the fleet, run the commands and end the fleet."""
    with fleet.Fleet(plan=fleet.FleetPlan()) as system:
        patch = system.folder / 'configuration.json'
        patch.write_bytes(CONFIGURATION)
        system.start()
        operator = fleet.OPERATOR_TOKEN
        run_ctl(system, operator, 'config', 'patch', '0', str(patch))
        submit_headlines(system)


def submit_headlines(system: fleet.Fleet) -> None:
    """Submit one job of a few tasks."""
    payloads = [
        {'run_ms': 50, 'echo': f'headline {number}'}
        for number in range(TASK_COUNT)
    ]
    tasks = system.folder / 'tasks.json'
    tasks.write_bytes(msgspec.json.encode(payloads))
    run_ctl(system, 'office-secret', 'submit', 'render', str(tasks))


if __name__ == '__main__':
    main()
