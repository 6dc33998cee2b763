"""Explicit-state model check of the submission protocol.

Two instances run the production writer and submission on one table.  The
search takes all actions in all reachable orders, breadth first: sends,
deliveries in any order, lost answers, failed sends, crashes, takeovers from
live and dead owners, claims, starts, lost tasks and cancels.
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
    """A protocol violation injected by the model, not by production code."""

    NONE = 'none'
    START_BEFORE_CLAIM = 'start before the claim is written'
    TAKEOVER_WITHOUT_CAS = 'takeover without compare-and-set'
    RETRY_AFTER_LOSS = 'retry after a lost answer'
    NOT_RUN_BEFORE_COMMIT = 'not run reported before commit'


class Mode(enum.Enum):
    """Whether the first owner records the submission before it runs."""

    UNRECORDED = 'unrecorded'
    OPTIONAL = 'optional'
    REQUIRED = 'required'


@dataclasses.dataclass(kw_only=True)
class Budget:
    """Numbers of events still allowed, so that the search ends."""

    crashes: int = 1
    faults: int = 2
    takeovers: int = 2


class OperationIds:
    """Generates the operation ids of one instance."""

    def __init__(self, *, owner):
        self.owner = owner
        self.count = 0

    def __call__(self):
        """Return the next id."""
        self.count += 1
        return f'{self.owner}{self.count}'


class Instance:
    """One instance with its writer and submission."""

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

    def own(self, hold=None):
        """Become the owner of the submission."""
        self.job = submission.Submission(request=job_request(), hold=hold)
        self.moved = False

    def fingerprint(self):
        """Return a value that is equal for equal states."""
        job = self.job
        tasks = [task.state.value for task in job.tasks] if job else None
        return repr((
            self.up, self.waiting, self.moved, self.outcome, tasks,
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
    """State of the model, which the search indexes."""

    def __init__(self, *, mode, fault):
        self.fault = fault
        self.instances = {name: Instance(name=name) for name in ('a', 'b')}
        self.rows = {}
        self.operations = {}
        self.network = []
        self.starts = 0
        self.reported = []
        self.budget = Budget()
        owner = self.instances['a']
        owner.own()
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
        """Return a value that is equal for equal states."""
        return hash((
            tuple(
                instance.fingerprint() for instance in self.instances.values()
            ),
            repr(sorted(self.rows.items())), repr(sorted(self.operations)),
            repr(sorted(self.network, key=repr)), self.starts,
            tuple(self.reported), repr(self.budget),
        ))  # fmt: skip

    def actions(self):
        """Return all actions that are possible next."""
        found = []
        for name, instance in self.instances.items():
            if instance.up:
                found += [(verb, name) for verb in self.verbs(instance)]
        indices = range(len(self.network))
        found += [('deliver', index) for index in indices]
        if self.budget.faults:
            found += [('deliver_unanswered', index) for index in indices]
        if self.budget.faults and self.operations:
            found.append(('drop_operation_ids', ''))
        return found

    def verbs(self, instance):
        """Return the actions that are possible at one instance."""
        allowed = {
            **self.write_verbs(instance),
            'takeover': self.budget.takeovers and self.rows,
            'crash': self.budget.crashes,
        }
        verbs = [verb for verb, may in allowed.items() if may]
        if instance.job is None or instance.outcome is not None:
            return verbs
        return [*verbs, *self.job_verbs(instance)]

    def write_verbs(self, instance):
        """Return the actions of a write, and whether each is possible."""
        faults = self.budget.faults
        dirty = any(row.dirty() for row in instance.writer.segments.values())
        pending = not instance.waiting and (dirty or instance.writer.pending)
        return {
            'timeout': instance.waiting and faults,
            'send': pending,
            'fail_send': pending and faults,
        }

    def job_verbs(self, instance):
        """Return the actions that are possible on the submission."""
        entry = instance.writer.find(SUBMISSION_ID)
        queued = entry and entry.record.state is records.RecordState.QUEUED
        verbs = ['claim'] if queued else []
        if instance.job.tasks[0].state is jobs.TaskState.STARTED:
            return [*verbs, 'succeed', 'lose_answer']
        return [*verbs, 'start', 'cancel']

    def act(self, verb, argument):
        """Take one action and check the invariants."""
        getattr(self, verb)(argument)
        for name, instance in self.instances.items():
            if instance.up:
                self.query(name)
        self.check()

    def send(self, name):
        """Send the next transaction."""
        instance = self.instances[name]
        transaction = instance.writer.next_transaction()
        if transaction is not None:
            instance.waiting = True
            self.network.append((name, transaction))

    def fail_send(self, name):
        """Fail a send before anything is transmitted."""
        instance = self.instances[name]
        if instance.writer.next_transaction() is not None:
            self.budget.faults -= 1
            self.apply_result(instance, messages.WriteUnsent())

    def deliver(self, index):
        """Let the table execute one sent transaction and answer it."""
        name, transaction = self.network.pop(index)
        result = self.commit(name, transaction)
        instance = self.instances[name]
        pending = instance.writer.pending
        awaited = pending is not None and pending.transaction == transaction
        if not (instance.up and instance.waiting and awaited):
            return
        self.apply_result(instance, result)

    def deliver_unanswered(self, index):
        """Let the table execute one sent transaction and lose its answer."""
        self.budget.faults -= 1
        name, transaction = self.network.pop(index)
        self.commit(name, transaction)
        instance = self.instances[name]
        if instance.up and instance.waiting:
            self.apply_result(instance, messages.WriteUnknown())

    def timeout(self, name):
        """Let an instance time out while it waits for an answer."""
        self.budget.faults -= 1
        self.apply_result(self.instances[name], messages.WriteUnknown())

    def drop_operation_ids(self, _):
        """Let the table drop the operation ids that it has seen."""
        self.budget.faults -= 1
        self.operations.clear()

    def commit(self, name, transaction):
        """Write all rows if every version matches.

        A repeated operation id gets the earlier result.
        """
        earlier = self.operations.get(transaction.operation_id)
        if earlier is not None:
            return earlier
        unguarded = self.fault is Fault.TAKEOVER_WITHOUT_CAS and name == 'b'
        mismatched = [
            self.row(change.key)
            for change in transaction.changes
            if self.row(change.key).version != change.expected_version
        ]
        if mismatched and not unguarded:
            result = messages.WriteConflict(rows=tuple(mismatched))
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

    def apply_result(self, instance, result):
        """Apply a result to the writer and handle its events."""
        instance.waiting = False
        for event in instance.writer.apply_result(result):
            self.on_event(instance, event)

    def on_event(self, instance, event):
        """Handle an event of the writer as the owner does."""
        match event:
            case messages.Adopted():
                instance.outcome = None
                entry = instance.writer.find(SUBMISSION_ID)
                instance.own(entry.hold)
            case messages.Moved():
                instance.moved = True
            case messages.Claimed() | messages.Ended():
                self.report_recorded(instance)
            case messages.NotRecorded():
                self.give_up(instance, codes.ResultCode.PLATFORM_AWAY)

    def give_up(self, instance, code):
        """End the submission, which has not started."""
        instance.job.end(code, '')
        self.record_if_finished(instance)

    def takeover(self, name):
        """Try to take over all rows with a queued submission."""
        self.budget.takeovers -= 1
        for key in list(self.rows):
            row = self.row(key)
            finding = lookups.find_record((row,), SUBMISSION_ID)
            match finding:
                case lookups.QueuedRecord() if row.segment.holder != name:
                    self.instances[name].writer.adopt(row)

    def crash(self, name):
        """Crash an instance."""
        self.budget.crashes -= 1
        self.instances[name].up = False

    def claim(self, name):
        """Request the claim."""
        self.instances[name].writer.claim(SUBMISSION_ID)

    def start(self, name):
        """Start the task if the submission allows it."""
        job = self.instances[name].job
        if self.fault is Fault.START_BEFORE_CLAIM:
            job.hold.state = type(job.hold.state).OPEN
        if job.start(names.TaskIndex(0)):
            self.starts += 1

    def succeed(self, name):
        """Let the running task succeed."""
        self.finish(name, attempts.Answered(body=msgspec.Raw(b'1')))

    def lose_answer(self, name):
        """Lose the answer of the running task."""
        if self.fault is Fault.RETRY_AFTER_LOSS:
            reason = attempts.NotStartedReason.CONNECT_FAILED
            self.finish(name, attempts.NotStarted(reason=reason))
        else:
            self.finish(name, attempts.Lost(detail=''))

    def finish(self, name, outcome):
        """Record the outcome of the running task."""
        instance = self.instances[name]
        if instance.job.tasks[0].state is jobs.TaskState.STARTED:
            instance.job.finish(names.TaskIndex(0), outcome)
            self.record_if_finished(instance)

    def cancel(self, name):
        """Cancel the submission."""
        self.give_up(self.instances[name], codes.ResultCode.CANCELLED)

    def record_if_finished(self, instance):
        """Record the end, and report it if its timing allows."""
        if not instance.job.is_finished() or instance.outcome is not None:
            return
        instance.outcome = packing.pack_outcome(instance.job.outcome())
        record = records.Record(
            submission_id=SUBMISSION_ID,
            state=records.RecordState.DONE,
            owner=instance.name,
            outcome=instance.outcome,
        )
        timing = endings.record_end(
            instance.writer, PREFIX, record, instance.job.hold
        )
        eager = self.fault is Fault.NOT_RUN_BEFORE_COMMIT
        if timing is endings.ReportTiming.IMMEDIATE or eager:
            self.report(instance.outcome)

    def report_recorded(self, instance):
        """Report an end that waited for its commit."""
        if instance.outcome is not None:
            self.report(instance.outcome)

    def query(self, name):
        """Let a client query the outcome."""
        instance = self.instances[name]
        if instance.outcome is not None:
            if not instance.moved and not instance.job.held:
                self.report(instance.outcome)
            return
        rows = tuple(self.row(key) for key in self.rows)
        finding = lookups.find_record(rows, SUBMISSION_ID)
        match finding:
            case lookups.EndedRecord():
                self.report(finding.record.outcome)

    def report(self, packed):
        """Record an outcome that was reported to a client."""
        if packed not in self.reported:
            self.reported.append(packed)

    def check(self):
        """Check the three invariants."""
        if self.starts > 1:
            raise AssertionError('a task started twice')
        if len(self.reported) > 1:
            raise AssertionError('two outcomes for one id')
        if self.starts and any(map(excludes_run, self.reported)):
            raise AssertionError('a task reported as not run has started')


def excludes_run(packed):
    """Return whether an outcome excludes that a task ran."""
    outcome = packing.unpack_outcome(packed)
    match outcome:
        case jobs.JobNotCompleted():
            return codes.info_of(outcome.code).ran is codes.Ran.NO
    return False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """Result of a search.

    Attributes:
        states: Number of distinct states.
        transitions: Number of actions taken.
        complete: Whether all reachable states were visited.
        violation: The violated invariant; empty if there is none.
        trace: Actions that lead to the violation.
    """

    states: int
    transitions: int
    complete: bool
    violation: str = ''
    trace: tuple = ()


def search(mode, fault=Fault.NONE, max_states=UNBOUNDED, budget=None):
    """Search breadth first until a violation, the end or `max_states`."""
    first = World(mode=mode, fault=fault)
    first.budget = budget or first.budget
    seen = {first.fingerprint()}
    frontier = collections.deque([(pickle.dumps(first), ())])
    transitions = 0
    while frontier and len(seen) < max_states:
        pickled, trace = frontier.popleft()
        for action in pickle.loads(pickled).actions():
            world = pickle.loads(pickled)
            transitions += 1
            try:
                world.act(*action)
            except AssertionError as violation:
                return Report(
                    states=len(seen),
                    transitions=transitions,
                    complete=False,
                    violation=str(violation),
                    trace=(*trace, action),
                )
            fingerprint = world.fingerprint()
            if fingerprint not in seen:
                seen.add(fingerprint)
                frontier.append((pickle.dumps(world), (*trace, action)))
    return Report(
        states=len(seen), transitions=transitions, complete=not frontier
    )
