"""One entry instance of the worker pool: its parts joined together."""

from collections.abc import Callable
from typing import Final

from twisted.internet import defer

from guavaroad.domain import units
from guavaroad.domain.pool import (
    election,
    open_jobs,
    peer_messages,
    routing,
)
from guavaroad.ports import platform
from guavaroad.services.pool import (
    candidate,
    configuration_watch,
    decision_log,
    dependencies,
    directory,
    following,
    holder,
    instance_links,
    owner_desk,
)

# Period of looking for a silent allocator, in seconds.
WATCH_S: Final = 0.05
# Period of putting this instance into the directory until it is there, and
# of reading it while there is no allocator, in seconds.
ANNOUNCE_S: Final = 0.3
# An instance stays in rotation this long without an allocator, in seconds: a
# takeover takes less.
UNLED_READY_S: Final = 1.2
# Run times over their estimates, at the most: these are off by 40 %, on workers
# that are 30 % slower.
RUN_SPREAD: Final = 1.8


class PoolInstance:
    """Takes jobs, and allocates while it holds the token.

    Attributes:
        job_owner: Jobs whose clients wait here.
        configuration: Configuration in force.
        allocator_follower: The allocator that is followed.
        active_allocator: The allocator itself, while it runs here.
        stopping: Whether this instance is going down.
        exit_deadline_s: When the process ends at the latest; none while it
            stays.
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
        self.journal = deps.decision_log
        self.directory = directory.Directory(local_instance=local_instance)
        self.job_owner = owner_desk.OwnerDesk(
            timer_service=deps.timers, book=deps.decision_log
        )
        self.configuration = configuration_watch.ConfigurationWatch(
            cluster=deps.cluster,
            codec=deps.codec,
            timer_service=deps.timers,
            book=deps.decision_log,
            on_change=on_configuration,
        )
        self.allocator_follower = following.AllocatorFollower(
            desk=self.job_owner,
            known=self.directory,
            configuration=self.configuration,
            cluster=deps.cluster,
            timer_service=deps.timers,
            book=deps.decision_log,
        )
        self.candidate = candidate.Candidate(
            follower=self.allocator_follower,
            known=self.directory,
            dialler=deps.dialler,
            cluster=deps.cluster,
            timer_service=deps.timers,
            book=deps.decision_log,
            on_elected=self.elected,
        )
        self.allocator_follower.on_reign = self.reign_changed
        self.allocator_follower.on_poll = self.call_candidate
        self.active_allocator: holder.ActiveAllocator | None = None
        self.announced = False
        self.stopping = False
        self.led_s = deps.timers.now()
        self.exit_deadline_s: float | None = None

    def start(self) -> None:
        """Begin to serve."""
        configuration_watch.run(self.configuration)
        self.announce()
        self.timers.subscribe(WATCH_S, self.watch)
        self.timers.subscribe(
            decision_log.REPORT_PERIOD_S, self.journal.report_suppressed
        )
        self.timers.call_after(candidate.START_PATIENCE_S, self.begin_standing)

    def begin_standing(self) -> None:
        """Stand for allocator if none has called so far."""
        self.allocator_follower.on_lost = self.candidate.stand
        self.candidate.stand()

    def announce(self) -> None:
        """Put this instance into the directory."""
        defer.ensureDeferred(self.try_announce())

    async def try_announce(self) -> None:
        """Put this instance into the directory, and read the others."""
        cluster = self.dependencies.cluster
        if not self.announced:
            self.announced = await cluster.register_instance(
                self.directory.local_instance
            )
        found = await cluster.instances()
        if not isinstance(found, platform.Away):
            self.directory.merge(found)
        is_settled = (
            self.announced and self.allocator_follower.is_allocator_alive()
        )
        if not is_settled and not self.stopping:
            self.timers.call_after(ANNOUNCE_S, self.announce)

    def watch(self) -> None:
        """Look for a silent allocator."""
        self.allocator_follower.drop_silent()
        if self.allocator_follower.link is not None:
            self.led_s = self.timers.now()

    def elected(
        self, reign: election.Term, links: instance_links.InstanceLinks
    ) -> None:
        """Begin to allocate."""
        self.stop_allocating(retiring=False)
        self.journal.log_event(
            'token_claimed',
            token=reign.token,
            before=self.allocator_follower.term.token,
            reserve=list(reign.successors),
            version=self.configuration.version(),
        )
        self.active_allocator = holder.ActiveAllocator(
            reign=reign,
            links=links,
            deps=self.dependencies,
            known=self.directory,
            configuration=self.configuration,
            on_fenced=self.fenced,
        )
        self.active_allocator.begin(self.allocator_follower.rows)

    def reign_changed(self, reign: election.Term) -> None:
        """Step down for an allocator with a higher token."""
        if (
            self.active_allocator is not None
            and reign.token > self.active_allocator.reign.token
        ):
            self.stop_allocating(retiring=False)

    def call_candidate(self) -> None:
        """Call whoever has lost the allocator, if that is this instance."""
        if self.active_allocator is not None:
            self.active_allocator.links.dial_again()

    def fenced(self) -> None:
        """Step down: somebody has used a higher token."""
        if self.active_allocator is not None:
            self.journal.log_event(
                'token_outdated', token=self.active_allocator.reign.token
            )
            self.stop_allocating(retiring=False)

    def stop_allocating(self, *, retiring: bool) -> None:
        """Stop allocating."""
        if self.active_allocator is not None:
            ended = self.active_allocator
            self.active_allocator = None
            ended.end(retiring=retiring)
            self.journal.log_event(
                'allocation_ended',
                token=ended.reign.token,
                jobs=len(ended.machine.state.jobs),
                retiring=retiring,
            )

    def is_ready(self) -> bool:
        """Return whether new connections are welcome."""
        unled_s = self.timers.now() - self.led_s
        is_configured = self.configuration.current is not None
        return is_configured and not self.stopping and unled_s < UNLED_READY_S

    def has_time_for(self, request: open_jobs.JobRequest) -> bool:
        """Return whether a job is likely to end before the process does."""
        if self.exit_deadline_s is None:
            return True
        left_s = self.exit_deadline_s - self.timers.now()
        likely_ms = request.estimate_ms * RUN_SPREAD + request.objective_ms
        return likely_ms / units.MS_PER_S < left_s

    def stop(self, *, exit_deadline_s: float) -> None:
        """Hand the allocation over, and take no new connections.

        Args:
            exit_deadline_s: When the process ends at the latest.
        """
        self.stopping = True
        self.exit_deadline_s = exit_deadline_s
        self.candidate.withdrawn = True
        self.stop_allocating(retiring=True)
