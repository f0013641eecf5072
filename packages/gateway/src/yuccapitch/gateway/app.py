"""The HTTP application that an instance serves to clients and operators."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web

from yuccapitch.gateway import metrics as gateway_metrics, outcomes, request_parsing

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
CLIENT_MAX_SIZE_BYTES = 256 * 1024 * 1024
"""Largest body that `web.Request.read` accepts."""


def create_application(
    metrics: gateway_metrics.Metrics, not_ready_reason: Callable[[], str | None]
) -> web.Application:
    """Create an application with the health, readiness and metrics pages."""
    application = web.Application(
        client_max_size=CLIENT_MAX_SIZE_BYTES, middlewares=[_convert_http_errors]
    )

    async def health(request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def ready(request: web.Request) -> web.Response:
        reason = not_ready_reason()
        if reason is not None:
            return web.Response(status=503, text=reason + "\n")
        return web.Response(text="ready\n")

    async def metrics_page(request: web.Request) -> web.Response:
        headers = {"Content-Type": gateway_metrics.CONTENT_TYPE}
        return web.Response(body=metrics.render(), headers=headers)

    application.router.add_get("/healthz", health)
    application.router.add_get("/readyz", ready)
    application.router.add_get("/metrics", metrics_page)
    return application


@web.middleware
async def _convert_http_errors(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    try:
        return await handler(request)
    except web.HTTPException as error:
        return _error_response(request, error)


def _error_response(
    request: web.Request, error: web.HTTPException
) -> web.StreamResponse:
    code, message = "refused", error.reason
    if isinstance(error, web.HTTPMethodNotAllowed):
        allowed = ", ".join(sorted(error.allowed_methods))
        code = "wrong-method"
        message = f"{request.method} is not taken at {request.path!r}; use {allowed}"
    elif isinstance(error, web.HTTPNotFound):
        code = "unknown-path"
        message = f"nothing is served at {request.path!r}; services are below /s/"
    failure = outcomes.Failure(error.status, code, message)
    if request_parsing.KEY_HEADER in request.headers:
        failure = outcomes.with_unknown_outcome(failure)
    response = outcomes.failure_response(failure, 0)
    if "Allow" in error.headers:
        response.headers["Allow"] = error.headers["Allow"]
    return response
