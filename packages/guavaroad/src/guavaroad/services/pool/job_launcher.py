"""Sends the start orders of this instance's jobs."""

import functools

from guavaroad.domain.pool import agent_messages, values
from guavaroad.services.pool import job_owner, run_starter


class JobLauncher:
    """Sends the starts that the allocator decides, with their payload.

    Attributes:
        job_owner: Jobs of this instance.
        run_starter: Sends start orders to the agents of workers.
    """

    def __init__(
        self, *, owner: job_owner.JobOwner, starter: run_starter.RunStarter
    ) -> None:
        self.job_owner = owner
        self.run_starter = starter

    def launch(
        self, message: agent_messages.LaunchRuns, *, is_outdated: bool
    ) -> None:
        """Send the start orders of a job.

        Args:
            message: The starts.
            is_outdated: Whether they have waited in a pause of this process,
                and are rejected.
        """
        job = self.job_owner.attempts.find(message)
        token = self.job_owner.token
        if job is None or is_outdated:
            calls = tuple(launch.call for launch in message.launches)
            self.reject(token, calls, is_job_open=False)
            return
        by_agent: dict[values.InstanceName, list[agent_messages.Start]] = {}
        for launch in message.launches:
            by_agent.setdefault(launch.agent, []).append(job.start_of(launch))
        for agent, starts in by_agent.items():
            self.run_starter.send(
                agent=agent,
                token=token,
                payload=job.request.payload,
                starts=tuple(starts),
                on_rejected=functools.partial(self.reject, token),
            )

    def reject(
        self,
        token: values.Token,
        calls: tuple[agent_messages.CallNumber, ...],
        *,
        is_job_open: bool = True,
    ) -> None:
        """Tell the allocator that start orders were not sent.

        Args:
            token: Fencing token of the allocator that has decided them. Another
                one is told nothing.
            calls: Numbers of their calls.
            is_job_open: Whether this instance still has the job.
        """
        link = self.job_owner.link
        if link is not None and token == self.job_owner.token:
            link.send(
                agent_messages.NotLaunched(
                    calls=calls, is_job_open=is_job_open, token=token
                )
            )
