"""Clients of the simulated pool that send a job again."""

import dataclasses
import functools

from guavaroad.domain.pool import open_jobs

# Delay before a refused job is sent again, in seconds.
REFUSED_DELAY_S = 1
# Delay before a job without a known outcome is sent again, in seconds.
UNKNOWN_DELAY_S = 1.3
MAX_SUBMISSIONS = 4
RUN_TIMES_MS = (60, 100, 300, 900)


@dataclasses.dataclass(slots=True, kw_only=True)
class ClientHabits:
    """What clients do.

    Attributes:
        resent_share: Share of the jobs without a result that are sent again.
        impatient_share: Share of the submissions whose client disconnects.
        same_share: Share of the repeated submissions at the same instance.
        disconnected_delay_s: Delay before a client that has disconnected sends
            its job again, in seconds.
    """

    resent_share: float = 0.9
    impatient_share: float = 0.05
    same_share: float = 0.3
    disconnected_delay_s: float = UNKNOWN_DELAY_S


class Client:
    """One client with one job."""

    def __init__(self, *, world, habits, job):
        self.world = world
        self.habits = habits
        self.job = job
        self.submissions = 0
        self.last_name = None
        self.instance = None
        self.open_job = None

    def submit(self):
        """Send the job to an instance."""
        world = self.world
        name = self.choose()
        if name is None:
            world.clock.callLater(REFUSED_DELAY_S, self.submit)
            return
        self.submissions += 1
        self.open_job = None
        self.last_name = name
        self.instance = world.instances[name]
        number = self.submissions
        timeout_s = self.job.client_timeout_ms / 1000
        if world.random.random() < self.habits.impatient_share:
            timeout_s *= world.random.random()
        world.clock.callLater(timeout_s, self.disconnect, number)
        self.instance.process.execute(
            functools.partial(self.arrive, number, self.instance)
        )

    def choose(self):
        """Return the name of a running instance."""
        world = self.world
        running = [
            name for name in world.instances if name not in world.network.dead
        ]
        is_same = world.random.random() < self.habits.same_share
        if is_same and self.last_name in running:
            return self.last_name
        return world.random.choice(running) if running else None

    def arrive(self, number, instance):
        """Hand the job in, unless the client has given up."""
        if self.is_waiting(number):
            self.open_job = self.world.hand_in(
                instance.name, self.job, functools.partial(self.accept, number)
            )

    def is_waiting(self, number):
        """Return whether the client waits for the answer to a submission."""
        return number == self.submissions and self.instance is not None

    def disconnect(self, number):
        """Stop waiting for the answer to a submission."""
        if not self.is_waiting(number):
            return
        instance = self.instance
        self.instance = None
        if self.open_job is not None:
            instance.process.execute(
                functools.partial(
                    instance.node.job_owner.on_client_gone, self.open_job
                )
            )
        self.send_again(self.habits.disconnected_delay_s)

    def accept(self, number, outcome):
        """Take an answer; return whether the client has waited for it."""
        if not self.is_waiting(number):
            return False
        self.instance = None
        match outcome:
            case open_jobs.NotRun():
                self.send_again(REFUSED_DELAY_S)
            case open_jobs.OutcomeUnknown():
                self.send_again(UNKNOWN_DELAY_S)
        return True

    def send_again(self, delay_s):
        """Send the job again after a delay, if it was not sent too often."""
        is_sent = self.world.random.random() < self.habits.resent_share
        if is_sent and self.submissions < MAX_SUBMISSIONS:
            self.world.clock.callLater(delay_s, self.submit)


class Traffic:
    """Clients that submit jobs at a random rate.

    Attributes:
        clients: All clients so far.
        per_s: Submissions of new jobs per second.
    """

    def __init__(self, *, world, habits):
        self.world = world
        self.habits = habits
        self.clients = []
        self.per_s = 0
        self.due = float(0)

    def advance(self, seconds):
        """Submit the jobs that are due."""
        self.due += self.per_s * seconds
        while self.due >= 1:
            self.due -= 1
            self.submit()

    def submit(self):
        """Submit a random job."""
        chance = self.world.random
        job = self.world.request(
            tasks=chance.randint(1, 3),
            work_ms=chance.choice(RUN_TIMES_MS),
            urgency=chance.randint(0, 2),
            steps=chance.choice((1, 1, 1, 2)),
        )
        client = Client(world=self.world, habits=self.habits, job=job)
        self.clients.append(client)
        client.submit()

    def reset(self, name):
        """Break the connections to an instance."""
        for client in self.clients:
            instance = client.instance
            if instance is not None and instance.name == name:
                client.disconnect(client.submissions)
