"""Runs the allocator while this instance holds the token."""

from collections.abc import Callable
from typing import Final

from guavaroad.domain.pool import (
    allocator,
    election,
    peer_messages,
    values,
    worker,
)
from guavaroad.ports import pool, timers
from guavaroad.services.pool import (
    action_executor,
    agent_calls,
    allocator_inbox,
    dependencies,
    follow_requests,
    heartbeat_sender,
    instance_links,
    instance_parts,
    state_broadcaster,
    store_reader,
)

# Period of time-driven decisions, in seconds.
TICK_PERIOD_S: Final = 0.02
# Period of checking links, agents and calls for time-outs, in seconds.
LINK_CHECK_PERIOD_S: Final = 0.05
# Period of reading the directory of instances, in seconds.
DIRECTORY_PERIOD_S: Final = 1


class ActiveAllocator:
    """The allocator with its links, workers and timers.

    Attributes:
        term: Term of this allocator.
        links: Links to the instances.
        evacuations: Evacuated availability zones.
        machine: State machine that makes the decisions.
        store_reader: Keeps the worker list up to date.
        executor: Executes the decisions.
        heartbeats: Sends heartbeats, and checks the links.
        follow_requests: Asks instances to follow this allocator.
        inbox: Processes the messages of instances.
        subscriptions: Periodic calls.
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
        parts: instance_parts.InstanceParts,
        on_fenced: Callable[[], object],
    ) -> None:
        self.term = term
        self.links = links
        self.dependencies = deps
        self.on_fenced = on_fenced
        self.evacuations = parts.configuration.evacuations
        self.machine = allocator.Allocator(
            token=term.token, now_s=deps.timers.now(), seed=term.token
        )
        broadcaster = state_broadcaster.StateBroadcaster(
            links=links,
            term=term,
            configuration=parts.configuration,
            instance_directory=parts.directory,
            timer_service=deps.timers,
            link_bytes_per_s=deps.link_bytes_per_s,
        )
        self.store_reader = store_reader.StoreReader(
            machine=self.machine,
            instance_directory=parts.directory,
            deps=deps,
            on_change=self.schedule_dispatch,
            on_rows=self.on_worker_list,
            on_directory=broadcaster.share_directory,
        )
        self.create_callers(parts, broadcaster)
        self.subscriptions: list[timers.Timer] = []
        self.is_scheduled = False
        self.stopped = False

    def create_callers(
        self,
        parts: instance_parts.InstanceParts,
        broadcaster: state_broadcaster.StateBroadcaster,
    ) -> None:
        """Create the parts that exchange messages with others."""
        deps = self.dependencies
        calls = agent_calls.AgentCalls(
            token=self.term.token,
            links=self.links,
            instance_directory=parts.directory,
            deps=deps,
            agent=parts.agent,
            starter=parts.starter,
            on_mode=self.announce_mode,
        )
        self.executor = action_executor.ActionExecutor(
            machine=self.machine,
            calls=calls,
            broadcaster=broadcaster,
            log=deps.decision_log,
            on_change=self.schedule_dispatch,
            on_fenced=self.step_down,
        )
        self.heartbeats = heartbeat_sender.HeartbeatSender(
            links=self.links,
            calls=calls,
            broadcaster=broadcaster,
            configuration=parts.configuration,
            reader=self.store_reader,
        )
        self.follow_requests = follow_requests.FollowRequests(
            term=self.term,
            instance_directory=parts.directory,
            assignments=calls.assignments,
            broadcaster=broadcaster,
            log=deps.decision_log,
        )
        self.inbox = allocator_inbox.AllocatorInbox(
            machine=self.machine,
            calls=calls,
            requests=self.follow_requests,
            configuration=parts.configuration,
            reader=self.store_reader,
            on_change=self.schedule_dispatch,
            on_superseded=self.on_superseded,
        )

    def on_worker_list(
        self, rows: pool.WorkerRows, listed: tuple[worker.WorkerInfo, ...]
    ) -> None:
        """Prepare for a changed worker list, and share it."""
        self.executor.calls.assignments.update_mode(len(listed))
        self.executor.broadcaster.share_worker_rows(rows, listed)

    def announce_mode(self) -> None:
        """Tell the instances who sends the start orders of new jobs."""
        self.follow_requests.announce_mode()

    def start(self, inherited: pool.WorkerRows | None) -> None:
        """Start to allocate.

        Args:
            inherited: Worker rows that the previous allocator has shared.
        """
        self.links.on_link = self.request_follow
        self.links.on_message = self.inbox.receive
        self.links.on_lost = self.record_link_loss
        for name, link in tuple(self.links.links.items()):
            self.request_follow(name, link)
        subscribe = self.dependencies.timers.subscribe
        self.subscriptions = [
            subscribe(TICK_PERIOD_S, self.tick),
            subscribe(election.HEARTBEAT_PERIOD_S, self.heartbeats.send_all),
            subscribe(LINK_CHECK_PERIOD_S, self.heartbeats.check),
            subscribe(
                self.dependencies.worker_list_period_s,
                self.store_reader.read_workers,
            ),
            subscribe(DIRECTORY_PERIOD_S, self.store_reader.read_directory),
        ]
        self.apply_evacuations()
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
        self.executor.status_poller.remove_all()
        # The allocator is part of reference cycles.
        self.machine.state.closed.clear_filters()
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
        self.machine.job_admission.earlier.on_owner_linked(
            name, self.dependencies.timers.now()
        )
        self.follow_requests.send(
            name,
            link,
            has_declared_jobs=self.machine.orphans.on_owner_linked(
                name, self.dependencies.timers.now()
            ),
        )
        link.send(self.heartbeats.heartbeat())

    def record_link_loss(
        self, name: values.InstanceName, how: instance_links.Loss
    ) -> None:
        """Give up the jobs of an instance, at once or after a grace period."""
        self.executor.calls.on_lost(name)
        self.executor.broadcaster.remove_follower(name)
        self.machine.orphans.on_owner_lost(
            name,
            self.dependencies.timers.now(),
            timed_out=how is instance_links.Loss.TIMEOUT,
        )
        self.dependencies.decision_log.log_event(
            'instance_lost', instance=name, how=how.value
        )

    def on_superseded(self, message: peer_messages.Superseded) -> None:
        """Step down, as an instance follows a higher token."""
        self.dependencies.decision_log.log_event(
            'superseded',
            token=self.term.token,
            by=message.allocator,
            higher=message.token,
        )
        self.step_down()

    def tick(self) -> None:
        """Make the time-driven decisions."""
        self.apply_evacuations()
        self.machine.tick(self.dependencies.timers.now())
        self.dispatch()

    def apply_evacuations(self) -> None:
        """Start no tasks in the evacuated zones."""
        zones = self.evacuations.current.zones
        self.machine.worker_registry.evacuate(zones)

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
        self.executor.execute_all(decided)
