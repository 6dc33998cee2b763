"""Which agent makes the calls to each worker."""

import dataclasses
from collections.abc import Callable
from typing import Final

from guavaroad.domain.pool import (
    agent_messages,
    agent_ranking,
    call_mode,
    values,
    worker,
)
from guavaroad.ports import timers
from guavaroad.services.pool import (
    agent_session,
    decision_log,
    directory,
    instance_links,
)

# An agent without a message for this long gets no calls, in seconds: two and a
# half heartbeats. Its workers move to other agents well before their leases
# lapse.
AGENT_SUSPECT_S: Final = 0.25
# After a takeover no worker is assigned until most of the linked instances have
# announced that they are agents. Otherwise the allocator, which is the first of
# them, would open connections to all workers, and pass them on at once.
SETTLED_SHARE: Final = 0.8
# Time after which workers are assigned all the same, in seconds: instances of
# older builds announce nothing.
SETTLE_TIMEOUT_S: Final = 0.3
# Unanswered polls, without any answer of the worker between them, after which
# the next agent is tried. Fewer may be lost answers.
FAILURES_TO_MOVE: Final = 3


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class AssignedWorker:
    """A worker and its agent.

    Attributes:
        worker_info: Entry of the worker in the platform's list.
        number: Number of the worker within this term.
        agent: Its agent; none if it has none yet.
        generation: Set of agents for which the agent was chosen.
        moves: How often the next agent was tried.
        failures: Unanswered polls since the last answer of the worker.
    """

    worker_info: worker.WorkerInfo
    number: int
    agent: values.InstanceName | None = None
    generation: int = 0
    moves: int = 0
    failures: int = 0

    def record_answer(self) -> None:
        """Record an answer of the worker."""
        self.failures = 0

    def record_unanswered_poll(self) -> None:
        """Try the next agent after repeated failures to reach the worker."""
        self.failures += 1
        if self.failures >= FAILURES_TO_MOVE:
            self.failures = 0
            self.moves += 1
            self.generation = 0


