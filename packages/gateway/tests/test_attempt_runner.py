from __future__ import annotations

import random
from typing import Any

import pytest

from yuccapitch.catalogue import ids, model
from yuccapitch.gateway import attempt_runner, outcomes, request_context
from yuccapitch.steering import health, retry

BROKEN = request_context.Failed(
    outcomes.Failure(502, "no-answer", "", outcomes.Outcome.UNKNOWN),
    retry.AttemptEnd.BROKEN,
)
REFUSED = request_context.Failed(outcomes.Failure(503, "no-endpoint", ""), None)


class ScriptedRunner(attempt_runner.AttemptRunner):
    """Makes attempts that end as told."""

    def __init__(self, *ends: request_context.Failed) -> None:
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

    async def _attempt(
        self, context: request_context.FakeContext
    ) -> request_context.AttemptResult:
        return self.ends.pop(0)


class FakeContext:
    """The part of a read's job that decides about another attempt."""

    class body:
        can_resend = True

    class view:
        @staticmethod
        def endpoints(service: str, region: str) -> list[str]:
            return ["b1", "b2"]

    class parsed:
        route_id = "browsing"
        deadline = 9.0

        class route:
            service = "shop"
            request_class = model.RequestClass.READ_ONLY

    region = "east"

    @staticmethod
    def allows_endpoint(endpoint_id: str) -> bool:
        return True


@pytest.mark.parametrize(
    ("ends", "outcome"),
    [
        ((REFUSED,), outcomes.Outcome.NOT_RUN),
        ((BROKEN, REFUSED), outcomes.Outcome.UNKNOWN),
    ],
)
async def test_run_never_says_not_run_of_what_an_earlier_attempt_sent(
    ends: tuple[request_context.Failed, ...], outcome: outcomes.Outcome
) -> None:
    context: Any = FakeContext()
    ended = await ScriptedRunner(*ends).run(context)
    assert (
        isinstance(ended, request_context.Failed) and ended.failure.outcome is outcome
    )
