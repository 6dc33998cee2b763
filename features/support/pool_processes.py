"""The process of a simulated instance, which can be frozen and killed."""

import functools

# Calls without a delay that a process may make at one moment. The clock does not
# advance between them, so that a process that never becomes idle would hang.
MAX_IMMEDIATE_CALLS = 200
BUSY_DELAY_S = 0.001


class ProcessCall:
    """A call that is scheduled on the clock of a process."""

    def __init__(self, *, process, call):
        self.process = process
        self.call = call
        self.is_pending = True
        self.delayed = None

    def active(self):
        """Return whether the call is still to be made."""
        return self.is_pending

    def cancel(self):
        """Cancel the call."""
        self.is_pending = False
        if self.delayed.active():
            self.delayed.cancel()

    def fire(self):
        """Make the call, or hold it while the process is frozen."""
        self.process.execute(self.run)

    def run(self):
        """Make the call unless it was cancelled while it was held."""
        if self.is_pending:
            self.is_pending = False
            self.call()


class SimProcess:
    """Clock of one instance, and whether its process runs.

    Attributes:
        held: What is to be done when the process resumes.
        is_frozen: Whether it does nothing for now.
        is_dead: Whether it does nothing any more.
        immediate: Time, and number of the calls without a delay then.
        busy: Times at which it did not become idle.
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.held = []
        self.is_frozen = False
        self.is_dead = False
        self.immediate = (float(0), 0)
        self.busy = []

    def seconds(self):
        """Return the time, in seconds."""
        return self.clock.seconds()

    def callLater(self, delay, call, *args, **kwargs):  # noqa: N802
        """Schedule a call; implements `IReactorTime`."""
        scheduled = ProcessCall(
            process=self, call=lambda: call(*args, **kwargs)
        )
        if not delay and self.is_busy():
            delay = BUSY_DELAY_S
        scheduled.delayed = self.clock.callLater(delay, scheduled.fire)
        return scheduled

    def is_busy(self):
        """Return whether too many calls without a delay were made now."""
        now_s = self.clock.seconds()
        since_s, count = self.immediate
        count = count + 1 if since_s == now_s else 0
        self.immediate = (now_s, count)
        if count == MAX_IMMEDIATE_CALLS:
            self.busy.append(now_s)
        return count >= MAX_IMMEDIATE_CALLS

    def execute(self, action):
        """Do something now, or when the process resumes."""
        if self.is_dead:
            return
        if self.is_frozen:
            self.held.append(action)
        else:
            action()

    def freeze(self):
        """Stop doing anything."""
        self.is_frozen = True

    def resume(self):
        """Do what was held, in order."""
        self.is_frozen = False
        held = self.held
        self.held = []
        for action in held:
            self.execute(action)

    def kill(self):
        """Stop doing anything for good."""
        self.is_dead = True
        self.held = []


class ProcessDialler:
    """Opens links for one process."""

    def __init__(self, *, dialler, process):
        self.dialler = dialler
        self.process = process

    def dial(self, address, on_connected, on_failed):
        """Open a link to an address."""
        self.dialler.dial(
            address,
            lambda link: self.process.execute(
                functools.partial(on_connected, link)
            ),
            lambda: self.process.execute(on_failed),
        )
