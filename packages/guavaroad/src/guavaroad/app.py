"""One entry instance: its parts, wired together."""

import itertools
from typing import Any, Final

from guavaroad import (
    composition,
    composition_dispatch,
    composition_submissions,
    front,
    settings,
    state_dump,
)
from guavaroad.adapters import (
    client_port,
    http_api,
    http_api_site,
    http_api_tokens,
    logs,
    metered,
)
from guavaroad.domain import names
from guavaroad.services import drain, state

_LOG: Final = logs.logger_of('app')


class Application:
    """One entry instance, wired from its settings.

    Attributes:
        base: What every part is built on.
        exit_code: Exit code of the process, once the loop has ended.
    """

    def __init__(self, *, reactor: Any, chosen: settings.Settings) -> None:
        self.base = composition.foundation(reactor, chosen)
        self.platform = composition.platform_link(self.base)
        self.bus = composition.peer_bus(self.base)
        self.membership = composition.membership_service(self.base, self.bus)
        self.configuration = composition.configuration_service(
            self.base, self.platform, self.membership
        )
        self.directory = composition.directory_service(self.base, self.platform)
        self.dispatcher = composition_dispatch.dispatcher(
            self.base, self.configuration
        )
        self.submissions = composition_submissions.submission_service(
            self.base,
            self.platform,
            self.dispatcher,
            self.configuration,
            self.is_known,
        )
        self.dump = state.StateDump()
        self.configuration.peers.in_use = self.jobs_in_use
        self.site = self.client_site()
        front.watch_counts(
            self.base, self.site, self.submissions, self.dispatcher
        )
        self.drain = front.drain_service(self.base, self.submissions, self.site)
        self.drain.ended.addCallback(self.stopped)
        checker = self.submissions.owner.checker
        checker.config_refusal = self.configuration.refusal
        self.drain.hooks.on_leaving.append(self.membership.leave)
        self.drain.hooks.on_closing.extend(
            (self.membership.stop, self.bus.stop)
        )
        self.exit_code = 0
        self.membership.heartbeat_sources.load = self.queued_tasks
        self.slots = composition_dispatch.slot_keeper(
            self.base, self.dispatcher, self.bus, self.membership
        )
        self.directory.on_change.append(self.slots.list_changed)
        self.drain.hooks.on_leaving.append(self.slots.drain)
        self.directory.on_change.append(self.membership.list_changed)
        self.directory.on_change.append(self.configuration.list_changed)
        self.describe_parts()
        self.configuration.on_change.append(self.configuration_changed)

    def is_known(self, address: names.ClientAddress) -> bool:
        """Return whether an instance is listed or seen at an address."""
        listed = (entry.address for entry in self.directory.last.entries)
        seen = (peer.incarnation.address for peer in self.membership.peers())
        return address in itertools.chain(listed, seen)

    def queued_tasks(self) -> int:
        """Return the tasks that wait here."""
        return self.dispatcher.queue.task_count

    def jobs_in_use(self) -> set[names.JobName]:
        """Return the jobs that have tasks waiting or running here."""
        queued = self.dispatcher.queue.jobs.values()
        return {one.job.request.job for one in queued}

    def client_site(self) -> http_api_site.ApiSite:
        """Return the site of the client port."""
        handlers = http_api.ApiHandlers(
            submission_service=self.submissions,
            configuration_service=self.configuration,
            state=self.dump.dump,
            metrics_page=self.base.metrics.page,
        )
        api = http_api.ApiResource(
            tokens=http_api_tokens.Tokens(tokens=self.base.settings.tokens),
            routes=http_api.route_table(handlers),
            sink=self.base.metrics,
            timer_service=self.base.timers,
        )
        return front.client_site(self.base, api)

    def listen(self) -> None:
        """Open the ports and begin to follow the platform."""
        self.open_client_port()
        metered.LoopLagSampler(
            sink=self.base.metrics, timer_service=self.base.timers
        ).sample()
        self.bus.start()
        self.membership.start()
        self.configuration.refresh()
        self.directory.refresh()
        _LOG.info('listening on {}', self.base.incarnation.address)

    def open_client_port(self) -> None:
        """Open the port for clients, operators and forwarding peers."""
        port = client_port.listen(
            self.base.reactor, self.base.settings, self.site
        )
        self.drain.hooks.on_closing.append(port.stopListening)

    def describe_parts(self) -> None:
        """Compose the dump of this process's state."""
        instance = state_dump.InstanceDescription(
            base=self.base, configured=self.configuration, stop=self.drain
        )
        self.dump.add('instance', instance.describe)
        state_dump.add_surroundings(
            self.dump, self.base, self.configuration, self.bus
        )
        self.dump.add('membership', self.membership.describe)
        self.dump.add('patches', self.configuration.describe)
        self.dump.add('records', self.submissions.describe)
        state_dump.add_work(
            self.dump,
            self.base,
            self.submissions.outcome_cache,
            self.dispatcher,
        )
        self.dump.add('slots', self.slots.describe)

    def configuration_changed(self) -> None:
        """Note which version came into force."""
        known = self.configuration.in_force
        version = known.version if known else None
        self.base.decisions.record(
            'configuration',
            f'version {version} is in force',
            'it is newer than the version before',
        )

    def stop(self) -> None:
        """Begin the planned stop; a second call ends it."""
        self.drain.request_stop()

    def stopped(self, result: drain.DrainResult) -> None:
        """End the loop once the planned stop has ended."""
        self.exit_code = drain.exit_code(result)
        self.base.reactor.stop()
