"""One entry instance of the worker pool."""

from collections.abc import Callable
from typing import Final

from twisted.internet import defer

from guavaroad.domain.pool import (
    election,
    open_jobs,
    peer_messages,
    routing,
)
from guavaroad.ports import platform
from guavaroad.services.pool import (
    active_allocator,
    allocator_follower,
    candidate,
    configuration_watch,
    decision_log,
    dependencies,
    directory,
    instance_links,
    instance_parts,
    job_launcher,
    job_owner,
    shared_state,
)

# Period of checking whether the allocator has timed out, in seconds.
ALLOCATOR_CHECK_PERIOD_S: Final = 0.05
# Interval between attempts to register this instance in the directory, and
# between reads of the directory while there is no allocator, in seconds.
REGISTER_INTERVAL_S: Final = 0.3
# An instance reports not ready after this time without an allocator, in
# seconds. A takeover takes less.
READY_WITHOUT_ALLOCATOR_S: Final = 1.2
# Delay between the end of a term and the collection of its objects, in seconds.
# Its calls have timed out by then.
COLLECTION_DELAY_S: Final = 2


class PoolInstance:
    """Accepts jobs, and allocates while it holds the token.

    Attributes:
        parts: Parts that it also uses as the allocator.
        job_owner: Jobs of the clients of this instance.
        configuration: Configuration in force.
        allocator_follower: Link to the current allocator.
        candidate: Runs for allocator when the current one is lost.
        active_allocator: The allocator, while it runs in this instance.
        registered: Whether this instance is in the directory.
        stopping: Whether this instance is shutting down.
        last_followed_s: When this instance last had a link to an allocator.
        exit_deadline_s: When the process ends at the latest; none unless it
            is shutting down.
    """

    def __init__(
        self,
        *,
        local_instance: peer_messages.Instance,
        deps: dependencies.Dependencies,
        on_configuration: Callable[[routing.Configuration], object],
    ) -> None:
        self.dependencies = deps
        self.timers = deps.timers
        self.decision_log = deps.decision_log
        self.directory = directory.Directory(local_instance=local_instance)
        self.configuration = configuration_watch.ConfigurationWatch(
            cluster=deps.cluster,
            codec=deps.codec,
            timer_service=deps.timers,
            log=deps.decision_log,
            on_change=on_configuration,
        )
        self.parts = instance_parts.create_parts(
            instance_directory=self.directory,
            configuration=self.configuration,
            deps=deps,
        )
        self.job_owner = job_owner.JobOwner(
            timer_service=deps.timers, log=deps.decision_log
        )
        self.allocator_follower = allocator_follower.AllocatorFollower(
            agent=self.parts.agent,
            launcher=job_launcher.JobLauncher(
                owner=self.job_owner, starter=self.parts.starter
            ),
            state=shared_state.SharedState(
                instance_directory=self.directory,
                configuration=self.configuration,
                codec=deps.codec,
            ),
            deps=deps,
        )
        self.candidate = candidate.Candidate(
            follower=self.allocator_follower,
            instance_directory=self.directory,
            dialler=deps.dialler,
            cluster=deps.cluster,
            timer_service=deps.timers,
            log=deps.decision_log,
            on_elected=self.on_elected,
        )
        self.allocator_follower.on_term = self.on_term
        self.allocator_follower.on_poll = self.redial_candidate
        self.active_allocator: active_allocator.ActiveAllocator | None = None
        self.registered = False
        self.stopping = False
        self.last_followed_s = deps.timers.now()
        self.exit_deadline_s: float | None = None

    def start(self) -> None:
        """Start to serve."""
        configuration_watch.run(self.configuration)
        self.register()
        defer.ensureDeferred(candidate.remember_row(self.candidate))
        self.timers.subscribe(ALLOCATOR_CHECK_PERIOD_S, self.check_allocator)
        self.timers.subscribe(
            decision_log.REPORT_PERIOD_S, self.decision_log.report_suppressed
        )
        self.timers.call_after(
            candidate.STARTUP_DELAY_S, self.start_first_election
        )

    def start_first_election(self) -> None:
        """Run for allocator, unless one has linked since the start."""
        self.allocator_follower.on_lost = self.candidate.start_election
        self.candidate.start_election()

    def register(self) -> None:
        """Register this instance in the directory."""
        defer.ensureDeferred(self.try_register())

    async def try_register(self) -> None:
        """Register this instance, and read the directory.

        Retries until it is registered and an allocator is alive.
        """
        cluster = self.dependencies.cluster
        if not self.registered:
            self.registered = await cluster.register_instance(
                self.directory.local_instance
            )
        instances = await cluster.instances()
        if not isinstance(instances, platform.Away):
            self.directory.merge(instances)
        is_done = (
            self.registered and self.allocator_follower.is_allocator_alive()
        )
        if not is_done and not self.stopping:
            self.timers.call_after(REGISTER_INTERVAL_S, self.register)

    def check_allocator(self) -> None:
        """Drop an allocator that has timed out."""
        self.allocator_follower.drop_unresponsive()
        if self.allocator_follower.link is not None:
            self.last_followed_s = self.timers.now()

    def on_elected(
        self, term: election.Term, links: instance_links.InstanceLinks
    ) -> None:
        """Start to allocate.

        Args:
            term: The new term.
            links: Links that the poll of the election has opened.
        """
        self.stop_allocating(retiring=False)
        self.decision_log.log_event(
            'token_claimed',
            token=term.token,
            before=self.allocator_follower.term.token,
            reserve=list(term.successors),
            version=self.configuration.version(),
        )
        self.active_allocator = active_allocator.ActiveAllocator(
            term=term,
            links=links,
            deps=self.dependencies,
            parts=self.parts,
            on_fenced=self.on_fenced,
        )
        self.active_allocator.start(
            self.allocator_follower.shared_state.worker_rows()
        )

    def on_term(self, term: election.Term) -> None:
        """Step down if another allocator has a higher token."""
        if (
            self.active_allocator is not None
            and term.token > self.active_allocator.term.token
        ):
            self.stop_allocating(retiring=False)

    def redial_candidate(self) -> None:
        """Dial the instances without a link, if this instance allocates.

        Called when a candidate polls this instance, because a candidate has
        lost its link to the allocator.
        """
        if self.active_allocator is not None:
            self.active_allocator.links.dial_again()

    def on_fenced(self) -> None:
        """Step down, as a higher token has been used."""
        if self.active_allocator is not None:
            self.decision_log.log_event(
                'token_outdated', token=self.active_allocator.term.token
            )
            self.stop_allocating(retiring=False)

    def stop_allocating(self, *, retiring: bool) -> None:
        """Stop the allocator, if it runs in this instance.

        Args:
            retiring: Whether to notify the followers, so that a successor takes
                over without waiting for the allocator timeout.
        """
        if self.active_allocator is not None:
            stopped = self.active_allocator
            self.active_allocator = None
            stopped.stop(retiring=retiring)
            self.decision_log.log_event(
                'allocation_ended',
                token=stopped.term.token,
                jobs=len(stopped.machine.state.jobs),
                retiring=retiring,
            )
            self.timers.call_after(
                COLLECTION_DELAY_S, self.dependencies.collect_garbage
            )

    def is_ready(self) -> bool:
        """Return whether this instance accepts new connections."""
        without_s = self.timers.now() - self.last_followed_s
        is_configured = self.configuration.current is not None
        return (
            is_configured
            and not self.stopping
            and without_s < READY_WITHOUT_ALLOCATOR_S
        )

    def refusal(
        self, request: open_jobs.JobRequest
    ) -> open_jobs.NotRun | open_jobs.OutcomeUnknown | None:
        """Return the outcome of a job that this instance does not admit.

        A job is admitted if it is likely to end before the process does.

        Args:
            request: The validated submission.

        Returns:
            The outcome, or None if the job is admitted.
        """
        if self.exit_deadline_s is None:
            return None
        if request.likely_s() < self.exit_deadline_s - self.timers.now():
            return None
        return self.job_owner.attempts.outcome_without(
            request.job_id, 'instance stops'
        )

    def stop(self, *, exit_deadline_s: float) -> None:
        """Hand over the allocation, and report not ready.

        Args:
            exit_deadline_s: When the process ends at the latest.
        """
        self.stopping = True
        self.exit_deadline_s = exit_deadline_s
        self.candidate.withdrawn = True
        self.stop_allocating(retiring=True)
