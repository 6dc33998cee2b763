"""Explicit-state search over the protocol of submissions.

Two instances run the product's own writer and submission on one table.  The
search takes every action in every reachable order, breadth first: sends,
deliveries in any order, lost answers, sends that fail, crashes, takeovers of
living and dead owners, claims, starts, losses, cancels and resubmissions.
"""

import collections
import dataclasses
import enum
import pickle

import msgspec

from guavaroad.domain import attempts, codes, jobs, names
from guavaroad.domain.submissions import (
    endings,
    lookups,
    messages,
    packing,
    records,
    submission,
    writer,
)

SUBMISSION_ID = names.SubmissionId('id')
PREFIX = 'segments/a/0.'
NO_ROW = (0, records.decode(b''))
UNBOUNDED = 1_000_000_000


class Fault(enum.Enum):
    """A fault planted in the harness, never in the product."""

    NONE = 'none'
    START_BEFORE_CLAIM = 'start before the claim is written'
    TAKEOVER_WITHOUT_CAS = 'takeover without compare-and-set'
    RETRY_AFTER_LOSS = 'retry after a lost answer'
    NOT_RUN_BEFORE_ROW = 'not run before the row says so'


class Mode(enum.Enum):
    """How the first owner takes the submission."""

    UNRECORDED = 'unrecorded'
    OPTIONAL = 'optional'
    REQUIRED = 'required'


@dataclasses.dataclass(kw_only=True)
class Budget:
    """Faults still allowed, so that the search ends."""

    crashes: int = 1
    faults: int = 2
    takeovers: int = 2


class OperationIds:
    """Numbers the writes of one instance."""

    def __init__(self, *, owner):
        self.owner = owner
        self.count = 0

    def __call__(self):
        """Return the next id."""
        self.count += 1
        return f'{self.owner}{self.count}'


class Node:
    """One instance."""

    def __init__(self, *, name):
        self.name = name
        self.writer = writer.GroupWriter(
            owner=name, operation_ids=OperationIds(owner=name)
        )
        self.job = None
        self.up = True
        self.waiting = False
        self.moved = False
        self.outcome = None

    def take(self, hold=None):
        """Own the submission from now on."""
        self.job = submission.Submission(request=job_request(), hold=hold)
        self.moved = False

    def fingerprint(self):
        """Return what tells two states apart."""
        job = self.job
        slots = [slot.state.value for slot in job.tasks] if job else None
        return repr((
            self.up, self.waiting, self.moved, self.outcome, slots,
            job and (job.ending, job.hold), self.writer.segments,
            self.writer.pending,
        ))  # fmt: skip


def job_request():
    """Return a job of one task."""
    return jobs.JobRequest(
        submission_id=SUBMISSION_ID,
        team=names.TeamName('office'),
        job=names.JobName('render'),
        urgency=jobs.Urgency.NORMAL,
        pool=names.PoolName('main'),
        tasks=(jobs.TaskSpec(payload=msgspec.Raw(b'1')),),
        deadline_s=1,
        digest='d',
    )


