"""Schema of the configuration document: classes, teams, jobs and pools."""

import math
import types
from typing import Annotated, Any, Final

import msgspec
import pydantic

from guavaroad.domain import jobs, names

_DEFAULT_SHARES: Final = types.MappingProxyType(
    {
        jobs.Urgency.URGENT: 0.5,
        jobs.Urgency.NORMAL: 0.3,
        jobs.Urgency.LOW: 0.2,
    }
)
_MAX_TOTAL_SHARE: Final = 1
_MAX_VALUE_CHARS: Final = 80

Share = Annotated[float, pydantic.Field(ge=0, le=1)]
Reserve = Annotated[float, pydantic.Field(ge=0, le=0.5)]
Name = Annotated[str, pydantic.Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]


class StrictModel(pydantic.BaseModel):
    """Immutable model that rejects unknown fields."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class UrgencyClass(StrictModel):
    """Settings of one urgency class.

    Attributes:
        share: Fraction of the slots guaranteed to the class, 0 to 1.
    """

    share: Share


class Team(StrictModel):
    """Settings of one team.

    Attributes:
        weight: Scheduling weight among the teams of a class.
        max_queued_tasks: Maximum number of queued tasks at one instance.
    """

    weight: Annotated[float, pydantic.Field(gt=0, le=1000)] = 1
    max_queued_tasks: Annotated[int, pydantic.Field(ge=1, le=1_000_000)] = (
        10_000
    )


class Pool(StrictModel):
    """Settings of one upstream pool."""


class Job(StrictModel):
    """Settings of one job.

    Attributes:
        teams: Teams that may submit the job.
        urgency: Urgency class.
        pool: Upstream pool that runs the tasks.
        max_tasks: Maximum number of tasks in one submission.
    """

    teams: tuple[Name, ...]
    urgency: jobs.Urgency = jobs.Urgency.NORMAL
    pool: Name = 'main'
    max_tasks: Annotated[int, pydantic.Field(ge=1, le=100_000)] = 1000


def default_classes() -> dict[jobs.Urgency, UrgencyClass]:
    """Return the classes of an empty document."""
    return {
        urgency: UrgencyClass(share=share)
        for urgency, share in _DEFAULT_SHARES.items()
    }


def default_pools() -> dict[str, Pool]:
    """Return the pools of an empty document."""
    return {'main': Pool()}


class Document(StrictModel):
    """Configuration document.

    Attributes:
        classes: Urgency classes.
        teams: Teams by name.
        jobs: Jobs by name.
        pools: Upstream pools by name.
        reserve: Fraction of the slots that a class above its share may not
            use.
    """

    classes: dict[jobs.Urgency, UrgencyClass] = pydantic.Field(
        default_factory=default_classes
    )
    teams: dict[Name, Team] = pydantic.Field(default_factory=dict)
    jobs: dict[Name, Job] = pydantic.Field(default_factory=dict)
    pools: dict[Name, Pool] = pydantic.Field(default_factory=default_pools)
    reserve: Reserve = 0

    @pydantic.model_validator(mode='after')
    def check_consistency(self) -> 'Document':
        """Check the constraints between fields."""
        total = math.fsum(
            urgency_class.share for urgency_class in self.classes.values()
        )
        if total > _MAX_TOTAL_SHARE:
            raise ValueError(f'classes: shares add up to {total}, over 1')
        for name, job in self.jobs.items():
            unknown = sorted(set(job.teams) - set(self.teams))
            if unknown:
                raise ValueError(f'jobs.{name}.teams: no team {unknown[0]}')
            if job.pool not in self.pools:
                raise ValueError(f'jobs.{name}.pool: no pool {job.pool}')
        return self

    def job_settings(self, name: names.JobName) -> Any:
        """Return all settings that affect a job, for comparison."""
        job = self.jobs.get(name)
        if job is None:
            return None
        teams = [self.teams[team] for team in job.teams]
        pool = self.pools.get(job.pool)
        return job, teams, self.classes, pool, self.reserve

    def find_job(self, name: names.JobName) -> Job | None:
        """Return the job with the given name, or None."""
        return self.jobs.get(name)


class Invalid(msgspec.Struct, frozen=True, kw_only=True):
    """Result for an invalid document.

    Attributes:
        problems: One sentence per problem, beginning with the field's path.
    """

    problems: tuple[str, ...]


def check_document(raw: Any) -> Document | Invalid:
    """Validate a document.

    Args:
        raw: Decoded JSON.

    Returns:
        The document, or all problems found.
    """
    try:
        return Document.model_validate(raw)
    except pydantic.ValidationError as error:
        return Invalid(problems=problems_of(error))


def problems_of(error: pydantic.ValidationError) -> tuple[str, ...]:
    """Describe each validation error by path, message and value.

    Args:
        error: Validation error raised by pydantic.

    Returns:
        One sentence per problem.
    """
    details = error.errors(include_url=False)
    return tuple(map(_sentence, details))


def _sentence(detail: Any) -> str:
    path = '.'.join(map(str, detail['loc']))
    message = detail['msg'].removeprefix('Value error, ')
    if not path:
        return str(message)
    value = repr(detail['input'])[:_MAX_VALUE_CHARS]
    return f'{path}: {message}, not {value}'
