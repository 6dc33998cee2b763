"""Builds the client port and the planned stop, which watches it."""

from guavaroad import composition
from guavaroad.adapters import http_api, http_api_site
from guavaroad.services import dispatch, drain, submissions


def client_site(
    base: composition.Foundation, api: http_api.ApiResource
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
    base: composition.Foundation,
    submitted: submissions.SubmissionService,
    site: http_api_site.ApiSite,
) -> drain.DrainService:
    """Return the planned stop, with what it waits for."""
    service = drain.DrainService(
        timer_service=base.timers,
        bound_s=base.settings.drain_s,
        decisions=base.decisions,
    )
    service.hooks.on_leaving.extend(
        (submitted.refuse_new_submissions, site.start_draining)
    )
    service.hooks.on_closing.append(site.close_connections)
    service.watch('submissions', submitted.outcome_cache.open_count)
    service.watch('requests', site.requests_in_progress)
    service.watch('connections', site.connection_count, drain.Phase.CLOSING)
    return service


def watch_counts(
    base: composition.Foundation,
    site: http_api_site.ApiSite,
    submitted: submissions.SubmissionService,
    dispatcher: dispatch.Dispatcher,
) -> None:
    """Show the present counts of the parts as gauges."""
    sink = base.metrics
    dispatcher.on_enqueue.append(sink.tasks_queued)
    sink.watch(
        'submissions_open',
        'Submissions that have not ended.',
        submitted.outcome_cache.open_count,
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
        base.client.connection_count,
    )