class World:
    """Everything that the search copies."""

    def __init__(self, *, mode, fault):
        self.fault = fault
        self.nodes = {name: Node(name=name) for name in ('a', 'b')}
        self.rows = {}
        self.operations = {}
        self.network = []
        self.starts = 0
        self.told = []
        self.budget = Budget()
        owner = self.nodes['a']
        owner.take()
        if mode is not Mode.UNRECORDED:
            owner.writer.put(
                PREFIX,
                records.Record(
                    submission_id=SUBMISSION_ID,
                    state=records.RecordState.QUEUED,
                    owner='a',
                ),
                hold=owner.job.hold,
                required=mode is Mode.REQUIRED,
            )

    def fingerprint(self):
        """Return what tells two states apart."""
        return hash((
            tuple(node.fingerprint() for node in self.nodes.values()),
            repr(sorted(self.rows.items())), repr(sorted(self.operations)),
            repr(sorted(self.network, key=repr)), self.starts, tuple(self.told),
            repr(self.budget),
        ))  # fmt: skip

    def actions(self):
        """Return every action that may come next."""
        found = []
        for name, node in self.nodes.items():
            if node.up:
                found += [(verb, name) for verb in self.verbs(node)]
        copies = range(len(self.network))
        found += [('deliver', index) for index in copies]
        if self.budget.faults:
            found += [('deliver_unanswered', index) for index in copies]
        if self.budget.faults and self.operations:
            found.append(('forget', ''))
        return found

    def verbs(self, node):
        """Return what one instance may do next."""
        allowed = {
            **self.table_verbs(node),
            'takeover': self.budget.takeovers and self.rows,
            'crash': self.budget.crashes,
        }
        verbs = [verb for verb, may in allowed.items() if may]
        if node.job is None or node.outcome is not None:
            return verbs
        return [*verbs, *self.job_verbs(node)]

    def table_verbs(self, node):
        """Return which steps of a write may come next."""
        faults = self.budget.faults
        dirty = any(one.dirty() for one in node.writer.segments.values())
        pending = not node.waiting and (dirty or node.writer.pending)
        return {
            'timeout': node.waiting and faults,
            'send': pending,
            'fail_send': pending and faults,
        }

    def job_verbs(self, node):
        """Return what may happen to its submission."""
        entry = node.writer.find(SUBMISSION_ID)
        queued = entry and entry.record.state is records.RecordState.QUEUED
        verbs = ['claim'] if queued else []
        if node.job.tasks[0].state is jobs.TaskState.STARTED:
            return [*verbs, 'answer', 'lose']
        return [*verbs, 'start', 'cancel']

    def act(self, verb, argument):
        """Take one action and check the invariants."""
        getattr(self, verb)(argument)
        for name, node in self.nodes.items():
            if node.up:
                self.ask(name)
        self.check()

    def send(self, name):
        """Send the next transaction."""
        node = self.nodes[name]
        transaction = node.writer.next_transaction()
        if transaction is not None:
            node.waiting = True
            self.network.append((name, transaction))

    def fail_send(self, name):
        """Fail a send before it leaves."""
        node = self.nodes[name]
        if node.writer.next_transaction() is not None:
            self.budget.faults -= 1
            self.settle(node, messages.WriteUnsent())

    def deliver(self, index):
        """Let the table take one copy and answer it."""
        name, transaction = self.network.pop(index)
        result = self.commit(name, transaction)
        node = self.nodes[name]
        flight = node.writer.pending
        awaited = flight is not None and flight.transaction == transaction
        if not (node.up and node.waiting and awaited):
            return
        self.settle(node, result)

    def deliver_unanswered(self, index):
        """Let the table take one copy and lose the answer."""
        self.budget.faults -= 1
        name, transaction = self.network.pop(index)
        self.commit(name, transaction)
        node = self.nodes[name]
        if node.up and node.waiting:
            self.settle(node, messages.WriteUnknown())

    def timeout(self, name):
        """Give up the wait for an answer."""
        self.budget.faults -= 1
        self.settle(self.nodes[name], messages.WriteUnknown())

    def forget(self, _):
        """Let the table forget the operation ids."""
        self.budget.faults -= 1
        self.operations.clear()

    def commit(self, name, transaction):
        """Write all rows if every version matches."""
        known = self.operations.get(transaction.operation_id)
        if known is not None:
            return known
        unguarded = self.fault is Fault.TAKEOVER_WITHOUT_CAS and name == 'b'
        missed = [
            self.row(change.key)
            for change in transaction.changes
            if self.row(change.key).version != change.expected_version
        ]
        if missed and not unguarded:
            result = messages.WriteConflict(rows=tuple(missed))
        else:
            result = messages.WriteCommitted()
            for change in transaction.changes:
                version = self.row(change.key).version + 1
                self.rows[change.key] = (version, change.segment)
        self.operations[transaction.operation_id] = result
        return result

    def row(self, key):
        """Return a row of the table."""
        version, segment = self.rows.get(key, NO_ROW)
        return messages.FoundRow(key=key, version=version, segment=segment)

    def settle(self, node, result):
        """Hand a result to the writer."""
        node.waiting = False
        for event in node.writer.apply_result(result):
            self.hear(node, event)

    def hear(self, node, event):
        """Act on what the writer concluded."""
        match event:
            case messages.Adopted():
                node.outcome = None
                entry = node.writer.find(SUBMISSION_ID)
                node.take(entry.hold)
            case messages.Moved():
                node.moved = True
            case messages.Claimed() | messages.Ended():
                self.tell_kept(node)
            case messages.NotRecorded():
                self.give_up(node, codes.ResultCode.PLATFORM_AWAY)

    def give_up(self, node, code):
        """End the submission before its start."""
        node.job.end(code, '')
        self.end_if_settled(node)

    def takeover(self, name):
        """Try to take over every queued row."""
        self.budget.takeovers -= 1
        for key in list(self.rows):
            row = self.row(key)
            finding = lookups.find_record((row,), SUBMISSION_ID)
            match finding:
                case lookups.QueuedRecord() if row.segment.holder != name:
                    self.nodes[name].writer.adopt(row)

    def crash(self, name):
        """End an instance."""
        self.budget.crashes -= 1
        self.nodes[name].up = False

    def claim(self, name):
        """Ask for the claim."""
        self.nodes[name].writer.claim(SUBMISSION_ID)

    def start(self, name):
        """Start the task if the submission lets it."""
        job = self.nodes[name].job
        if self.fault is Fault.START_BEFORE_CLAIM:
            job.hold.state = type(job.hold.state).OPEN
        if job.start(names.TaskIndex(0)):
            self.starts += 1

    def answer(self, name):
        """Let the running task succeed."""
        self.finish(name, attempts.Answered(body=msgspec.Raw(b'1')))

    def lose(self, name):
        """Lose the answer of the running task."""
        if self.fault is Fault.RETRY_AFTER_LOSS:
            reason = attempts.NotStartedReason.CONNECT_FAILED
            self.finish(name, attempts.NotStarted(reason=reason))
        else:
            self.finish(name, attempts.Lost(detail=''))

    def finish(self, name, outcome):
        """Take the outcome of the running task."""
        node = self.nodes[name]
        if node.job.tasks[0].state is jobs.TaskState.STARTED:
            node.job.finish(names.TaskIndex(0), outcome)
            self.end_if_settled(node)

    def cancel(self, name):
        """Cancel the submission."""
        self.give_up(self.nodes[name], codes.ResultCode.CANCELLED)

    def end_if_settled(self, node):
        """Record and perhaps say the end."""
        if not node.job.is_finished() or node.outcome is not None:
            return
        node.outcome = packing.pack_outcome(node.job.outcome())
        record = records.Record(
            submission_id=SUBMISSION_ID,
            state=records.RecordState.DONE,
            owner=node.name,
            outcome=node.outcome,
        )
        saying = endings.record_end(node.writer, PREFIX, record, node.job.hold)
        eager = self.fault is Fault.NOT_RUN_BEFORE_ROW
        if saying is endings.ReportTiming.IMMEDIATE or eager:
            self.tell(node.outcome)

    def tell_kept(self, node):
        """Say an end that waited for its row."""
        if node.outcome is not None:
            self.tell(node.outcome)

    def ask(self, name):
        """Let a client ask for the outcome."""
        node = self.nodes[name]
        if node.outcome is not None:
            if not node.moved and not node.job.held:
                self.tell(node.outcome)
            return
        rows = tuple(self.row(key) for key in self.rows)
        finding = lookups.find_record(rows, SUBMISSION_ID)
        match finding:
            case lookups.EndedRecord():
                self.tell(finding.record.outcome)

    def tell(self, packed):
        """Note an outcome that a client heard."""
        if packed not in self.told:
            self.told.append(packed)

    def check(self):
        """Check the three invariants."""
        if self.starts > 1:
            raise AssertionError('a task started twice')
        if len(self.told) > 1:
            raise AssertionError('two outcomes for one id')
        if self.starts and any(map(says_not_run, self.told)):
            raise AssertionError('not run was not true')


