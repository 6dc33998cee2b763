"""Runs the allocator while this instance holds the token."""

from collections.abc import Callable
from typing import Any, Final

from guavaroad.domain import units
from guavaroad.domain.pool import (
    actions,
    allocator,
    election,
    messages,
    peer_messages,
    values,
)
from guavaroad.ports import pool, timers
from guavaroad.services.pool import (
    configuration_watch,
    dependencies,
    directory,
    instance_links,
    listings,
    looks,
    orders,
    shares,
)

# Period of what time alone decides, in seconds.
TICK_S: Final = 0.02
# Period of heartbeats, in seconds: a fourth of the silence that tells.
BEAT_S: Final = 0.1
# Period of reading the list of workers, in seconds: a worker that drains must
# get no work after two.
LIST_S: Final = 0.5
# Period of reading the directory of instances, in seconds.
DIRECTORY_S: Final = 1


class ActiveAllocator:
    """The allocator with its links, workers and timers.

    Attributes:
        reign: What it tells the instances that follow it.
        machine: Decides.
    """

    def __init__(
        self,
        *,
        reign: election.Term,
        links: instance_links.InstanceLinks,
        deps: dependencies.Dependencies,
        known: directory.Directory,
        configuration: configuration_watch.ConfigurationWatch,
        on_fenced: Callable[[], object],
    ) -> None:
        self.reign = reign
        self.links = links
        self.directory = known
        self.configuration = configuration
        self.dependencies = deps
        self.on_fenced = on_fenced
        self.machine = allocator.Allocator(
            token=reign.token, now_s=deps.timers.now(), seed=reign.token
        )
        self.looks = looks.Looks(
            machine=self.machine,
            workers=deps.workers,
            timer_service=deps.timers,
            on_change=self.schedule,
            on_fenced=self.fenced,
        )
        self.orders = orders.Orders(
            machine=self.machine,
            workers=deps.workers,
            timer_service=deps.timers,
            on_change=self.schedule,
            on_fenced=self.fenced,
        )
        self.shares = shares.Shares(
            links=links, reign=reign, configuration=configuration
        )
        self.listings = listings.Listings(
            machine=self.machine,
            known=known,
            outside=deps,
            on_change=self.schedule,
            on_rows=self.shares.share_rows,
            on_directory=lambda: self.shares.call_all(known.everyone()),
        )
        self.subscriptions: list[timers.Timer] = []
        self.scheduled = False
        self.ended = False

    def begin(self, inherited: pool.WorkerRows | None) -> None:
        """Begin to allocate.

        Args:
            inherited: List of workers that the allocator before has shared.
        """
        self.links.on_link = self.linked
        self.links.on_message = self.received
        self.links.on_lost = self.link_lost
        for name, link in tuple(self.links.links.items()):
            self.linked(name, link)
        subscribe = self.dependencies.timers.subscribe
        self.subscriptions = [
            subscribe(TICK_S, self.tick),
            subscribe(BEAT_S, self.beat),
            subscribe(LIST_S, self.listings.read_list),
            subscribe(DIRECTORY_S, self.listings.read_directory),
        ]
        if inherited is not None:
            self.listings.take_rows(inherited)
        self.listings.read_list()
        self.listings.read_directory()
        self.links.dial_all()

    def end(self, *, retiring: bool) -> None:
        """Stop allocating.

        Args:
            retiring: Whether the next one may take over at once.
        """
        if self.ended:
            return
        self.ended = True
        for subscription in self.subscriptions:
            subscription.cancel()
        self.looks.end_all()
        if retiring:
            for link in self.links.links.values():
                link.send(peer_messages.Retiring())
        self.links.end()

    def fenced(self) -> None:
        """Step down: a worker has seen a higher token."""
        if not self.ended:
            self.on_fenced()

    def linked(
        self, name: values.InstanceName, link: instance_links.LinkPort
    ) -> None:
        """Ask an instance to follow."""
        remembers = self.machine.orphans.on_owner_linked(name)
        self.dependencies.decision_log.log_event(
            'instance_linked', instance=name, token=self.reign.token
        )
        self.grow_reserve(name)
        link.send(
            peer_messages.Follow(
                token=self.reign.token,
                allocator=self.reign.allocator,
                successors=self.reign.successors,
                reserved_token_base=self.reign.reserved_token_base,
                instances=self.directory.everyone(),
                has_declared_jobs=remembers,
            )
        )
        link.send(self.heartbeat())
        if name in self.reign.successors:
            self.shares.send_rows(name)

    def grow_reserve(self, name: values.InstanceName) -> None:
        """Name one more instance that may take over without the store."""
        grown = election.add_successor(self.reign, name, self.directory.zones())
        if grown != self.reign:
            self.reign = grown
            self.shares.name_reserve(grown)

    def link_lost(
        self, name: values.InstanceName, how: instance_links.Loss
    ) -> None:
        """Let go of the jobs of an instance, at once or after a grace."""
        self.machine.orphans.on_owner_lost(
            name,
            self.dependencies.timers.now(),
            timed_out=how is instance_links.Loss.TIMEOUT,
        )
        self.dependencies.decision_log.log_event(
            'instance_lost', instance=name, how=how.value
        )

    def received(self, name: values.InstanceName, message: Any) -> None:
        """Take a message of an instance."""
        now_s = self.dependencies.timers.now()
        match message:
            case messages.Declare():
                self.machine.job_admission.declare(name, message, now_s)
                self.schedule()
            case messages.Withdraw():
                self.machine.job_admission.withdraw(name, message.job)
                self.schedule()
            case peer_messages.OwnerBeat():
                self.shares.share_configuration(
                    name, message.config_version, now_s
                )
            case peer_messages.SharedConfig():
                self.configuration.take(message.body, name)
            case peer_messages.SharedWorkers():
                self.listings.take_rows(pool.WorkerRows(rows=message.rows))
            case peer_messages.Superseded():
                self.dependencies.decision_log.log_event(
                    'superseded',
                    token=self.reign.token,
                    by=message.allocator,
                    higher=message.token,
                )
                self.fenced()

    def tick(self) -> None:
        """See to what time alone decides."""
        self.links.drop_silent(election.ALLOCATOR_TIMEOUT_S)
        self.machine.tick(self.dependencies.timers.now())
        self.pump()

    def beat(self) -> None:
        """Send heartbeats, and dial lost instances."""
        beat = self.heartbeat()
        for link in tuple(self.links.links.values()):
            link.send(beat)
        self.links.dial_all()

    def heartbeat(self) -> peer_messages.AllocatorBeat:
        """Return what a heartbeat tells."""
        age_s = self.dependencies.timers.now() - self.listings.listed_s
        return peer_messages.AllocatorBeat(
            config_version=self.configuration.version(),
            list_age_ms=units.to_ms(age_s),
        )

    def schedule(self) -> None:
        """Decide and act at the end of this turn of the loop."""
        if not self.scheduled and not self.ended:
            self.scheduled = True
            self.dependencies.timers.call_after(0, self.pump)

    def pump(self) -> None:
        """Place tasks, and carry out what was decided."""
        self.scheduled = False
        if self.ended:
            return
        self.machine.place(self.dependencies.timers.now())
        decided = self.machine.pop_actions()
        self.shares.tell_owners(decided)
        for action in decided:
            self.carry_out(action)

    def carry_out(self, action: actions.Action) -> None:
        """Carry out an action that is no message."""
        match action:
            case actions.StartRun():
                self.orders.start(action)
            case actions.StopRun():
                self.orders.stop(action)
            case actions.PollNow():
                self.looks.look_now(action.worker_id)
            case actions.WorkerAdded():
                self.looks.begin(action.worker_id)
            case actions.WorkerRemoved():
                self.looks.end(action.worker_id)
            case actions.LogEvent():
                self.dependencies.decision_log.noted(action)
