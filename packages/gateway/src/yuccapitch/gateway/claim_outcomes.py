"""What a caller is told of a key that is not dispatched here."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from aiohttp import web

from yuccapitch.gateway import claim_service, incoming, outcomes
from yuccapitch.protocol import claim_messages
from yuccapitch.steering import claim_attempt, claim_keys

DUPLICATE_RETRY_AFTER_S = 1.0


def answer(decided: claim_service.Voiding, version: int) -> web.Response:
    """Return the replay of the first answer, or the failure that tells of it."""
    if isinstance(decided, claim_attempt.AlreadyDispatched):
        first = decided.answer
        if first is not None and first.body is not None:
            return _replay(first, first.body, version)
    return outcomes.failure_response(_failure(decided), version)


async def refuse(
    claims: claim_service.Claims,
    key: claim_keys.Key | None,
    attempt: int,
    failure: outcomes.Failure,
) -> outcomes.Failure:
    """Return the failure, as `not-run` only if the key's attempt cannot run."""
    if key is None or failure.outcome is not outcomes.Outcome.NOT_RUN:
        return failure
    voided = await claims.void(key, attempt)
    if isinstance(voided, claim_attempt.Voided):
        return failure
    return _as_unknown(failure)


async def give_up(
    dispatch: claim_service.Dispatch | None, failure: outcomes.Failure
) -> outcomes.Failure:
    """Return the failure of a claimed request, `not-run` only if that is proved."""
    if dispatch is None or failure.outcome is not outcomes.Outcome.NOT_RUN:
        return failure
    if isinstance(await dispatch.prove_not_run(), claim_attempt.Voided):
        return failure
    return _as_unknown(failure)


def refuse_unread(
    headers: Mapping[str, str], failure: outcomes.Failure
) -> outcomes.Failure:
    """Return the failure of a request whose key was not read or cannot be voided.

    An earlier arrival of the key may have run.
    """
    if incoming.KEY_HEADER in headers:
        return _as_unknown(failure)
    return failure


def _replay(
    first: claim_messages.ClaimAnswer, body: bytes, version: int
) -> web.Response:
    headers = {
        outcomes.OUTCOME_HEADER: outcomes.Outcome.ANSWERED.value,
        outcomes.VERSION_HEADER: str(version),
    }
    if first.content_type:
        headers["Content-Type"] = first.content_type
    return web.Response(status=first.status, body=body, headers=headers)


def _failure(decided: claim_service.Voiding) -> outcomes.Failure:
    unknown = outcomes.Outcome.UNKNOWN
    match decided:
        case claim_attempt.Voided():
            message = "this attempt was refused; resend with the next attempt number"
            return outcomes.Failure(409, "voided", message)
        case claim_attempt.AlreadyDispatched(_, None):
            message = "the key was sent to an endpoint; its answer is not known here"
            return outcomes.Failure(
                409, "already-sent", message, unknown, DUPLICATE_RETRY_AFTER_S
            )
        case claim_attempt.AlreadyDispatched(_, claim_messages.ClaimAnswer() as first):
            message = f"the request ran with status {first.status}; its body is gone"
            return outcomes.Failure(409, "answer-not-kept", message, unknown)
        case _:
            message = "too few holders of the key answered; resend the same attempt"
            return outcomes.Failure(
                503, "undecided", message, unknown, DUPLICATE_RETRY_AFTER_S
            )


def _as_unknown(failure: outcomes.Failure) -> outcomes.Failure:
    return dataclasses.replace(failure, outcome=outcomes.Outcome.UNKNOWN)
