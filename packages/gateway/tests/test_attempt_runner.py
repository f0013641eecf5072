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
    """An attempt runner whose attempts return the given results."""

    def __init__(self, *results: request_context.Failed) -> None:
        unused: Any = None
        super().__init__(
            ids.InstanceId("e1"),
            unused,
            unused,
            health.HealthView(),
            unused,
            unused,
            lambda instance_id: None,
            lambda: 0.0,
            random.Random(1),
        )
        self.results = list(results)

    async def _attempt(
        self, context: request_context.RequestContext
    ) -> request_context.AttemptResult:
        return self.results.pop(0)


class FakeContext:
    """The part of a read-only request's context that retry decisions need."""

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
async def test_run_reports_unknown_if_an_earlier_attempt_may_have_run(
    ends: tuple[request_context.Failed, ...], outcome: outcomes.Outcome
) -> None:
    context: Any = FakeContext()
    attempt_result = await ScriptedRunner(*ends).run(context)
    assert (
        isinstance(attempt_result, request_context.Failed)
        and attempt_result.failure.outcome is outcome
    )
