"""Builds each part of an entry instance from its settings."""

import dataclasses
import secrets
from typing import Any, Final

from guavaroad import settings
from guavaroad.adapters import (
    http_api,
    http_api_site,
    http_client,
    http_platform,
    nng_peers,
    peer_wire,
    reactor_timers,
)
from guavaroad.domain import identity, names
from guavaroad.services import (
    configuration,
    directory,
    dispatch,
    drain,
    forwarding,
    membership,
    outcomes,
    submissions,
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
    """

    reactor: Any
    settings: settings.Settings
    timers: reactor_timers.ReactorTimers
    incarnation: identity.Incarnation
    client: http_client.HttpClient


def foundation(reactor: Any, chosen: settings.Settings) -> Foundation:
    """Return what the parts share."""
    return Foundation(
        reactor=reactor,
        settings=chosen,
        timers=reactor_timers.ReactorTimers(clock=reactor),
        incarnation=new_incarnation(chosen.instance),
        client=http_client.HttpClient(
            reactor=reactor,
            connections_per_host=connection_share(chosen.limits),
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            trust=chosen.tls.trust() if chosen.tls else None,
            instance_scheme='https' if chosen.tls else 'http',
        ),
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
    return http_platform.PlatformLink(
        client=base.client, url=chosen.url, timeout_s=chosen.timeout_s
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


def submission_service(
    base: Foundation,
    dispatching: dispatch.Dispatcher,
    configured: configuration.ConfigurationService,
) -> submissions.SubmissionService:
    """Return the owner of this incarnation's submissions."""
    limits = base.settings.limits
    return submissions.SubmissionService(
        minter=submissions.Minter(
            incarnation=base.incarnation, timer_service=base.timers
        ),
        dispatcher=dispatching,
        forwarder=forwarding.Forwarder(
            client=base.client, timeout_s=limits.attempt_timeout_s
        ),
        book=outcomes.OutcomeBook(kept_outcomes=limits.kept_outcomes),
        configuration=configured.current,
        default_deadline_s=limits.default_deadline_s,
    )


def client_site(
    base: Foundation, api: http_api.ApiResource
) -> http_api_site.ApiSite:
    """Return the bounded site of the client port."""
    limits = base.settings.limits
    return http_api_site.ApiSite(
        root=api,
        reactor=base.reactor,
        timer_service=base.timers,
        bounds=http_api_site.Bounds(
            body_bytes=limits.body_bytes,
            held_body_bytes=limits.held_body_bytes,
            connections=limits.connections,
            request_timeout_s=limits.request_timeout_s,
        ),
    )


def drain_service(
    base: Foundation,
    submitted: submissions.SubmissionService,
    site: http_api_site.ApiSite,
) -> drain.DrainService:
    """Return the planned stop, with what it waits for."""
    service = drain.DrainService(
        timer_service=base.timers, bound_s=base.settings.drain_s
    )
    service.hooks.on_leaving.extend((submitted.refuse_new, site.leave))
    service.hooks.on_closing.append(site.close_connections)
    service.watch('submissions', submitted.book.open_count)
    service.watch('requests', site.requests_in_progress)
    service.watch('connections', site.connection_count, drain.Phase.CLOSING)
    return service
