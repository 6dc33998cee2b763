"""Demonstrates the system on real processes.

Starts the platform stand-in, upstream stand-ins and entry instances in two
availability zones, then runs command-line calls as an operator and two teams
would.
"""

import os
import pathlib
import subprocess
import sys
from typing import Final

import msgspec

from guavaroad_standins import fleet

BIN: Final = pathlib.Path(sys.executable).parent
COMMAND_TIMEOUT_S: Final = 60
CONFIGURATION: Final = b"""{
  "teams": {"office": {}, "rival": {"weight": 2}},
  "jobs": {
    "render": {"teams": ["office"], "urgency": "urgent"},
    "order": {"teams": ["rival"]}
  }
}
"""
HEADLINES: Final = tuple(
    {'run_ms': 50, 'echo': f'headline {number}'} for number in range(4)
)
ORDERS: Final = ({'run_ms': 80, 'echo': 'soup'}, {'run_ms': 20, 'echo': 'tea'})


class Terminal:
    """Prints and runs `guavaroadctl` commands in the folder of a fleet."""

    def __init__(self, *, system: fleet.Fleet) -> None:
        self.folder = system.folder
        self.addresses = [instance.address for instance in system.instances]

    def comment(self, text: str) -> None:
        """Print a comment."""
        print(f'\n# {text}', flush=True)

    def run(self, token: str, *arguments: str) -> str:
        """Print and run one command; return its standard error."""
        shown = ' '.join(arguments)
        print(f'$ guavaroadctl {shown}', flush=True)
        completed = subprocess.run(
            [str(BIN / 'guavaroadctl'), *arguments],
            cwd=self.folder,
            env={
                **os.environ,
                'GUAVAROAD_ADDRESS': ','.join(self.addresses),
                'GUAVAROAD_TOKEN': token,
            },
            capture_output=True,
            text=True,
            check=False,
            timeout=COMMAND_TIMEOUT_S,
        )
        print(f'{completed.stderr}{completed.stdout}', end='', flush=True)
        if completed.returncode:
            print(f'(exit code {completed.returncode})')
        return completed.stderr


def main() -> None:
    """Start the fleet, run the commands and stop the fleet."""
    plan = fleet.FleetPlan(instances_per_zone=2)
    with fleet.Fleet(plan=plan) as system:
        write_files(system.folder)
        system.start()
        terminal = Terminal(system=system)
        configure(terminal)
        submit(terminal)
        refuse(terminal)


def write_files(folder: pathlib.Path) -> None:
    """Write the patch and the tasks of the two teams."""
    (folder / 'patch.json').write_bytes(CONFIGURATION)
    (folder / 'headlines.json').write_bytes(msgspec.json.encode(HEADLINES))
    (folder / 'orders.json').write_bytes(msgspec.json.encode(ORDERS))


def configure(terminal: Terminal) -> None:
    """List the instances, then patch the configuration."""
    operator = fleet.OPERATOR_TOKEN
    terminal.comment('Four instances in two availability zones.')
    terminal.run(operator, 'instances')
    terminal.comment('A patch of version 0; wait until it is applied.')
    terminal.run(operator, 'config', 'diff', 'patch.json')
    terminal.run(operator, 'config', 'patch', '0', 'patch.json')
    terminal.run(operator, 'config', 'wait', '1')


def submit(terminal: Terminal) -> None:
    """Submit a job for each team, then repeat one submission."""
    terminal.comment('Each team submits a job and gets its complete result.')
    stderr = terminal.run('office-secret', 'submit', 'render', 'headlines.json')
    terminal.run('rival-secret', 'submit', 'order', 'orders.json')
    terminal.comment('The same id at another instance gets the same result.')
    terminal.addresses.reverse()
    submission_id = stderr.split()[-1]
    terminal.run(
        'office-secret',
        f'--submission_id={submission_id}',
        'submit',
        'render',
        'headlines.json',
    )
    terminal.comment('The upstreams of both availability zones.')
    terminal.run(fleet.OPERATOR_TOKEN, 'upstreams')


def refuse(terminal: Terminal) -> None:
    """Show refused requests: nothing is run."""
    terminal.comment('Refused: a job of another team, and a stale patch.')
    terminal.run('rival-secret', 'submit', 'render', 'headlines.json')
    terminal.run(fleet.OPERATOR_TOKEN, 'config', 'patch', '0', 'patch.json')


if __name__ == '__main__':
    main()
