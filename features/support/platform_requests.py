"""Requests and configurations in the platform's wire format."""

JOB_PATH = '/q1/0123456789abcdef'
POOL = 'pool'
QUEUES = 3
MAX_ATTEMPTS = 4
LONG_TEXT = 'x' * 70_000


def headers():
    """Return the headers of a client's request."""
    return {'Host': 'jobs.example', 'Deadline-Ms': '3000'}


def valid_job(**changes):
    """Return a valid job, with some fields replaced."""
    job = {
        'TaskSpec': '10',
        'BestEffort': True,
        'Steps': [{'Count': 1, 'Cpu': 1000, 'EstimateMs': 10}],
    }
    return job | changes


def request(name):
    """Return method, path and body of a named special request.

    The body is `object` if it is to be sent as invalid JSON.
    """
    bodies = {
        'a body that is not JSON': object,
        'a body over the size limit': valid_job(TaskSpec=LONG_TEXT),
        'a task spec of 4,001 bytes': valid_job(TaskSpec='x' * 4001),
        'steps of a wrong type': valid_job(Steps=7),
        'a job that is not best-effort': valid_job(BestEffort=False),
        'a job without tasks': valid_job(Steps=[{'Count': 0}]),
    }
    others = {
        'an id of 15 digits': ('POST', JOB_PATH[:-1], valid_job()),
        'a job for an unknown queue': (
            'POST',
            '/q9/0123456789abcdef',
            valid_job(),
        ),
        'a GET request for a job': ('GET', JOB_PATH, None),
        'a GET request for a queue': ('GET', '/q1/', None),
    }
    return others.get(name) or ('POST', JOB_PATH, bodies[name])


def route(urgency):
    """Return the route of the queue for an urgency."""
    return {
        'Name': f'r{urgency}',
        'Host': 'jobs.example',
        'PathPrefix': f'/q{urgency}/',
        'Kind': 'non_idempotent',
        'TimeoutMs': 1500,
        'TargetDurationMs': 60,
        'Priority': urgency,
        'Service': POOL,
        'MaxAttempts': MAX_ATTEMPTS,
        'Stretch': 1.6,
    }


def config():
    """Return a configuration with a queue for each urgency."""
    return {
        'Version': 1,
        'Routes': [route(urgency) for urgency in range(QUEUES)],
        'Services': [],
        'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 65536},
    }
