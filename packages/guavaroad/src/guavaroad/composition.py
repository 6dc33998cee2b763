"""Builds each part of an entry instance from its settings."""

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
class Foundation:
    """What every part is built on.

    Attributes:
        reactor: The one loop.
        settings: Checked settings.
        timers: Timer service on the loop.
        incarnation: This life of this process.
        client: Outgoing HTTP connections.
        metrics: What the parts count and time.
        decisions: Recent decisions with their reasons.
    """

    reactor: Any
    settings: settings.Settings
    timers: reactor_timers.ReactorTimers
    incarnation: identity.Incarnation
    client: http_client.HttpClient
    metrics: metrics.PrometheusMetrics
    decisions: decisions.DecisionHistory


def foundation(reactor: Any, chosen: settings.Settings) -> Foundation:
    """Return what the parts share."""
    timer_service = reactor_timers.ReactorTimers(clock=reactor)
    return Foundation(
        reactor=reactor,
        settings=chosen,
        timers=timer_service,
        incarnation=new_incarnation(chosen.instance),
        client=http_client.HttpClient(
            reactor=reactor,
            connections_per_host=connection_share(chosen.limits),
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            trust=chosen.tls.trust() if chosen.tls else None,
            instance_scheme='https' if chosen.tls else 'http',
        ),
        metrics=metrics.PrometheusMetrics(),
        decisions=decisions.DecisionHistory(timer_service=timer_service),
    )


def new_incarnation(instance: settings.Instance) -> identity.Incarnation:
    """Draw the epoch of this process."""
    return identity.Incarnation(
        availability_zone=names.AvailabilityZone(instance.availability_zone),
        address=names.ClientAddress(instance.client_address),
        epoch=names.Epoch(secrets.token_hex(_EPOCH_BYTES)),
    )


def connection_share(limits: settings.Limits) -> int:
    """Return this instance's part of the connections of one upstream."""
    return max(1, limits.connections_per_upstream // limits.fleet_size)


def platform_link(base: Foundation) -> http_platform.PlatformLink:
    """Return the way to the platform."""
    chosen = base.settings.platform
    client = metered.MeteredExchanger(
        inner=base.client, sink=base.metrics, timer_service=base.timers
    )
    return http_platform.PlatformLink(
        client=client, url=chosen.url, timeout_s=chosen.timeout_s
    )


def peer_bus(base: Foundation) -> nng_peers.NngBus:
    """Return the messages between instances."""
    incarnation = base.incarnation
    instance = base.settings.instance
    return nng_peers.NngBus(
        reactor=base.reactor,
        timer_service=base.timers,
        sender=peer_wire.Sender(
            availability_zone=incarnation.availability_zone,
            address=incarnation.address,
            epoch=incarnation.epoch,
            peer_address=names.PeerAddress(instance.peer_address),
        ),
        # Parts collect their messages for ticks of their own.
        tick_s=0,
    )


def membership_service(
    base: Foundation, bus: nng_peers.NngBus
) -> membership.MembershipService:
    """Return the view of live instances."""
    chosen = base.settings
    return membership.MembershipService(
        own=base.incarnation,
        peer_address=names.PeerAddress(chosen.instance.peer_address),
        bus=bus,
        timer_service=base.timers,
        seeds=tuple(map(names.PeerAddress, chosen.peers)),
    )


def configuration_service(
    base: Foundation,
    link: http_platform.PlatformLink,
    members: membership.MembershipService,
) -> configuration.ConfigurationService:
    """Return the keeper of the configuration in force."""
    return configuration.ConfigurationService(
        table=http_platform.HttpTable(link=link),
        directory=http_platform.HttpDirectory(link=link),
        members=members,
        timer_service=base.timers,
        period_s=base.settings.platform.config_period_s,
    )


def directory_service(
    base: Foundation, link: http_platform.PlatformLink
) -> directory.DirectoryService:
    """Return the follower of the instance list."""
    return directory.DirectoryService(
        port=http_platform.HttpDirectory(link=link),
        timer_service=base.timers,
        period_s=base.settings.platform.list_period_s,
    )
