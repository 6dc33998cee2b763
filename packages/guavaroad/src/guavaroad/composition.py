"""Creates the services of an entry instance from its settings."""

import dataclasses
import secrets
from typing import Any, Final

from guavaroad import settings
from guavaroad.adapters import (
    http_client,
    http_platform,
    metered,
    metrics,
    nng_peers,
    peer_wire,
    reactor_timers,
)
from guavaroad.domain import identity, names
from guavaroad.services import (
    configuration,
    decisions,
    directory,
    membership,
)

_EPOCH_BYTES: Final = 6
_CONNECT_TIMEOUT_S: Final = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CoreServices:
    """Services shared by all others.

    Attributes:
        reactor: Twisted reactor.
        settings: Validated settings.
        timers: Timer service on the reactor.
        incarnation: Incarnation of this process.
        client: Client for outgoing HTTP requests.
        metrics: Metrics of the instance.
        decisions: Recent decisions with their reasons.
    """

    reactor: Any
    settings: settings.Settings
    timers: reactor_timers.ReactorTimers
    incarnation: identity.Incarnation
    client: http_client.HttpClient
    metrics: metrics.PrometheusMetrics
    decisions: decisions.DecisionHistory


def core_services(
    reactor: Any, instance_settings: settings.Settings
) -> CoreServices:
    """Create the shared services."""
    timer_service = reactor_timers.ReactorTimers(clock=reactor)
    return CoreServices(
        reactor=reactor,
        settings=instance_settings,
        timers=timer_service,
        incarnation=new_incarnation(instance_settings.instance),
        client=http_client.HttpClient(
            reactor=reactor,
            connections_per_host=connections_per_instance(
                instance_settings.limits
            ),
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            trust=instance_settings.tls.trust()
            if instance_settings.tls
            else None,
            instance_scheme='https' if instance_settings.tls else 'http',
        ),
        metrics=metrics.PrometheusMetrics(),
        decisions=decisions.DecisionHistory(timer_service=timer_service),
    )


def new_incarnation(instance: settings.Instance) -> identity.Incarnation:
    """Return an incarnation with a random epoch."""
    return identity.Incarnation(
        availability_zone=names.AvailabilityZone(instance.availability_zone),
        address=names.ClientAddress(instance.client_address),
        epoch=names.Epoch(secrets.token_hex(_EPOCH_BYTES)),
    )


def connections_per_instance(limits: settings.Limits) -> int:
    """Return this instance's share of the connections to an upstream."""
    return max(1, limits.connections_per_upstream // limits.fleet_size)


def platform_client(core: CoreServices) -> http_platform.PlatformLink:
    """Create the client of the platform."""
    platform_settings = core.settings.platform
    client = metered.MeteredExchanger(
        inner=core.client, sink=core.metrics, timer_service=core.timers
    )
    return http_platform.PlatformLink(
        client=client,
        url=platform_settings.url,
        timeout_s=platform_settings.timeout_s,
    )


def peer_bus(core: CoreServices) -> nng_peers.NngBus:
    """Create the message bus between instances."""
    incarnation = core.incarnation
    instance = core.settings.instance
    return nng_peers.NngBus(
        reactor=core.reactor,
        timer_service=core.timers,
        sender=peer_wire.Sender(
            availability_zone=incarnation.availability_zone,
            address=incarnation.address,
            epoch=incarnation.epoch,
            peer_address=names.PeerAddress(instance.peer_address),
        ),
        # Services batch their messages in their own ticks.
        tick_s=0,
    )


def membership_service(
    core: CoreServices, bus: nng_peers.NngBus
) -> membership.MembershipService:
    """Create the membership service."""
    instance_settings = core.settings
    return membership.MembershipService(
        own=core.incarnation,
        peer_address=names.PeerAddress(instance_settings.instance.peer_address),
        bus=bus,
        timer_service=core.timers,
        seeds=tuple(map(names.PeerAddress, instance_settings.peers)),
    )


def configuration_service(
    core: CoreServices,
    platform_link: http_platform.PlatformLink,
    membership_port: membership.MembershipService,
) -> configuration.ConfigurationService:
    """Create the configuration service."""
    return configuration.ConfigurationService(
        table=http_platform.HttpTable(link=platform_link),
        directory=http_platform.HttpDirectory(link=platform_link),
        members=membership_port,
        timer_service=core.timers,
        period_s=core.settings.platform.config_period_s,
    )


def directory_service(
    core: CoreServices, platform_link: http_platform.PlatformLink
) -> directory.DirectoryService:
    """Create the directory service, which polls the instance list."""
    return directory.DirectoryService(
        port=http_platform.HttpDirectory(link=platform_link),
        timer_service=core.timers,
        period_s=core.settings.platform.list_period_s,
    )
