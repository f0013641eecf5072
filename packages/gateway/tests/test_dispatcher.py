from __future__ import annotations

import random
from typing import Any

import pytest

from yuccapitch.catalogue import ids, model
from yuccapitch.gateway import dispatcher, jobs, outcomes
from yuccapitch.steering import health, retry

BROKEN = jobs.Failed(
    outcomes.Failure(502, "no-answer", "", outcomes.Outcome.UNKNOWN),
    retry.AttemptEnd.BROKEN,
)
REFUSED = jobs.Failed(outcomes.Failure(503, "no-endpoint", ""), None)


class Scripted(dispatcher.Dispatcher):
    """Makes attempts that end as told."""

    def __init__(self, *ends: jobs.Failed) -> None:
        nothing: Any = None
        super().__init__(
            ids.InstanceId("e1"),
            nothing,
            nothing,
            health.HealthView(),
            nothing,
            nothing,
            lambda instance_id: None,
            lambda: 0.0,
            random.Random(1),
        )
        self.ends = list(ends)

    async def _attempt(self, job: jobs.Job) -> jobs.End:
        return self.ends.pop(0)


class Job:
    """The part of a read's job that decides about another attempt."""

    class body:
        can_resend = True

    class view:
        @staticmethod
        def endpoints(service: str, region: str) -> list[str]:
            return ["b1", "b2"]

    class wanted:
        route_id = "browsing"
        deadline = 9.0

        class route:
            service = "shop"
            request_class = model.RequestClass.READ_ONLY

    region = "east"

    @staticmethod
    def allows(endpoint_id: str) -> bool:
        return True


@pytest.mark.parametrize(
    ("ends", "outcome"),
    [
        ((REFUSED,), outcomes.Outcome.NOT_RUN),
        ((BROKEN, REFUSED), outcomes.Outcome.UNKNOWN),
    ],
)
async def test_run_never_says_not_run_of_what_an_earlier_attempt_sent(
    ends: tuple[jobs.Failed, ...], outcome: outcomes.Outcome
) -> None:
    job: Any = Job()
    ended = await Scripted(*ends).run(job)
    assert isinstance(ended, jobs.Failed) and ended.failure.outcome is outcome
