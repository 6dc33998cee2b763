"""One entry instance of the worker pool: its parts joined together."""

from collections.abc import Callable
from typing import Final

from twisted.internet import defer

from guavaroad.domain import units
from guavaroad.domain.pool import (
    open_jobs,
    peer_messages,
    routing,
    succession,
)
from guavaroad.ports import platform
from guavaroad.services.pool import (
    candidate,
    configuration_watch,
    directory,
    fan_out,
    following,
    holder,
    journal,
    owner_desk,
    surroundings,
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


class Node:
    """Takes jobs, and allocates while it holds the token.

    Attributes:
        desk: Jobs whose clients wait here.
        configuration: Configuration in force.
        following: The allocator that is followed.
        holder: The allocator itself, while it runs here.
        stopping: Whether this instance is going down.
        last_s: When the process ends at the latest; none while it stays.
    """

    def __init__(
        self,
        *,
        me: peer_messages.Instance,
        outside: surroundings.Outside,
        on_configuration: Callable[[routing.Configuration], object],
    ) -> None:
        self.outside = outside
        self.timers = outside.timers
        self.journal = outside.journal
        self.directory = directory.Directory(me=me)
        self.desk = owner_desk.OwnerDesk(
            timer_service=outside.timers, book=outside.journal
        )
        self.configuration = configuration_watch.ConfigurationWatch(
            cluster=outside.cluster,
            codec=outside.codec,
            timer_service=outside.timers,
            book=outside.journal,
            on_change=on_configuration,
        )
        self.following = following.Following(
            desk=self.desk,
            known=self.directory,
            configuration=self.configuration,
            cluster=outside.cluster,
            timer_service=outside.timers,
            book=outside.journal,
        )
        self.candidate = candidate.Candidate(
            follower=self.following,
            known=self.directory,
            dialler=outside.dialler,
            cluster=outside.cluster,
            timer_service=outside.timers,
            book=outside.journal,
            on_elected=self.elected,
        )
        self.following.on_reign = self.reign_changed
        self.following.on_poll = self.call_candidate
        self.holder: holder.Holder | None = None
        self.announced = False
        self.stopping = False
        self.led_s = outside.timers.now()
        self.last_s: float | None = None

    def start(self) -> None:
        """Begin to serve."""
        configuration_watch.run(self.configuration)
        self.announce()
        self.timers.subscribe(WATCH_S, self.watch)
        self.timers.subscribe(journal.REPORT_PERIOD_S, self.journal.report)
        self.timers.call_after(candidate.START_PATIENCE_S, self.begin_standing)

    def begin_standing(self) -> None:
        """Stand for allocator if none has called so far."""
        self.following.on_lost = self.candidate.stand
        self.candidate.stand()

    def announce(self) -> None:
        """Put this instance into the directory."""
        defer.ensureDeferred(self.try_announce())

    async def try_announce(self) -> None:
        """Put this instance into the directory, and read the others."""
        cluster = self.outside.cluster
        if not self.announced:
            self.announced = await cluster.announce(self.directory.me)
        found = await cluster.instances()
        if not isinstance(found, platform.Away):
            self.directory.merge(found)
        is_settled = self.announced and self.following.is_followed()
        if not is_settled and not self.stopping:
            self.timers.call_after(ANNOUNCE_S, self.announce)

    def watch(self) -> None:
        """Look for a silent allocator."""
        self.following.drop_silent()
        if self.following.link is not None:
            self.led_s = self.timers.now()

    def elected(self, reign: succession.Reign, links: fan_out.FanOut) -> None:
        """Begin to allocate."""
        self.end_holder(retiring=False)
        self.journal.say(
            'token_claimed',
            token=reign.token,
            before=self.following.reign.token,
            reserve=list(reign.reserve),
            version=self.configuration.version(),
        )
        self.holder = holder.Holder(
            reign=reign,
            links=links,
            outside=self.outside,
            known=self.directory,
            configuration=self.configuration,
            on_fenced=self.fenced,
        )
        self.holder.begin(self.following.rows)

    def reign_changed(self, reign: succession.Reign) -> None:
        """Step down for an allocator with a higher token."""
        if self.holder is not None and reign.token > self.holder.reign.token:
            self.end_holder(retiring=False)

    def call_candidate(self) -> None:
        """Call whoever has lost the allocator, if that is this instance."""
        if self.holder is not None:
            self.holder.links.dial_again()

    def fenced(self) -> None:
        """Step down: somebody has used a higher token."""
        if self.holder is not None:
            self.journal.say('token_outdated', token=self.holder.reign.token)
            self.end_holder(retiring=False)

    def end_holder(self, *, retiring: bool) -> None:
        """Stop allocating."""
        if self.holder is not None:
            ended = self.holder
            self.holder = None
            ended.end(retiring=retiring)
            self.journal.say(
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
        if self.last_s is None:
            return True
        left_s = self.last_s - self.timers.now()
        likely_ms = request.estimate_ms * RUN_SPREAD + request.aim_ms
        return likely_ms / units.MS_PER_S < left_s

    def stop(self, *, last_s: float) -> None:
        """Hand the allocation over, and take no new connections.

        Args:
            last_s: When the process ends at the latest.
        """
        self.stopping = True
        self.last_s = last_s
        self.candidate.withdrawn = True
        self.end_holder(retiring=True)
