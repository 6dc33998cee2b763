"""Creates the client port, its drain and the gauges of an instance."""

from guavaroad import composition
from guavaroad.adapters import http_api, http_api_site
from guavaroad.services import dispatch, drain, submissions


def client_site(
    core: composition.CoreServices, api_resource: http_api.ApiResource
) -> http_api_site.ApiSite:
    """Create the site of the client port."""
    limits = core.settings.limits
    return http_api_site.ApiSite(
        root=api_resource,
        reactor=core.reactor,
        timer_service=core.timers,
        bounds=http_api_site.Bounds(
            body_bytes=limits.body_bytes,
            held_body_bytes=limits.held_body_bytes,
            connections=limits.connections,
            request_timeout_s=limits.request_timeout_s,
        ),
    )


def drain_service(
    core: composition.CoreServices,
    submission_service: submissions.SubmissionService,
    site: http_api_site.ApiSite,
) -> drain.DrainService:
    """Create the drain service and register what it waits for."""
    service = drain.DrainService(
        timer_service=core.timers,
        time_limit_s=core.settings.drain_s,
        decisions=core.decisions,
    )
    service.hooks.on_leaving.extend(
        (submission_service.refuse_new_submissions, site.start_draining)
    )
    service.hooks.on_closing.append(site.close_connections)
    service.watch('submissions', submission_service.outcome_cache.open_count)
    service.watch('requests', site.requests_in_progress)
    service.watch('connections', site.connection_count, drain.Phase.CLOSING)
    return service


def watch_counts(
    core: composition.CoreServices,
    site: http_api_site.ApiSite,
    submission_service: submissions.SubmissionService,
    dispatcher: dispatch.Dispatcher,
) -> None:
    """Register gauges for the current counts of the services."""
    sink = core.metrics
    dispatcher.on_enqueue.append(sink.tasks_queued)
    sink.watch(
        'submissions_open',
        'Submissions that have not ended.',
        submission_service.outcome_cache.open_count,
    )
    sink.watch(
        'tasks_waiting',
        'Tasks that wait for a slot.',
        lambda: dispatcher.queue.task_count,
    )
    sink.watch(
        'client_connections',
        'Open connections of the client port.',
        site.connection_count,
    )
    sink.watch(
        'outgoing_connections',
        'Connections to upstreams, peers and the platform.',
        core.client.connection_count,
    )
