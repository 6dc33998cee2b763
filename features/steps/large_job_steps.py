"""Steps for jobs of thousands of tasks."""

from unittest import mock

import behave

from guavaroad.domain.pool import work
from support import allocator_scenes

CPU_PER_CORE = 1000
MOMENT_S = 0.02


class CountedTask(work.Task):
    """A task that counts how often one is compared with another one."""

    compared = 0

    def __eq__(self, other):
        """Return whether both are the same task."""
        CountedTask.compared += 1
        return self is other

    __hash__ = work.Task.__hash__


@behave.given(
    'an allocator with {workers:d} workers of {cores:d} cores that counts comparisons of tasks'
)
def given_counted(context, workers, cores):
    context.scene = allocator_scenes.AllocatorScene(
        workers=workers, cpu=cores * CPU_PER_CORE
    )
    CountedTask.compared = 0


@behave.when('a job of {tasks:d} tasks of {cores:d} cores is declared')
def when_declared(context, tasks, cores):
    with mock.patch.object(work, 'Task', CountedTask):
        context.scene.declare('1', tasks, cores * CPU_PER_CORE)


@behave.when('the allocator places what fits')
def when_placed(context):
    context.scene.run(MOMENT_S)
    assert context.scene.starts


@behave.then('tasks were compared at most {count:d} times')
def then_compared(context, count):
    job = context.scene.machine.state.jobs['1']
    assert isinstance(job.tasks[0], CountedTask)
    assert CountedTask.compared <= count, CountedTask.compared
