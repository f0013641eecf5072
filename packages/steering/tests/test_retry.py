from __future__ import annotations

import pytest
import result

from yuccapitch.catalogue import ids, model
from yuccapitch.steering import retry, retry_budget

READ_ONLY = model.RequestClass.READ_ONLY
AT_MOST_ONCE = model.RequestClass.AT_MOST_ONCE


def _attempt(
    request_class: model.RequestClass = READ_ONLY,
    end: retry.AttemptEnd = retry.AttemptEnd.SHED,
    number: int = 1,
) -> retry.Attempt:
    return retry.Attempt(number, request_class, end, 1.0, 0.02)


@pytest.mark.parametrize("end", [retry.AttemptEnd.BROKEN, retry.AttemptEnd.TIMED_OUT])
def test_retry_refused_after_possible_execution(end: retry.AttemptEnd) -> None:
    for request_class in (AT_MOST_ONCE, model.RequestClass.KEPT_ONCE):
        decided = retry.decide_retry(
            _attempt(request_class, end), retry_budget.RetryBudget(), 1, 0.0
        )
        assert decided == result.Err(retry.NoRetryReason.MAY_HAVE_RUN)


def test_retry_allows_at_most_once_request_that_was_shed() -> None:
    decided = retry.decide_retry(
        _attempt(AT_MOST_ONCE), retry_budget.RetryBudget(), 1, 0.0
    )
    assert decided == result.Ok(2)


def test_retry_budget_limits_retries_to_ratio() -> None:
    budget = retry_budget.RetryBudget(ratio=0.1, burst=10.0)
    retries = 0
    for _ in range(1000):
        budget.record_first_attempt()
        retries += retry.decide_retry(_attempt(), budget, 1, 0.0).is_ok()
    assert 100 <= retries <= 110


def test_retry_refused_for_another_reason_spends_nothing() -> None:
    budget = retry_budget.RetryBudget()
    late = retry.decide_retry(_attempt(), budget, 1, 0.99)
    alone = retry.decide_retry(_attempt(), budget, 0, 0.0)
    third = retry.decide_retry(_attempt(number=3), budget, 1, 0.0)
    assert [late, alone, third] == [
        result.Err(retry.NoRetryReason.DEADLINE),
        result.Err(retry.NoRetryReason.NO_OTHER_ENDPOINT),
        result.Err(retry.NoRetryReason.ATTEMPTS),
    ]
    assert budget.tokens == retry_budget.BUDGET_BURST


def test_recent_sheds_expire_after_one_second() -> None:
    recent_sheds = retry.RecentSheds()
    recent_sheds.record(ids.EndpointId("b1"), 0.0)
    assert recent_sheds.avoided_until_by_id(0.9) == {"b1": 1.0}
    assert recent_sheds.endpoints_to_avoid(0.9) == {"b1"}
    assert recent_sheds.avoided_until_by_id(1.0) == {}
    assert recent_sheds.endpoints_to_avoid(1.0) == frozenset()
