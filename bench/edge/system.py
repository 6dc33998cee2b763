"""The system under the bench: one entry instance, profiled or not."""

import msgspec
from bench.capacity import systems
from bench.edge import open_loop

from guavaroad_standins import fleet

UPSTREAMS = 4
SLOTS = 64


class ProfiledFleet(fleet.Fleet):
    """A fleet whose instances run under cProfile.

    Attributes:
        profile_path: Where the profile is written at the planned stop.
    """

    profile_path = ''

    def start_instance(self, instance: fleet.EntryInstance) -> None:
        """Start one entry instance, under cProfile if a path is set."""
        if not self.profile_path:
            super().start_instance(instance)
            return
        settings = msgspec.yaml.encode(self.settings_of(instance))
        instance.settings_path.write_bytes(settings)
        command = ['-m', 'cProfile', '-o', self.profile_path]
        command += ['-m', 'guavaroad.main']
        command.append(f'--settings={instance.settings_path}')
        instance.process = self.spawn(instance.name, command)


def make(profile_path: str = '') -> ProfiledFleet:
    """Return the fleet of the bench, not started."""
    plan = fleet.FleetPlan(
        zones=('zone-a',),
        upstreams_per_zone=UPSTREAMS,
        slots=SLOTS,
        # One instance has the connections of the whole fleet to itself.
        settings={'limits': {'fleet_size': 1}},
    )
    made = ProfiledFleet(plan=plan)
    made.profile_path = profile_path
    return made


def configure(system: fleet.Fleet) -> None:
    """Put the bench's configuration in force."""
    systems.patch(system, 0, systems.base_document())
    systems.wait_version(system, 1)


def through(system: fleet.Fleet, tasks: int) -> open_loop.Target:
    """Return a submission of empty tasks to the instance."""
    body = {'tasks': [{'payload': {'run_ms': 0}} for _ in range(tasks)]}
    address = system.instances[0].address
    return open_loop.Target(
        url=f'http://{address}/v1/jobs/{systems.JOB}/submissions',
        headers=systems.bearer(f'{systems.TEAM}-secret'),
        body=msgspec.json.encode(body),
    )


def direct(system: fleet.Fleet) -> open_loop.Target:
    """Return an empty task for an upstream."""
    address = system.upstreams[0].address
    return open_loop.Target(
        url=f'http://{address}/tasks/{systems.JOB}',
        headers={'Guavaroad-Task': 'bench/0'},
        body=msgspec.json.encode({'run_ms': 0}),
    )
