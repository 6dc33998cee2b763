"""One entry instance: its parts, wired together."""

from typing import Any, Final

from guavaroad import client_port, composition, settings, state_dump
from guavaroad.adapters import (
    http_api,
    http_api_site,
    http_api_tokens,
    logs,
    metered,
)
from guavaroad.ports import platform
from guavaroad.services import dispatch, drain, state

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
        self.configuration = composition.configuration_service(
            self.base, self.platform
        )
        self.directory = composition.directory_service(self.base, self.platform)
        self.dispatcher = composition.dispatcher(self.base)
        self.submissions = composition.submission_service(
            self.base, self.dispatcher, self.configuration
        )
        self.dump = state.StateDump()
        self.site = self.client_site()
        self.watch_counts()
        self.drain = client_port.drain_service(
            self.base, self.submissions, self.site
        )
        self.drain.ended.addCallback(self.stopped)
        self.exit_code = 0
        self.describe_parts()
        self.configuration.on_change.append(self.configuration_changed)
        self.directory.on_change.append(self.upstreams_changed)

    def upstreams_changed(self, listed: platform.InstanceList) -> None:
        """Divide the listed upstreams among the listed instances."""
        self.dispatcher.set_upstreams(
            dispatch.static_uses(listed.upstreams, len(listed.entries))
        )

    def watch_counts(self) -> None:
        """Show the present counts of the parts as gauges."""
        sink = self.base.metrics
        self.dispatcher.on_enqueue.append(sink.tasks_queued)
        sink.watch(
            'submissions_open',
            'Submissions that have not ended.',
            self.submissions.book.open_count,
        )
        sink.watch(
            'tasks_waiting',
            'Tasks that wait for a slot.',
            lambda: self.dispatcher.queue.task_count,
        )
        sink.watch(
            'client_connections',
            'Open connections of the client port.',
            self.site.connection_count,
        )
        sink.watch(
            'outgoing_connections',
            'Connections to upstreams, peers and the platform.',
            self.base.client.connection_count,
        )

    def client_site(self) -> http_api_site.ApiSite:
        """Return the site of the client port."""
        pages = http_api.Pages(
            submission_service=self.submissions,
            configuration_service=self.configuration,
            state=self.dump.dump,
            metrics_page=self.base.metrics.page,
        )
        api = http_api.ApiResource(
            tokens=http_api_tokens.Tokens(tokens=self.base.settings.tokens),
            routes=http_api.route_table(pages),
            sink=self.base.metrics,
            timer_service=self.base.timers,
        )
        return client_port.client_site(self.base, api)

    def listen(self) -> None:
        """Open the ports and begin to follow the platform."""
        self.open_client_port()
        metered.LoopLag(
            sink=self.base.metrics, timer_service=self.base.timers
        ).sample()
        self.bus.start()
        self.configuration.refresh()
        self.directory.refresh()
        _LOG.info('listening on {}', self.base.incarnation.address)

    def open_client_port(self) -> None:
        """Open the port for clients, operators and forwarding peers."""
        host, _, number = self.base.incarnation.address.rpartition(':')
        port = self.base.reactor.listenTCP(
            int(number), self.site, interface=host
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
        state_dump.add_work(
            self.dump, self.base, self.submissions.book, self.dispatcher
        )

    def configuration_changed(self) -> None:
        """Note which version came into force."""
        known = self.configuration.in_force
        version = known.version if known else None
        self.base.decisions.note(
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
