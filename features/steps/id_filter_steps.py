"""Steps of the compact record of ids."""

import behave

from guavaroad.domain.pool import id_filter


def make_ids(begin, count):
    return map('{:016x}'.format, range(begin, begin + count))


@behave.given('an id filter that retains {count:d} ids for {retention_s:d} s')
def given_filter(context, count, retention_s):
    context.now_s = 0
    context.count = count
    context.filter = id_filter.IdFilter(retention_s=retention_s, now_s=0)
    for recorded in make_ids(0, count):
        context.filter.record(recorded)


@behave.when('{seconds:g} s pass for the filter in steps of {step_s:g} s')
def when_time_passes(context, seconds, step_s):
    for _ in range(round(seconds / step_s)):
        context.now_s += step_s
        context.filter.expire(context.now_s)


@behave.then('the filter reports all of the ids')
def then_all_reported(context):
    assert all(map(context.filter.may_contain, make_ids(0, context.count)))


@behave.then('the filter reports none of the ids')
def then_none_reported(context):
    assert not any(map(context.filter.may_contain, make_ids(0, context.count)))


@behave.then('the filter reports at most {percent:d} % of {count:d} other ids')
def then_few_reported(context, percent, count):
    others = make_ids(context.count, count)
    reported = sum(map(context.filter.may_contain, others))
    assert reported * 100 <= percent * count, reported
