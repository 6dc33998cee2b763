"""Queues tasks whose start was refused.

Guards against starts that are refused at once, and were repeated at once for as
long as the cause lasted. The first one is repeated without a pause, as most
causes concern one worker or one message.
"""

from typing import Final

from guavaroad.domain.pool import allocator_state, work

# Pause after the second refused start in a row, in seconds; doubles with each
# further one.
FIRST_PAUSE_S: Final = 0.02
# Longest pause, in seconds: well below a lease, so that a task does not wait
# long after the cause has ended.
LONGEST_PAUSE_S: Final = 0.2
_GROWTH: Final = 2


class RefusedStarts:
    """Tasks that wait before their next start.

    Attributes:
        state: State of the allocator.
        waiting: Tasks with the time at which each is queued, in seconds.
    """

    def __init__(self, *, state: allocator_state.AllocatorState) -> None:
        self.state = state
        self.waiting: list[tuple[float, work.Task]] = []

    def add(self, task: work.Task, now_s: float) -> None:
        """Queue a task at once, or after its pause if it has one."""
        pause_s = task.start_pause_s
        task.start_pause_s = next_pause_s(pause_s)
        if pause_s:
            self.waiting.append((now_s + pause_s, task))
        else:
            self.state.queue_task(task, now_s)

    def queue_due(self, now_s: float) -> None:
        """Queue the tasks whose pause is over."""
        held = self.waiting
        self.waiting = []
        for due_s, task in held:
            if due_s > now_s:
                self.waiting.append((due_s, task))
            else:
                self.state.queue_task(task, now_s)


def next_pause_s(pause_s: float) -> float:
    """Return the pause that follows another one, in seconds.

    Args:
        pause_s: The previous pause, in seconds; 0 for none.
    """
    return min(max(pause_s * _GROWTH, FIRST_PAUSE_S), LONGEST_PAUSE_S)
