"""The configuration document: classes, teams and jobs, checked as a whole."""

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
_FULL_SHARE: Final = 1
_SHOWN_CHARS: Final = 80

Share = Annotated[float, pydantic.Field(ge=0, le=1)]
Reserve = Annotated[float, pydantic.Field(ge=0, le=0.5)]
Name = Annotated[str, pydantic.Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]


class StrictModel(pydantic.BaseModel):
    """A model that takes no unknown field and never changes."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class UrgencyClass(StrictModel):
    """Service of one urgency class.

    Attributes:
        share: Part of the slots the class may always claim, 0 to 1.
    """

    share: Share


class Team(StrictModel):
    """One team.

    Attributes:
        weight: Weight among the teams of a class.
        max_queued_tasks: Tasks that may wait at one instance.
    """

    weight: Annotated[float, pydantic.Field(gt=0, le=1000)] = 1
    max_queued_tasks: Annotated[int, pydantic.Field(ge=1, le=1_000_000)] = (
        10_000
    )


class Pool(StrictModel):
    """One upstream pool that jobs may name."""


class Job(StrictModel):
    """One kind of job.

    Attributes:
        teams: Teams that may submit it.
        urgency: Its urgency class.
        pool: Upstream pool that runs it.
        max_tasks: Tasks allowed in one submission.
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
    """The whole configuration.

    Attributes:
        classes: Urgency classes.
        teams: Teams by name.
        jobs: Jobs by name.
        pools: Upstream pools by name.
        reserve: Part of the slots that classes above their share leave free.
    """

    classes: dict[jobs.Urgency, UrgencyClass] = pydantic.Field(
        default_factory=default_classes
    )
    teams: dict[Name, Team] = pydantic.Field(default_factory=dict)
    jobs: dict[Name, Job] = pydantic.Field(default_factory=dict)
    pools: dict[Name, Pool] = pydantic.Field(default_factory=default_pools)
    reserve: Reserve = 0

    @pydantic.model_validator(mode='after')
    def check_whole(self) -> 'Document':
        """Check what spans several fields."""
        total = math.fsum(known.share for known in self.classes.values())
        if total > _FULL_SHARE:
            raise ValueError(f'classes: shares add up to {total}, over 1')
        for name, job in self.jobs.items():
            unknown = sorted(set(job.teams) - set(self.teams))
            if unknown:
                raise ValueError(f'jobs.{name}.teams: no team {unknown[0]}')
            if job.pool not in self.pools:
                raise ValueError(f'jobs.{name}.pool: no pool {job.pool}')
        return self

    def facts_of_job(self, name: names.JobName) -> Any:
        """Return all that decides how a job is treated, for comparison."""
        job = self.jobs.get(name)
        if job is None:
            return None
        teams = [self.teams[team] for team in job.teams]
        pool = self.pools.get(job.pool)
        return job, teams, self.classes, pool, self.reserve

    def find_job(self, name: names.JobName) -> Job | None:
        """Return the job of that name, if there is one."""
        return self.jobs.get(name)


class Invalid(msgspec.Struct, frozen=True, kw_only=True):
    """A document that may not come into force.

    Attributes:
        problems: One sentence a field, each beginning with its path.
    """

    problems: tuple[str, ...]


def check_document(raw: Any) -> Document | Invalid:
    """Check a decoded document.

    Args:
        raw: Decoded JSON.

    Returns:
        The document, or every problem found.
    """
    try:
        return Document.model_validate(raw)
    except pydantic.ValidationError as broken:
        return Invalid(problems=problems_of(broken))


def problems_of(broken: pydantic.ValidationError) -> tuple[str, ...]:
    """Describe each problem with its path, message and value.

    Args:
        broken: What pydantic raised.

    Returns:
        One sentence a problem.
    """
    found = broken.errors(include_url=False)
    return tuple(map(_sentence, found))


def _sentence(found: Any) -> str:
    path = '.'.join(map(str, found['loc']))
    message = found['msg'].removeprefix('Value error, ')
    if not path:
        return str(message)
    given = repr(found['input'])[:_SHOWN_CHARS]
    return f'{path}: {message}, not {given}'
