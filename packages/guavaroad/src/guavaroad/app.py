"""Application object of an entry instance."""

import itertools
from typing import Any, Final

from guavaroad import (
    composition,
    composition_client_port,
    composition_dispatch,
    composition_submissions,
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
    """An entry instance: creates its services and connects them.

    Attributes:
        core: Services shared by all others.
        exit_code: Exit code of the process, set once the drain has ended.
    """

    def __init__(
        self, *, reactor: Any, instance_settings: settings.Settings
    ) -> None:
        self.core = composition.core_services(reactor, instance_settings)
        self.platform = composition.platform_client(self.core)
        self.bus = composition.peer_bus(self.core)
        self.membership = composition.membership_service(self.core, self.bus)
        self.configuration = composition.configuration_service(
            self.core, self.platform, self.membership
        )
        self.directory = composition.directory_service(self.core, self.platform)
        self.dispatcher = composition_dispatch.dispatcher(
            self.core, self.configuration
        )
        self.submissions = composition_submissions.submission_service(
            self.core,
            self.platform,
            self.dispatcher,
            self.configuration,
            self.is_known_address,
        )
        self.dump = state.StateDump()
        self.configuration.peers.jobs_in_use = self.jobs_in_use
        self.site = self.client_site()
        composition_client_port.watch_counts(
            self.core, self.site, self.submissions, self.dispatcher
        )
        self.drain = composition_client_port.drain_service(
            self.core, self.submissions, self.site
        )
        self.drain.ended.addCallback(self.on_drained)
        checker = self.submissions.owner.checker
        checker.config_refusal = self.configuration.refusal
        self.drain.hooks.on_leaving.append(self.membership.leave)
        self.drain.hooks.on_closing.extend(
            (self.membership.stop, self.bus.stop)
        )
        self.exit_code = 0
        self.membership.heartbeat_sources.load = self.queued_tasks
        self.slots = composition_dispatch.slot_service(
            self.core, self.dispatcher, self.bus, self.membership
        )
        self.directory.on_change.append(self.slots.list_changed)
        self.drain.hooks.on_leaving.append(self.slots.drain)
        self.directory.on_change.append(self.membership.list_changed)
        self.directory.on_change.append(self.configuration.list_changed)
        self.add_dump_sections()
        self.configuration.on_change.append(self.configuration_changed)

    def is_known_address(self, address: names.ClientAddress) -> bool:
        """Return whether a listed or live instance has an address."""
        listed = (entry.address for entry in self.directory.last.entries)
        live = (peer.incarnation.address for peer in self.membership.peers())
        return address in itertools.chain(listed, live)

    def queued_tasks(self) -> int:
        """Return the number of queued tasks."""
        return self.dispatcher.queue.task_count

    def jobs_in_use(self) -> set[names.JobName]:
        """Return the jobs with queued or running tasks."""
        queued = self.dispatcher.queue.jobs.values()
        return {queued_job.job.request.job for queued_job in queued}

    def client_site(self) -> http_api_site.ApiSite:
        """Return the site of the client port."""
        handlers = http_api.ApiHandlers(
            submission_service=self.submissions,
            configuration_service=self.configuration,
            state=self.dump.dump,
            metrics_page=self.core.metrics.page,
        )
        api = http_api.ApiResource(
            tokens=http_api_tokens.Tokens(tokens=self.core.settings.tokens),
            routes=http_api.route_table(handlers),
            sink=self.core.metrics,
            timer_service=self.core.timers,
        )
        return composition_client_port.client_site(self.core, api)

    def listen(self) -> None:
        """Open the ports and start the periodic platform requests."""
        self.open_client_port()
        metered.LoopLagSampler(
            sink=self.core.metrics, timer_service=self.core.timers
        ).sample()
        self.bus.start()
        self.membership.start()
        self.configuration.refresh()
        self.directory.refresh()
        _LOG.info('listening on {}', self.core.incarnation.address)

    def open_client_port(self) -> None:
        """Open the port for clients, operators and peers that forward."""
        port = client_port.listen(
            self.core.reactor, self.core.settings, self.site
        )
        self.drain.hooks.on_closing.append(port.stopListening)

    def add_dump_sections(self) -> None:
        """Register the sections of the state dump."""
        instance = state_dump.InstanceDescription(
            core=self.core,
            configuration_service=self.configuration,
            drain_service=self.drain,
        )
        self.dump.add('instance', instance.describe)
        state_dump.add_context_sections(
            self.dump, self.core, self.configuration, self.bus
        )
        self.dump.add('membership', self.membership.describe)
        self.dump.add('patches', self.configuration.describe)
        self.dump.add('records', self.submissions.describe)
        state_dump.add_workload_sections(
            self.dump,
            self.core,
            self.submissions.outcome_cache,
            self.dispatcher,
        )
        self.dump.add('slots', self.slots.describe)

    def configuration_changed(self) -> None:
        """Record which configuration version came into force."""
        current = self.configuration.in_force
        version = current.version if current else None
        self.core.decisions.record(
            'configuration',
            f'version {version} is in force',
            'it is newer than the version before',
        )

    def stop(self) -> None:
        """Start the drain; a second call ends it at once."""
        self.drain.request_stop()

    def on_drained(self, result: drain.DrainResult) -> None:
        """Stop the event loop after the drain."""
        self.exit_code = drain.exit_code(result)
        self.core.reactor.stop()
