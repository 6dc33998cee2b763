"""The parts of an instance that its allocator uses."""

import dataclasses

from guavaroad.services.pool import (
    configuration_watch,
    dependencies,
    directory,
    run_starter,
    worker_agent,
    worker_connections,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceParts:
    """Parts that serve the instance before, during and after its terms.

    Attributes:
        directory: Directory of instances.
        configuration: Configuration in force.
        agent: Makes calls to workers.
        starter: Sends start orders to the agents of workers.
    """

    directory: directory.Directory
    configuration: configuration_watch.ConfigurationWatch
    agent: worker_agent.WorkerAgent
    starter: run_starter.RunStarter


def create_parts(
    *,
    instance_directory: directory.Directory,
    configuration: configuration_watch.ConfigurationWatch,
    deps: dependencies.Dependencies,
) -> InstanceParts:
    """Return the parts of an instance.

    Args:
        instance_directory: Directory of instances.
        configuration: Configuration in force.
        deps: External dependencies.
    """
    agent = worker_agent.WorkerAgent(
        connections=worker_connections.WorkerConnections(
            workers=deps.workers, timer_service=deps.timers
        ),
        timer_service=deps.timers,
    )
    return InstanceParts(
        directory=instance_directory,
        configuration=configuration,
        agent=agent,
        starter=run_starter.RunStarter(
            local_agent=agent,
            instance_directory=instance_directory,
            dialler=deps.dialler,
            timer_service=deps.timers,
        ),
    )
