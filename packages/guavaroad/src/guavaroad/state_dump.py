"""Composes the state dump of an instance from its parts."""

import functools

from guavaroad import composition
from guavaroad.adapters import nng_peers
from guavaroad.services import (
    configuration,
    dispatch,
    drain,
    outcomes,
    state,
    state_queues,
    state_sections,
)


class InstanceDescription:
    """Describes who the process is and whether it takes work."""

    def __init__(
        self,
        *,
        base: composition.Foundation,
        configured: configuration.ConfigurationService,
        stop: drain.DrainService,
    ) -> None:
        self.base = base
        self.configured = configured
        self.stop = stop
        self.started_s = base.timers.now()

    def why_not_ready(self) -> str:
        """Return why the balancer should send no work here."""
        if self.stop.phase is not drain.Phase.SERVING:
            return 'a planned stop is in progress'
        if self.configured.in_force is None:
            return 'no configuration is known yet'
        return ''

    def describe(self) -> state_sections.InstanceSection:
        """Return the section of the instance."""
        incarnation = self.base.incarnation
        why_not = self.why_not_ready()
        return state_sections.InstanceSection(
            availability_zone=incarnation.availability_zone,
            address=incarnation.address,
            epoch=incarnation.epoch,
            phase=self.stop.phase,
            ready=not why_not,
            why_not_ready=why_not,
            uptime_s=round(self.base.timers.now() - self.started_s, 3),
        )


def add_work(
    dump: state.StateDump,
    base: composition.Foundation,
    book: outcomes.OutcomeCache,
    dispatcher: dispatch.Dispatcher,
) -> None:
    """Add the sections of submissions, queues, slots and upstreams."""
    dump.add(
        'submissions',
        functools.partial(
            state_sections.describe_submissions, book, base.incarnation
        ),
    )
    dump.add(
        'queues', functools.partial(state_queues.describe_queues, dispatcher)
    )
    dump.add(
        'upstreams',
        functools.partial(state_queues.describe_upstreams, dispatcher),
    )
    dump.add('health', dispatcher.health.describe)


def add_surroundings(
    dump: state.StateDump,
    base: composition.Foundation,
    configured: configuration.ConfigurationService,
    bus: nng_peers.NngBus,
) -> None:
    """Add the sections of configuration, peers and decisions."""
    dump.add(
        'configuration',
        functools.partial(state_sections.describe_configuration, configured),
    )
    dump.add('peers', bus.describe)
    dump.add('decisions', base.decisions.describe)
