"""Steps about reads of the worker list."""

import dataclasses
import gc

import behave
from twisted import logger


@behave.when(
    'a worker begins to drain, and the allocator stops while it reads that'
)
def when_stops_while_reading(context):
    pool = context.pool
    drained = next(iter(pool.workers.values()))
    drained.worker_info = dataclasses.replace(
        drained.worker_info, draining=True
    )
    pool.list_workers()
    node = pool.allocator().node
    node.active_allocator.store_reader.read_workers()
    context.errors = []
    logger.globalLogPublisher.addObserver(context.errors.append)
    context.add_cleanup(
        logger.globalLogPublisher.removeObserver, context.errors.append
    )
    node.stop_allocating(retiring=False)
    pool.run(0.1)
    gc.collect()


@behave.then('no error is logged')
def then_no_error(context):
    failures = [
        event['log_failure'].getErrorMessage()
        for event in context.errors
        if 'log_failure' in event
    ]
    assert not failures, failures
