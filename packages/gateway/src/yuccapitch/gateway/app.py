"""The HTTP application of an instance."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp import web

from yuccapitch.gateway import metrics as gateway_metrics

Handler = Callable[[web.Request], "web.StreamResponse"]
MAX_SMALL_BODY_BYTES = 256 * 1024 * 1024


def build(
    metrics: gateway_metrics.Metrics, is_ready: Callable[[], str | None]
) -> web.Application:
    """Return an application with the paths that every instance serves."""
    application = web.Application(client_max_size=MAX_SMALL_BODY_BYTES)

    async def health(request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def ready(request: web.Request) -> web.Response:
        reason = is_ready()
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
