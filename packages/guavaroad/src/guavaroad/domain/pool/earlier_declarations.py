"""What the allocator has on record of a job from earlier declarations.

An owner declares a job again when its link is re-established, and another
instance does when the client sends the job again.
"""

import msgspec

from guavaroad.domain import units
from guavaroad.domain.pool import (
    actions,
    allocator_state,
    closed_jobs,
    messages,
    values,
)


class EarlierDeclarations:
    """Looks up jobs that are declared again.

    Attributes:
        state: State of the allocator.
        linked_s: When each owner was last linked, in seconds.
    """

    def __init__(self, *, state: allocator_state.AllocatorState) -> None:
        self.state = state
        self.linked_s: dict[values.InstanceName, float] = {}

    def on_owner_linked(self, owner: values.InstanceName, now_s: float) -> None:
        """Record when an owner was linked."""
        self.linked_s[owner] = now_s

    def log_declared_again(
        self, owner: values.InstanceName, declared: messages.Declare
    ) -> None:
        """Log what is on record of a job that its owner declares again.

        Unconfirmed jobs were declared to another allocator before, which each
        owner does with all of its jobs.

        Args:
            owner: Instance that declares the job.
            declared: Its declaration.
        """
        if not declared.redeclared or declared.unconfirmed:
            return
        closed = self.state.closed.find(declared.job)
        found = 'nothing' if closed is None else type(closed).__name__
        if declared.job in self.state.jobs:
            found = 'open'
        self.state.log_event(
            'declared_again',
            job=declared.job,
            owner=owner,
            age_ms=declared.age_ms,
            found=found,
        )

    def may_have_run(
        self,
        owner: values.InstanceName,
        declared: messages.Declare,
        now_s: float,
    ) -> bool:
        """Return whether a job that is not tracked may have run before.

        Args:
            owner: Instance that declares the job.
            declared: Its declaration.
            now_s: Current time, in seconds.
        """
        # The declaration was sent after the link was established, and may have
        # been in transit since.
        sent_s = self.linked_s.get(owner, now_s)
        arrived_s = sent_s - declared.age_ms / units.MS_PER_S
        is_covered = declared.starts_known or not declared.redeclared
        if not is_covered and not self.state.closed.covers(arrived_s):
            return True
        if self.state.closed.started.may_contain(declared.job):
            return True
        return declared.may_hide_starts() or self.has_reported_run(declared)

    def record_withdrawn(self, job_id: values.JobId) -> None:
        """Record that a job that is not tracked may have run before.

        Its owner withdraws it again after its link was lost. Another allocator
        may have had it.

        Args:
            job_id: Id of the job.
        """
        if self.state.closed.find(job_id) is None:
            self.state.closed.started.record(job_id)

    def has_reported_run(self, declared: messages.Declare) -> bool:
        """Return whether a run of a task is or was reported by a worker."""
        return any(
            self.state.closed.reported.may_contain(task.name)
            or self.state.runs.last_number(task.name) is not None
            for task in declared.tasks
        )

    def resend_ending(
        self, owner: values.InstanceName, declared: messages.Declare
    ) -> bool:
        """Send the owner the result of a job that has ended here.

        A job that was given up and is submitted again by the client is a new
        job, also if its first declaration was lost with a link.

        Args:
            owner: Instance that declares the job.
            declared: Its declaration.

        Returns:
            Whether a result was sent.
        """
        missed: list[messages.ToOwner] = []
        match self.state.closed.find(declared.job):
            case closed_jobs.Complete():
                missed = [
                    messages.Ended(
                        job=declared.job,
                        index=index,
                        kind=values.EndKind.DONE,
                        attempt=declared.attempt,
                    )
                    for index, task in enumerate(declared.tasks)
                    if not task.done
                ]
            case closed_jobs.Abandoned() as ending if missed_give_up(
                owner, declared, ending
            ):
                missed = [
                    msgspec.structs.replace(
                        ending.given_up, attempt=declared.attempt
                    )
                ]
        for message in missed:
            self.state.add_action(
                actions.NotifyOwner(owner=owner, message=message)
            )
        return bool(missed)


def shows_start(declared: messages.Declare) -> bool:
    """Return whether tasks may have started by what the owner knows."""
    is_started = any(task.has_started() for task in declared.tasks)
    return is_started or declared.may_hide_starts()


def missed_give_up(
    owner: values.InstanceName,
    declared: messages.Declare,
    ending: closed_jobs.Abandoned,
) -> bool:
    """Return whether the owner missed the message that gave up its job.

    Unconfirmed jobs were given up because the link was lost, and are admitted
    again. An owner has one attempt of a job at a time: another one that was
    given up is an earlier one.

    Args:
        owner: Instance that declares the job.
        declared: Its declaration.
        ending: How the job ended.
    """
    if ending.owner == owner and ending.given_up.attempt != declared.attempt:
        return False
    return declared.redeclared and not declared.unconfirmed
