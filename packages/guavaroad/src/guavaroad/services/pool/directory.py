"""The entry instances that this one knows."""

from guavaroad.domain import names
from guavaroad.domain.pool import peer_messages, values


class Directory:
    """Instances by name, from the store and from allocators.

    Attributes:
        local_instance: This instance.
        instances: All of them, this one included.
    """

    def __init__(self, *, local_instance: peer_messages.Instance) -> None:
        self.local_instance = local_instance
        self.instances: dict[values.InstanceName, peer_messages.Instance] = {
            local_instance.name: local_instance
        }

    def merge(self, instances: tuple[peer_messages.Instance, ...]) -> None:
        """Take instances that somebody else knows."""
        for instance in instances:
            if instance.name != self.local_instance.name:
                self.instances[instance.name] = instance

    def replace(self, instances: tuple[peer_messages.Instance, ...]) -> None:
        """Take the directory as the store has it."""
        self.instances = {self.local_instance.name: self.local_instance}
        self.merge(instances)

    def ranked(self) -> tuple[peer_messages.Instance, ...]:
        """Return every known instance, the larger ones first."""
        return tuple(sorted(self.instances.values(), key=_rank_of))

    def zones(self) -> dict[values.InstanceName, names.AvailabilityZone]:
        """Return the availability zone of each instance."""
        return {name: one.zone for name, one in self.instances.items()}

    def everyone(self) -> tuple[peer_messages.Instance, ...]:
        """Return every known instance."""
        return tuple(self.instances.values())


def _rank_of(one: peer_messages.Instance) -> tuple[float, str]:
    return -one.cores, one.name
