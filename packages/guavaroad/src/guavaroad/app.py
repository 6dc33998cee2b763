"""Composition of one entry instance."""

import random
import secrets
from typing import Any, Final

import loguru
import prometheus_client
from twisted.internet import defer
from twisted.web import server

from guavaroad import settings
from guavaroad.adapters import (
    http_api,
    http_client,
    http_platform,
    http_upstreams,
    reactor_timers,
)
from guavaroad.domain import identity, names
from guavaroad.domain.health import rules
from guavaroad.domain.scheduling import admission
from guavaroad.domain.slots import table
from guavaroad.ports import platform
from guavaroad.services import (
    configuration,
    directory,
    dispatch,
    forwarding,
    health,
    outcomes,
    submissions,
)

_EPOCH_BYTES: Final = 6
_CONNECT_TIMEOUT_S: Final = 2
_LOG_PREFIX: Final = 'app:'


class Application:
    """One entry instance, wired from its settings."""

    def __init__(self, *, reactor: Any, chosen: settings.Settings) -> None:
        self.reactor = reactor
        self.settings = chosen
        self.timers = reactor_timers.ReactorTimers(clock=reactor)
        self.incarnation = identity.Incarnation(
            availability_zone=names.AvailabilityZone(
                chosen.instance.availability_zone
            ),
            address=names.ClientAddress(chosen.instance.client_address),
            epoch=names.Epoch(secrets.token_hex(_EPOCH_BYTES)),
        )
        self.client = http_client.HttpClient(
            reactor=reactor,
            connections_per_host=connection_share(chosen.limits),
            connect_timeout_s=_CONNECT_TIMEOUT_S,
        )
        self.platform = http_platform.PlatformLink(
            client=self.client,
            url=chosen.platform.url,
            timeout_s=chosen.platform.timeout_s,
        )
        self.configuration = configuration.ConfigurationService(
            table=http_platform.HttpTable(link=self.platform),
            timer_service=self.timers,
            period_s=chosen.platform.config_period_s,
        )
        self.directory = directory.DirectoryService(
            port=http_platform.HttpDirectory(link=self.platform),
            timer_service=self.timers,
            period_s=chosen.platform.list_period_s,
        )
        self.dispatcher = self.dispatch_service()
        self.submissions = self.submission_service()
        self.directory.on_change.append(self.upstreams_changed)

    def dispatch_service(self) -> dispatch.Dispatcher:
        """Return the dispatcher with its slots and its view of health."""
        limits = self.settings.limits
        chooser = random.Random()
        slots = table.SlotTable(chooser=chooser, two_choices=False)
        return dispatch.Dispatcher(
            port=http_upstreams.HttpUpstreams(
                client=self.client,
                attempt_timeout_s=limits.attempt_timeout_s,
            ),
            timer_service=self.timers,
            slots=slots,
            health_service=health.HealthService(
                slots=slots, timer_service=self.timers, bounds=rules.Rules()
            ),
            bounds=admission.Bounds(
                tasks=limits.queued_tasks, size_bytes=limits.queued_bytes
            ),
            chooser=chooser,
            configuration=self.configuration.current,
        )

    def submission_service(self) -> submissions.SubmissionService:
        """Return the owner of this incarnation's submissions."""
        limits = self.settings.limits
        return submissions.SubmissionService(
            minter=submissions.Minter(
                incarnation=self.incarnation, timer_service=self.timers
            ),
            dispatcher=self.dispatcher,
            forwarder=forwarding.Forwarder(
                client=self.client, timeout_s=limits.attempt_timeout_s
            ),
            book=outcomes.OutcomeBook(kept_outcomes=limits.kept_outcomes),
            configuration=self.configuration.current,
            default_deadline_s=limits.default_deadline_s,
        )

    def upstreams_changed(self, listed: platform.InstanceList) -> None:
        """Divide the listed upstreams among the listed instances."""
        self.dispatcher.set_upstreams(
            dispatch.static_uses(listed.upstreams, len(listed.entries))
        )

    def listen(self) -> Any:
        """Open the client port and begin to follow the platform."""
        api = http_api.ApiResource(
            tokens=http_api.Tokens(tokens=self.settings.tokens),
            submission_service=self.submissions,
            configuration_service=self.configuration,
            state=self.state,
            registry=prometheus_client.REGISTRY,
        )
        site = server.Site(api)
        site.noisy = False
        site.displayTracebacks = False
        host, _, port = self.incarnation.address.rpartition(':')
        self.configuration.refresh()
        self.directory.refresh()
        loguru.logger.info('{} listening on {}', _LOG_PREFIX, host)
        return self.reactor.listenTCP(int(port), site, interface=host)

    def state(self) -> dict[str, Any]:
        """Return the dump of this process's state."""
        known = self.configuration.in_force
        return {
            'availability_zone': self.incarnation.availability_zone,
            'address': self.incarnation.address,
            'epoch': self.incarnation.epoch,
            'config_version': known.version if known else None,
            'dispatch': self.dispatcher.describe(),
        }

    def stop(self) -> 'defer.Deferred[None]':
        """Refuse new work."""
        self.submissions.draining = True
        return defer.succeed(None)


def connection_share(limits: settings.Limits) -> int:
    """Return this instance's part of the connections of one upstream."""
    return max(1, limits.connections_per_upstream // limits.fleet_size)
