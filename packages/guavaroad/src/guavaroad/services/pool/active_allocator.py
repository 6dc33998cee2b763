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
    orders,
    state_broadcaster,
    status_poller,
    store_reader,
)

# Period of time-driven decisions, in seconds.
TICK_PERIOD_S: Final = 0.02
# Period of heartbeats, in seconds: about a quarter of the allocator timeout.
HEARTBEAT_PERIOD_S: Final = 0.1
# Period of reading the worker list, in seconds. A worker that drains must get
# no more work 2 s later.
WORKERS_PERIOD_S: Final = 0.5
# Period of reading the directory of instances, in seconds.
DIRECTORY_PERIOD_S: Final = 1


class ActiveAllocator:
    """The allocator with its links, workers and timers.

    Attributes:
        term: Term of this allocator.
        machine: State machine that makes the decisions.
        is_scheduled: Whether a dispatch is due at the end of this reactor
            iteration.
        stopped: Whether the allocation has ended.
    """

    def __init__(
        self,
        *,
        term: election.Term,
        links: instance_links.InstanceLinks,
        deps: dependencies.Dependencies,
        instance_directory: directory.Directory,
        configuration: configuration_watch.ConfigurationWatch,
        on_fenced: Callable[[], object],
    ) -> None:
        self.term = term
        self.links = links
        self.directory = instance_directory
        self.configuration = configuration
        self.dependencies = deps
        self.on_fenced = on_fenced
        self.machine = allocator.Allocator(
            token=term.token, now_s=deps.timers.now(), seed=term.token
        )
        self.status_poller = status_poller.StatusPoller(
            machine=self.machine,
            workers=deps.workers,
            timer_service=deps.timers,
            on_change=self.schedule_dispatch,
            on_fenced=self.step_down,
        )
        self.order_sender = orders.OrderSender(
            machine=self.machine,
            workers=deps.workers,
            timer_service=deps.timers,
            on_change=self.schedule_dispatch,
            on_fenced=self.step_down,
        )
        self.broadcaster = state_broadcaster.StateBroadcaster(
            links=links, term=term, configuration=configuration
        )
        self.store_reader = store_reader.StoreReader(
            machine=self.machine,
            instance_directory=instance_directory,
            deps=deps,
            on_change=self.schedule_dispatch,
            on_rows=self.broadcaster.share_worker_rows,
            on_directory=lambda: self.broadcaster.share_directory(
                instance_directory.all_instances()
            ),
        )
        self.subscriptions: list[timers.Timer] = []
        self.is_scheduled = False
        self.stopped = False

    def start(self, inherited: pool.WorkerRows | None) -> None:
        """Start to allocate.

        Args:
            inherited: Worker rows that the previous allocator has shared.
        """
        self.links.on_link = self.request_follow
        self.links.on_message = self.receive
        self.links.on_lost = self.record_link_loss
        for name, link in tuple(self.links.links.items()):
            self.request_follow(name, link)
        subscribe = self.dependencies.timers.subscribe
        self.subscriptions = [
            subscribe(TICK_PERIOD_S, self.tick),
            subscribe(HEARTBEAT_PERIOD_S, self.send_heartbeats),
            subscribe(WORKERS_PERIOD_S, self.store_reader.read_workers),
            subscribe(DIRECTORY_PERIOD_S, self.store_reader.read_directory),
        ]
        if inherited is not None:
            self.store_reader.apply_worker_rows(inherited)
        self.store_reader.read_workers()
        self.store_reader.read_directory()
        self.links.dial_all()

    def stop(self, *, retiring: bool) -> None:
        """Stop allocating.

        Args:
            retiring: Whether to notify the followers, so that a successor takes
                over without waiting for the allocator timeout.
        """
        if self.stopped:
            return
        self.stopped = True
        for subscription in self.subscriptions:
            subscription.cancel()
        self.status_poller.remove_all()
        if retiring:
            for link in self.links.links.values():
                link.send(peer_messages.Retiring())
        self.links.close()

    def step_down(self) -> None:
        """Report that a higher token is in use, unless already stopped."""
        if not self.stopped:
            self.on_fenced()

    def request_follow(
        self, name: values.InstanceName, link: instance_links.LinkPort
    ) -> None:
        """Ask a newly linked instance to follow this allocator."""
        has_declared_jobs = self.machine.orphans.on_owner_linked(name)
        self.dependencies.decision_log.log_event(
            'instance_linked', instance=name, token=self.term.token
        )
        self.add_successor(name)
        link.send(
            peer_messages.Follow(
                token=self.term.token,
                allocator=self.term.allocator,
                successors=self.term.successors,
                reserved_token_base=self.term.reserved_token_base,
                instances=self.directory.all_instances(),
                has_declared_jobs=has_declared_jobs,
            )
        )
        link.send(self.heartbeat())
        if name in self.term.successors:
            self.broadcaster.send_worker_rows(name)

    def add_successor(self, name: values.InstanceName) -> None:
        """Reserve a token for an instance if there is one left."""
        extended = election.add_successor(
            self.term, name, self.directory.zones()
        )
        if extended != self.term:
            self.term = extended
            self.broadcaster.send_successors(extended)

    def record_link_loss(
        self, name: values.InstanceName, how: instance_links.Loss
    ) -> None:
        """Give up the jobs of an instance, at once or after a grace period."""
        self.machine.orphans.on_owner_lost(
            name,
            self.dependencies.timers.now(),
            timed_out=how is instance_links.Loss.TIMEOUT,
        )
        self.dependencies.decision_log.log_event(
            'instance_lost', instance=name, how=how.value
        )

    def receive(self, name: values.InstanceName, message: Any) -> None:
        """Process a message of an instance."""
        now_s = self.dependencies.timers.now()
        match message:
            case messages.Declare():
                self.machine.job_admission.declare(name, message, now_s)
                self.schedule_dispatch()
            case messages.Withdraw():
                self.machine.job_admission.withdraw(name, message.job)
                self.schedule_dispatch()
            case peer_messages.OwnerBeat():
                self.broadcaster.send_configuration(
                    name, message.config_version, now_s
                )
            case peer_messages.SharedConfig():
                self.configuration.apply(message.body, name)
            case peer_messages.SharedWorkers():
                self.store_reader.apply_worker_rows(
                    pool.WorkerRows(rows=message.rows)
                )
            case peer_messages.Superseded():
                self.dependencies.decision_log.log_event(
                    'superseded',
                    token=self.term.token,
                    by=message.allocator,
                    higher=message.token,
                )
                self.step_down()

    def tick(self) -> None:
        """Make the time-driven decisions."""
        self.links.drop_unresponsive(election.ALLOCATOR_TIMEOUT_S)
        self.machine.tick(self.dependencies.timers.now())
        self.dispatch()

    def send_heartbeats(self) -> None:
        """Send heartbeats, and dial the instances that have no link."""
        beat = self.heartbeat()
        for link in tuple(self.links.links.values()):
            link.send(beat)
        self.links.dial_all()

    def heartbeat(self) -> peer_messages.AllocatorBeat:
        """Return a heartbeat message."""
        age_s = self.dependencies.timers.now() - self.store_reader.updated_s
        return peer_messages.AllocatorBeat(
            config_version=self.configuration.version(),
            list_age_ms=units.to_ms(age_s),
        )

    def schedule_dispatch(self) -> None:
        """Dispatch at the end of this reactor iteration."""
        if not self.is_scheduled and not self.stopped:
            self.is_scheduled = True
            self.dependencies.timers.call_after(0, self.dispatch)

    def dispatch(self) -> None:
        """Place queued tasks, and execute the resulting actions."""
        self.is_scheduled = False
        if self.stopped:
            return
        self.machine.place(self.dependencies.timers.now())
        decided = self.machine.pop_actions()
        self.broadcaster.notify_owners(decided)
        for action in decided:
            self.execute(action)

    def execute(self, action: actions.Action) -> None:
        """Execute an action other than a notification of an owner."""
        match action:
            case actions.StartRun():
                self.order_sender.start(action)
            case actions.StopRun():
                self.order_sender.stop(action)
            case actions.PollNow():
                self.status_poller.poll_now(action.worker_id)
            case actions.WorkerAdded():
                self.status_poller.add_worker(action.worker_id)
            case actions.WorkerRemoved():
                self.status_poller.remove_worker(action.worker_id)
            case actions.LogEvent():
                self.dependencies.decision_log.log_action(action)
