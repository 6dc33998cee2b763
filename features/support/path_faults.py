"""Random faults of single paths: messages that are late in one direction."""


class PathFaults:
    """Injects faults beside those of `PoolFaults`; each ends by itself.

    Attributes:
        kinds: Faults to choose from.
    """

    def __init__(self, *, faults):
        self.faults = faults
        self.world = faults.world
        self.random = faults.random
        self.kinds = (
            self.delay_to_allocator,
            self.delay_from_allocator,
            self.delay_starts,
            self.stutter,
            self.change_configuration,
            self.lossy_pool,
        )

    def other_than(self, name):
        """Return the name of another running instance."""
        return self.random.choice(
            [other for other in self.faults.running() if other != name]
        )

    def delay(self, path, delay_s):
        """Hold back the messages from one instance to another for a time."""
        network = self.world.network
        if path in network.held_paths:
            return None
        network.hold_path(path)
        self.faults.later(delay_s, network.release_path, path)
        return path, delay_s

    def delay_to_allocator(self):
        """Delay what an instance sends to an allocator."""
        name = self.faults.allocator()
        return self.delay(
            (self.other_than(name), name), self.faults.duration(0.05, 2)
        )

    def delay_from_allocator(self):
        """Delay what an allocator sends to an instance."""
        name = self.faults.allocator()
        return self.delay(
            (name, self.other_than(name)), self.faults.duration(0.05, 2)
        )

    def delay_starts(self):
        """Delay what an owner sends to the agents."""
        name = self.random.choice(self.faults.running())
        delay_s = self.faults.duration(0.05, 1.5)
        allocator_name = self.faults.allocator()
        return [
            self.delay((name, other), delay_s)
            for other in self.faults.running()
            if other not in {name, allocator_name}
        ]

    def stutter(self):
        """Freeze an instance again and again for a short time."""
        name = self.random.choice(
            [*self.faults.running(), self.faults.allocator()]
        )
        end_s = self.world.clock.seconds() + self.faults.duration(0.5, 4)
        self.stutter_until(name, end_s)
        return name, end_s

    def stutter_until(self, name, end_s):
        """Freeze an instance shortly, and once more after it has resumed."""
        faults = self.faults
        if (
            faults.is_over
            or self.world.clock.seconds() > end_s
            or name in self.world.network.dead
            or name in faults.held
        ):
            return
        faults.held.add(name)
        self.world.network.hold(name)
        instance = self.world.instances[name]
        instance.process.freeze()
        faults.later(faults.duration(0.05, 0.6), self.resume, instance, end_s)

    def resume(self, instance, end_s):
        """Let an instance continue for a short time."""
        self.faults.resume(instance, self.random.choice((True, False)))
        self.faults.later(
            self.faults.duration(0.01, 0.3),
            self.stutter_until,
            instance.name,
            end_s,
        )

    def change_configuration(self):
        """Write a new version of the configuration."""
        store = self.world.store
        store.position += 1
        store.config = str(store.position).encode()
        return store.position

    def lossy_pool(self):
        """Lose half of the calls to all workers."""
        self.lose_calls(0.5)
        delay_s = self.faults.duration(0.1, 1)
        self.faults.later(delay_s, self.lose_calls, 0)
        return delay_s

    def lose_calls(self, share):
        """Set the share of the calls to workers that are not answered."""
        for worker in self.world.workers.values():
            worker.faults.unanswered_share = share
