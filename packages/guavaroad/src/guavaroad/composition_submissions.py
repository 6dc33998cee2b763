"""Builds the parts that own, record and look up submissions."""

import itertools
from collections.abc import Callable

from guavaroad import composition
from guavaroad.adapters import http_platform
from guavaroad.domain import names
from guavaroad.domain.submissions import records, writer
from guavaroad.services import (
    configuration,
    dispatch,
    forwarding,
    outcomes,
    requests,
    submissions,
    takeover,
)
from guavaroad.services import records as record_service
from guavaroad.services.owning import minting, ownership


def record_writer(
    base: composition.Foundation, link: http_platform.PlatformLink
) -> record_service.RecordService:
    """Return the sender of records."""
    me = records.format_owner(base.incarnation)
    numbers = itertools.count(1)
    return record_service.RecordService(
        group=writer.GroupWriter(
            owner=me, operation_ids=lambda: f'{me}~{next(numbers)}'
        ),
        table=http_platform.HttpTable(link=link),
        store=http_platform.HttpObjects(link=link),
        timer_service=base.timers,
    )


def owner(
    base: composition.Foundation,
    dispatching: dispatch.Dispatcher,
    configured: configuration.ConfigurationService,
    recorder: record_service.RecordService,
) -> ownership.SubmissionOwner:
    """Return the owner of this incarnation's submissions."""
    limits = base.settings.limits
    return ownership.SubmissionOwner(
        me=recorder.group.owner,
        outcome_cache=outcomes.OutcomeCache(kept_outcomes=limits.kept_outcomes),
        dispatcher=dispatching,
        recorder=recorder,
        checker=requests.RequestChecker(
            dispatcher=dispatching,
            configuration=configured.current,
            default_deadline_s=limits.default_deadline_s,
        ),
        timer_service=base.timers,
    )


def submission_service(
    base: composition.Foundation,
    link: http_platform.PlatformLink,
    dispatching: dispatch.Dispatcher,
    configured: configuration.ConfigurationService,
    knows: Callable[[names.ClientAddress], bool],
) -> submissions.SubmissionService:
    """Return the entry of every request about submissions."""
    limits = base.settings.limits
    recorder = record_writer(base, link)
    forwarder = forwarding.Forwarder(
        client=base.client,
        timer_service=base.timers,
        timeout_s=limits.attempt_timeout_s,
        is_known_address=knows,
    )
    return submissions.SubmissionService(
        minter=minting.Minter(
            incarnation=base.incarnation,
            timer_service=base.timers,
            id_lifetime_s=limits.id_lifetime_s,
        ),
        owner=owner(base, dispatching, configured, recorder),
        forwarder=forwarder,
        takeover_service=takeover.TakeoverService(
            me=recorder.group.owner,
            table=recorder.table,
            store=recorder.store,
            recorder=recorder,
            forwarder=forwarder,
            timer_service=base.timers,
        ),
    )
