"""Shows the system at work on real processes.

Starts the platform stand-in, upstream stand-ins and entry instances in two
availability zones; then everything is done by the command line, as an
operator and two teams would do it.
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
    """Prints and runs commands in the folder of a fleet."""

    def __init__(self, *, system: fleet.Fleet) -> None:
        self.folder = system.folder
        self.addresses = [one.address for one in system.instances]

    def tell(self, sentence: str) -> None:
        """Print a remark."""
        print(f'\n# {sentence}', flush=True)

    def run(self, token: str, *words: str) -> str:
        """Print and run one command; return what it noted."""
        shown = ' '.join(words)
        print(f'$ guavaroadctl {shown}', flush=True)
        done = subprocess.run(
            [str(BIN / 'guavaroadctl'), *words],
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
        print(f'{done.stderr}{done.stdout}', end='', flush=True)
        if done.returncode:
            print(f'(exit code {done.returncode})')
        return done.stderr


def main() -> None:
    """Start the fleet, run the commands and end the fleet."""
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
    """Look around, then patch the configuration."""
    operator = fleet.OPERATOR_TOKEN
    terminal.tell('Four instances in two availability zones.')
    terminal.run(operator, 'instances')
    terminal.tell('A patch against version 0, in force everywhere.')
    terminal.run(operator, 'config', 'diff', 'patch.json')
    terminal.run(operator, 'config', 'patch', '0', 'patch.json')
    terminal.run(operator, 'config', 'wait', '1')


def submit(terminal: Terminal) -> None:
    """Submit a job of each team, and one of them again."""
    terminal.tell('Each team submits a job; its answer comes whole.')
    noted = terminal.run('office-secret', 'submit', 'render', 'headlines.json')
    terminal.run('rival-secret', 'submit', 'order', 'orders.json')
    terminal.tell('The same id at another instance gets the same answer.')
    terminal.addresses.reverse()
    submission_id = noted.split()[-1]
    terminal.run(
        'office-secret',
        f'--submission_id={submission_id}',
        'submit',
        'render',
        'headlines.json',
    )
    terminal.tell('The upstreams of both zones.')
    terminal.run(fleet.OPERATOR_TOKEN, 'upstreams')


def refuse(terminal: Terminal) -> None:
    """Show refusals, which say that nothing was run."""
    terminal.tell('A job of another team and a stale patch are refused.')
    terminal.run('rival-secret', 'submit', 'render', 'headlines.json')
    terminal.run(fleet.OPERATOR_TOKEN, 'config', 'patch', '0', 'patch.json')


if __name__ == '__main__':
    main()
