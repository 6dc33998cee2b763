"""The directory of the pool's entry instances."""

from guavaroad.domain import names
from guavaroad.domain.pool import peer_messages, values


class Directory:
    """Instances by name, as read from the store or received from others.

    Attributes:
        local_instance: This instance.
        instances: All known instances, including this one.
    """

    def __init__(self, *, local_instance: peer_messages.Instance) -> None:
        self.local_instance = local_instance
        self.instances: dict[values.InstanceName, peer_messages.Instance] = {
            local_instance.name: local_instance
        }

    def merge(self, instances: tuple[peer_messages.Instance, ...]) -> None:
        """Add or update instances."""
        for instance in instances:
            if instance.name != self.local_instance.name:
                self.instances[instance.name] = instance

    def replace(self, instances: tuple[peer_messages.Instance, ...]) -> None:
        """Replace the directory by the one in the store."""
        self.instances = {self.local_instance.name: self.local_instance}
        self.merge(instances)

    def ranked(self) -> tuple[peer_messages.Instance, ...]:
        """Return every known instance, those with the most cores first."""
        return tuple(sorted(self.instances.values(), key=_rank_of))

    def zones(self) -> dict[values.InstanceName, names.AvailabilityZone]:
        """Return the availability zone of each instance."""
        return {
            name: instance.zone for name, instance in self.instances.items()
        }

    def all_instances(self) -> tuple[peer_messages.Instance, ...]:
        """Return every known instance."""
        return tuple(self.instances.values())


def _rank_of(instance: peer_messages.Instance) -> tuple[float, str]:
    return -instance.cores, instance.name
