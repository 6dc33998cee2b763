"""Jobs whose owner changes, or has missed messages about them."""

from guavaroad.domain.pool import allocator_state, messages, values, work


class OwnerChanges:
    """Tells the owners of tracked jobs what they do not know.

    Attributes:
        state: State of the allocator.
    """

    def __init__(self, *, state: allocator_state.AllocatorState) -> None:
        self.state = state

    def change_owner(self, job: work.Job, owner: values.InstanceName) -> None:
        """Set the owner of a job and notify the previous one."""
        self.state.log_event(
            'owner_changed', job=job.job_id, before=job.owner, now=owner
        )
        self.state.notify_owner(
            job,
            messages.GivenUp(
                job=job.job_id,
                reason=values.GiveUpReason.TAKEN_OVER,
                may_have_started=True,
                attempt=job.attempt,
            ),
        )
        job.owner = owner

    def resend_missed(self, job: work.Job, declared: messages.Declare) -> None:
        """Send the owner of a job the starts and ends that it has missed."""
        for task, declared_task in zip(job.tasks, declared.tasks, strict=False):
            if task.done and not declared_task.done:
                self.state.notify_owner(
                    job,
                    messages.Ended(
                        job=job.job_id,
                        index=task.index,
                        kind=values.EndKind.DONE,
                        attempt=job.attempt,
                    ),
                )
            elif (
                task.worker is not None and task.worker != declared_task.worker
            ):
                run = self.state.runs.tracked[task.name]
                start = (task.index, run.number, task.worker)
                self.state.notify_owner(
                    job,
                    messages.Begun(
                        job=job.job_id, starts=(start,), attempt=job.attempt
                    ),
                )
