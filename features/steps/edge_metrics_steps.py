"""Steps about the metrics."""

import behave
import edge_support
from prometheus_client import parser

SUFFIXES = ('open', 'waiting', 'connections', 'total', 'count', 'created')
SUFFIXES += ('seconds', 'bucket', 'sum')


def samples(instance):
    text = instance.ask(edge_support.request('GET', '/metrics'))
    body = text.partition('\r\n\r\n')[2]
    families = parser.text_string_to_metric_families(body)
    return {
        sample_key(sample): sample.value
        for family in families
        for sample in family.samples
    }


def sample_key(sample):
    labels = ','.join(
        f'{name}="{text}"' for name, text in sample.labels.items()
    )
    return f'{sample.name}{{{labels}}}' if labels else sample.name


@behave.given('a second instance in memory')
def given_second(context):
    context.second = edge_support.Instance()


@behave.when('the metrics are read')
def when_read(context):
    context.samples = samples(context.instance)


@behave.then('the metrics have these samples')
def then_samples(context):
    for row in context.table:
        value = context.samples.get(row['sample'])
        assert value == float(row['value']), (row['sample'], value)


@behave.then('each metric of the project has a unit or count suffix')
def then_units(context):
    project_metrics = [
        name.partition('{')[0]
        for name in context.samples
        if name.startswith('guavaroad_')
    ]
    assert all(name.endswith(SUFFIXES) for name in project_metrics), (
        project_metrics
    )


@behave.then('the second instance has counted no tasks')
def then_nothing_counted(context):
    assert samples(context.instance)['guavaroad_tasks_queued_total'] == 1
    assert samples(context.second)['guavaroad_tasks_queued_total'] == 0