def says_not_run(packed):
    """Return whether an outcome promises that nothing ran."""
    outcome = packing.unpack_outcome(packed)
    match outcome:
        case jobs.JobEnded():
            return codes.info_of(outcome.code).ran is codes.Ran.NO
    return False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """Result of a search."""

    states: int
    transitions: int
    complete: bool
    violation: str = ''
    trace: tuple = ()


def search(mode, fault=Fault.NONE, max_states=UNBOUNDED, budget=None):
    """Explore breadth first until a violation, the end or the bound."""
    first = World(mode=mode, fault=fault)
    first.budget = budget or first.budget
    seen = {first.fingerprint()}
    frontier = collections.deque([(pickle.dumps(first), ())])
    transitions = 0
    while frontier and len(seen) < max_states:
        frozen, trace = frontier.popleft()
        for action in pickle.loads(frozen).actions():
            world = pickle.loads(frozen)
            transitions += 1
            try:
                world.act(*action)
            except AssertionError as broken:
                return Report(
                    states=len(seen),
                    transitions=transitions,
                    complete=False,
                    violation=str(broken),
                    trace=(*trace, action),
                )
            mark = world.fingerprint()
            if mark not in seen:
                seen.add(mark)
                frontier.append((pickle.dumps(world), (*trace, action)))
    return Report(
        states=len(seen), transitions=transitions, complete=not frontier
    )
