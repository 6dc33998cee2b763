"""One entry instance: its parts, wired together."""

from typing import Any, Final

import prometheus_client
from twisted.internet import defer

from guavaroad import composition, composition_submissions, settings
from guavaroad.adapters import http_api, http_api_tokens, logs
from guavaroad.ports import platform
from guavaroad.services import (
    dispatch,
)

_LOG: Final = logs.logger_of('app')


class Application:
    """One entry instance, wired from its settings.

    Attributes:
        base: What every part is built on.
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
        self.submissions = composition_submissions.submission_service(
            self.base, self.platform, self.dispatcher, self.configuration
        )
        self.directory.on_change.append(self.upstreams_changed)

    def upstreams_changed(self, listed: platform.InstanceList) -> None:
        """Divide the listed upstreams among the listed instances."""
        self.dispatcher.set_upstreams(
            dispatch.static_uses(listed.upstreams, len(listed.entries))
        )

    def listen(self) -> Any:
        """Open the client port and begin to follow the platform."""
        pages = http_api.Pages(
            submission_service=self.submissions,
            configuration_service=self.configuration,
            state=self.state,
            registry=prometheus_client.REGISTRY,
        )
        api = http_api.ApiResource(
            tokens=http_api_tokens.Tokens(tokens=self.base.settings.tokens),
            routes=http_api.route_table(pages),
        )
        site = composition.client_site(self.base, api)
        address = self.base.incarnation.address
        host, _, port = address.rpartition(':')
        self.bus.start()
        self.configuration.refresh()
        self.directory.refresh()
        _LOG.info('listening on {}', address)
        return self.base.reactor.listenTCP(int(port), site, interface=host)

    def state(self) -> dict[str, Any]:
        """Return the dump of this process's state."""
        known = self.configuration.in_force
        incarnation = self.base.incarnation
        return {
            'availability_zone': incarnation.availability_zone,
            'address': incarnation.address,
            'epoch': incarnation.epoch,
            'config_version': known.version if known else None,
            'bus': self.bus.describe(),
            'submissions': self.submissions.describe(),
            'queued_tasks': self.dispatcher.queue.task_count,
            'upstreams': [
                {
                    'name': use.upstream.name,
                    'share': use.share,
                    'running': use.running,
                }
                for use in self.dispatcher.uses.values()
            ],
        }

    def stop(self) -> 'defer.Deferred[None]':
        """Refuse new work."""
        self.submissions.draining = True
        return defer.succeed(None)
