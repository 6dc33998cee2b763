"""Steps for calls that are answered at once, and so repeated at once."""

import behave

from guavaroad.ports import pool


@behave.when('worker "{name}" answers every poll at once for {seconds:g} s')
def when_at_once(context, name, seconds):
    world = context.pool
    world.workers[name].faults.answers_at_once = True
    before = calls_to(world, name)
    world.run(seconds)
    context.polled = calls_to(world, name) - before


def calls_to(world, name):
    return sum(
        instance.workers.calls[name] for instance in world.instances.values()
    )


@behave.then('at most {most:d} polls are sent to worker "{name}" in that time')
def then_polled(context, most, name):
    assert 0 < context.polled <= most, context.polled


class HastyStore:
    """Answers each read of the configuration without a change.

    Attributes:
        reads: Number of reads.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.reads = 0

    async def config(self, position):
        """Answer a read."""
        self.reads += 1
        await self.cluster.sleep()
        return pool.ConfigText(body=None, position=position)


@behave.when(
    'the store answers an instance at once without a change for {seconds:g} s'
)
def when_store_at_once(context, seconds):
    world = context.pool
    cluster = next(iter(world.instances.values())).cluster
    context.store = HastyStore(cluster)
    cluster.config = context.store.config
    world.run(seconds)


@behave.then(
    'the instance reads the configuration at most {most:d} times in that time'
)
def then_reads(context, most):
    assert 0 < context.store.reads <= most, context.store.reads
