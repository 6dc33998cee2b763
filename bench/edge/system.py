"""The system under test: a fleet with one entry instance."""

import msgspec
from bench.capacity import systems
from bench.edge import open_loop

from guavaroad_standins import fleet

UPSTREAM_COUNT = 4
SLOTS_PER_UPSTREAM = 64


class ProfiledFleet(fleet.Fleet):
    """A fleet whose instances can run under cProfile.

    Attributes:
        profile_path: File to which the profile is written when an instance
            stops; empty for no profile.
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
    """Return the fleet of the benchmark, not started."""
    plan = fleet.FleetPlan(
        zones=('zone-a',),
        upstreams_per_zone=UPSTREAM_COUNT,
        slots=SLOTS_PER_UPSTREAM,
        # The only instance may use the connections of the whole fleet.
        settings={'limits': {'fleet_size': 1}},
    )
    profiled = ProfiledFleet(plan=plan)
    profiled.profile_path = profile_path
    return profiled


def configure(system: fleet.Fleet) -> None:
    """Apply the configuration of the benchmark."""
    systems.patch(system, 0, systems.base_document())
    systems.wait_version(system, 1)


def job_target(system: fleet.Fleet, tasks: int) -> open_loop.Target:
    """Return a submission of tasks without run time to the instance."""
    body = {'tasks': [{'payload': {'run_ms': 0}} for _ in range(tasks)]}
    address = system.instances[0].address
    return open_loop.Target(
        url=f'http://{address}/v1/jobs/{systems.JOB}/submissions',
        headers=systems.bearer(f'{systems.TEAM}-secret'),
        body=msgspec.json.encode(body),
    )


def direct_target(system: fleet.Fleet) -> open_loop.Target:
    """Return a task without run time for an upstream."""
    address = system.upstreams[0].address
    return open_loop.Target(
        url=f'http://{address}/tasks/{systems.JOB}',
        headers={'Guavaroad-Task': 'bench/0'},
        body=msgspec.json.encode({'run_ms': 0}),
    )
