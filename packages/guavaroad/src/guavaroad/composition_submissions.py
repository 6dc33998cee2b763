"""Creates the services that own, record and look up submissions."""

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
    core: composition.CoreServices, platform_link: http_platform.PlatformLink
) -> record_service.RecordService:
    """Create the record service."""
    owner_id = records.format_owner(core.incarnation)
    sequence = itertools.count(1)
    return record_service.RecordService(
        group=writer.GroupWriter(
            owner=owner_id, operation_ids=lambda: f'{owner_id}~{next(sequence)}'
        ),
        table=http_platform.HttpTable(link=platform_link),
        store=http_platform.HttpObjects(link=platform_link),
        timer_service=core.timers,
    )


def submission_owner(
    core: composition.CoreServices,
    task_dispatcher: dispatch.Dispatcher,
    configuration_service: configuration.ConfigurationService,
    recorder: record_service.RecordService,
) -> ownership.SubmissionOwner:
    """Create the owner of this incarnation's submissions."""
    limits = core.settings.limits
    return ownership.SubmissionOwner(
        me=recorder.group.owner,
        outcome_cache=outcomes.OutcomeCache(kept_outcomes=limits.kept_outcomes),
        dispatcher=task_dispatcher,
        recorder=recorder,
        checker=requests.RequestChecker(
            dispatcher=task_dispatcher,
            configuration=configuration_service.current,
            default_deadline_s=limits.default_deadline_s,
        ),
        timer_service=core.timers,
    )


def submission_service(
    core: composition.CoreServices,
    platform_link: http_platform.PlatformLink,
    task_dispatcher: dispatch.Dispatcher,
    configuration_service: configuration.ConfigurationService,
    is_known_address: Callable[[names.ClientAddress], bool],
) -> submissions.SubmissionService:
    """Create the service for requests about submissions."""
    limits = core.settings.limits
    recorder = record_writer(core, platform_link)
    forwarder = forwarding.Forwarder(
        client=core.client,
        timer_service=core.timers,
        timeout_s=limits.attempt_timeout_s,
        is_known_address=is_known_address,
    )
    return submissions.SubmissionService(
        minter=minting.Minter(
            incarnation=core.incarnation,
            timer_service=core.timers,
            id_lifetime_s=limits.id_lifetime_s,
        ),
        owner=submission_owner(
            core, task_dispatcher, configuration_service, recorder
        ),
        forwarder=forwarder,
        takeover_service=takeover.TakeoverService(
            me=recorder.group.owner,
            table=recorder.table,
            store=recorder.store,
            recorder=recorder,
            forwarder=forwarder,
            timer_service=core.timers,
        ),
    )