class AgentAssignments:
    """Assigns each worker to an agent.

    Attributes:
        local_name: Name of this instance.
        links: Links to the instances.
        local_session: Calls that this instance makes itself.
        link_bytes_per_s: Capacity of this instance's link, in bytes a second.
        on_mode: Called when `is_direct` changes.
        workers: Assigned workers by id.
        announced: Versions of the messages that the instances understand.
        agents: Instances that may get calls, this one among them.
        generation: Incremented whenever agents have to be chosen again.
        is_direct: Whether this instance calls the workers itself.
        last_number: Number of the last worker.
    """

    def __init__(
        self,
        *,
        links: instance_links.InstanceLinks,
        instance_directory: directory.Directory,
        local_session: agent_session.AgentSession,
        timer_service: timers.TimerService,
        log: decision_log.DecisionLog,
        link_bytes_per_s: float,
        on_mode: Callable[[], object],
    ) -> None:
        self.directory = instance_directory
        self.links = links
        self.local_session = local_session
        self.timers = timer_service
        self.decision_log = log
        self.link_bytes_per_s = link_bytes_per_s
        self.on_mode = on_mode
        self.created_s = timer_service.now()
        self.workers: dict[values.WorkerId, AssignedWorker] = {}
        self.announced: dict[values.InstanceName, int] = {}
        self.agents = frozenset((self.local_name,))
        self.generation = 1
        self.is_direct = False
        self.last_number = 0

    @property
    def local_name(self) -> values.InstanceName:
        """Return the name of this instance."""
        return self.directory.local_instance.name

    def add(self, worker_info: worker.WorkerInfo) -> None:
        """Add a worker, or tell its agent the address of its present entry."""
        known = self.workers.get(worker_info.worker_id)
        if known is not None:
            known.worker_info = worker_info
            known.failures = 0
            if known.agent is not None:
                self.assign(known, known.agent)
            return
        self.last_number += 1
        self.workers[worker_info.worker_id] = AssignedWorker(
            worker_info=worker_info, number=self.last_number
        )

    def remove(self, worker_id: values.WorkerId) -> AssignedWorker:
        """Remove a worker, and return it."""
        assigned = self.workers.pop(worker_id)
        self.release(assigned)
        return assigned

    def update_mode(self, workers: int) -> None:
        """Decide whether this instance calls the workers itself.

        Args:
            workers: Number of workers in the platform's list.
        """
        is_direct = call_mode.is_direct(
            workers=workers,
            link_bytes_per_s=self.link_bytes_per_s,
            was_direct=self.is_direct,
        )
        if is_direct != self.is_direct:
            self.is_direct = is_direct
            self.generation += 1
            self.decision_log.log_event(
                'call_mode', direct=is_direct, workers=workers
            )
            self.on_mode()

    def remove_agent(self, name: values.InstanceName) -> None:
        """Choose other agents for the workers of an instance."""
        self.announced.pop(name, None)
        for assigned in self.workers.values():
            if assigned.agent == name:
                assigned.agent = None

    def update_agents(self) -> frozenset[values.InstanceName]:
        """Update the set of agents, and return those that have left it."""
        agents = frozenset(filter(self.is_usable, self.announced))
        agents |= {self.local_name}
        left = self.agents - agents
        if agents != self.agents:
            self.agents = agents
            self.generation += 1
        if left:
            self.decision_log.log_event('agents_left', agents=sorted(left))
        return left

    def is_usable(self, name: values.InstanceName) -> bool:
        """Return whether an instance may get calls."""
        if not self.announced[name] or name not in self.links.links:
            return False
        silent_s = self.timers.now() - self.links.last_received_s[name]
        return silent_s < AGENT_SUSPECT_S

    def is_settled(self) -> bool:
        """Return whether workers may be assigned to agents yet."""
        waited_s = self.timers.now() - self.created_s
        if self.is_direct or waited_s > SETTLE_TIMEOUT_S:
            return True
        linked = self.links.links
        announced = self.announced.keys() & linked.keys()
        return bool(announced) and (
            len(announced) >= SETTLED_SHARE * len(linked)
        )

    def agent_of(self, assigned: AssignedWorker) -> values.InstanceName:
        """Return the agent of a worker; assign it to one if needed."""
        if assigned.agent is None or assigned.generation != self.generation:
            return self.choose(assigned)
        return assigned.agent

    def choose(self, assigned: AssignedWorker) -> values.InstanceName:
        """Choose the agent of a worker among the present ones."""
        assigned.generation = self.generation
        known = self.directory.instances
        chosen = agent_ranking.choose_agent(
            worker_id=assigned.worker_info.worker_id,
            zone=assigned.worker_info.zone,
            instances=[known[name] for name in self.agents if name in known],
            allocator=self.local_name,
            failures=assigned.moves,
            is_direct=self.is_direct,
        )
        if chosen != assigned.agent:
            self.release(assigned)
            assigned.agent = chosen
            self.assign(assigned, chosen)
        return chosen

    def assign(
        self, assigned: AssignedWorker, agent: values.InstanceName
    ) -> None:
        """Tell an instance that it gets calls to a worker."""
        self.send(
            agent,
            agent_messages.AssignWorker(
                number=assigned.number,
                worker_id=assigned.worker_info.worker_id,
                address=assigned.worker_info.address,
            ),
        )

    def release(self, assigned: AssignedWorker) -> None:
        """Tell the agent of a worker that it gets no further calls."""
        if assigned.agent is not None:
            self.send(
                assigned.agent,
                agent_messages.ReleaseWorker(number=assigned.number),
            )
        assigned.agent = None

    def send(
        self, agent: values.InstanceName, message: agent_messages.ToAgent
    ) -> None:
        """Send a message to an agent, if it is still linked."""
        if agent == self.local_name:
            self.local_session.receive(message)
            return
        link = self.links.links.get(agent)
        if link is not None:
            link.send(message)
