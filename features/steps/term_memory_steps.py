"""Steps of the memory of terms as allocator."""

import dataclasses
import gc
import weakref

import behave

from guavaroad.adapters import garbage
from guavaroad.domain.pool import id_filter


def filter_bytes(ids):
    """Return the memory of a filter, in bytes."""
    assert all(
        len(page) == id_filter.PAGE_BYTES
        for page in (*ids.recent.values(), *ids.older.values())
    )
    return (len(ids.recent) + len(ids.older)) * id_filter.PAGE_BYTES


def term_bytes(state):
    """Return the memory of the filters of a term, in bytes."""
    closed = state.closed
    return filter_bytes(closed.started) + filter_bytes(closed.reported)


@behave.given('a pool of 1 instance in zones "a" with {workers:d} workers')
def given_single(context, workers):
    context.execute_steps(
        f'Given a pool of 1 instances in zones "a" with {workers} workers'
    )


@behave.then('the filter has at most {count:d} bytes')
def then_small(context, count):
    assert filter_bytes(context.filter) <= count, filter_bytes(context.filter)


@behave.then('the filters of the term have memory')
def then_used(context):
    machine = context.pool.allocator().node.active_allocator.machine
    assert term_bytes(machine.state)


@behave.when('the term ends without a collection')
def when_ends(context):
    gc.disable()
    context.add_cleanup(gc.enable)
    node = context.pool.allocator().node
    context.collections = []
    node.dependencies = dataclasses.replace(
        node.dependencies,
        collect_garbage=lambda: context.collections.append(1),
    )
    state = node.active_allocator.machine.state
    context.state = weakref.ref(state)
    node.stop_allocating(retiring=True)
    context.left_bytes = term_bytes(state)


@behave.then('the filters of the term have none')
def then_freed(context):
    assert not context.left_bytes, context.left_bytes


@behave.then('a collection was requested')
def then_requested(context):
    assert context.collections == [1], context.collections


@behave.then('after it the state of the term is gone')
def then_gone(context):
    garbage.collect()
    assert context.state() is None
