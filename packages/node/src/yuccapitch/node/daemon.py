"""Startup, servers and graceful shutdown of one instance."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import random
import signal
import time
import traceback
import typing
from collections.abc import Awaitable, Callable

import result

from yuccapitch.control import lease_client, operator_api
from yuccapitch.gateway import app, metric_table, metrics as gateway_metrics
from yuccapitch.node import (
    control_role,
    entry_role,
    gauges,
    http_server,
    log_writer,
    loop_monitor,
    settings_table,
    tasks,
)
from yuccapitch.protocol import events, inner_tls, link, peers as inner_peers

EXIT_OK = 0
EXIT_FAILED = 1
HEARTBEATS_PER_TIMEOUT = 4
GC_ALLOCATION_THRESHOLD = 20_000
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def run(settings: settings_table.Settings, log: log_writer.LogWriter) -> int:
    """Run one instance and return its exit code."""
    code = await Daemon(settings, log).run()
    _ignore_signals()
    return code


def boot_time_s() -> float:
    """Return the time since boot, including the time the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Daemon:
    """One instance that runs its roles until a signal stops it."""

    def __init__(
        self, settings: settings_table.Settings, log: log_writer.LogWriter
    ) -> None:
        self._settings = settings
        self._log = log
        self._clock = boot_time_s
        self._rng = random.Random(settings.seed)
        self._stop = asyncio.Event()
        self._failure_reason: str | None = None
        self._entry: entry_role.EntryRole | None = None
        self._http: http_server.HttpServer

    async def run(self) -> int:
        """Serve until a signal or a failure and return the exit code."""
        # Installed before the start, so that a signal during it does not kill the
        # process.
        self._handle_signals()
        asyncio.get_running_loop().set_exception_handler(_log_uncaught)
        async with contextlib.AsyncExitStack() as stack:
            started = await self._start(stack)
            if isinstance(started, result.Err):
                events.event("process.failed", reason=started.err_value)
                return EXIT_FAILED
            await self._stop.wait()
            is_planned = self._failure_reason is None
            if is_planned:
                events.event("process.stopping")
            else:
                events.event("process.failed", reason=self._failure_reason)
            is_served = await self._stop_serving()
            is_closed = await _run_step("close", stack.aclose)
        if not (is_planned and is_served and is_closed):
            return EXIT_FAILED
        events.event("process.stopped")
        return EXIT_OK

    async def _start(
        self, stack: contextlib.AsyncExitStack
    ) -> result.Result[None, str]:
        settings = self._settings
        tls = _open_tls(settings)
        if isinstance(tls, result.Err):
            return tls
        timing = link.LinkTiming(settings.heartbeat_interval_s, settings.link_timeout_s)
        links = inner_peers.Peers(settings.instance_id, timing, tls.ok_value)
        inner = await links.start(settings.inner_host, settings.inner_port)
        stack.push_async_callback(links.aclose)
        for peer in settings.control_peers:
            address = inner_peers.Address(peer.host, peer.inner_port)
            links.set_address(peer.instance_id, address)
        links.set_address(settings.instance_id, inner)
        metrics = gateway_metrics.Metrics()
        stack.callback(metrics.close)
        gauges.register_log_gauges(metrics, self._log.losses)
        metrics.register_gauge(
            metric_table.INNER_LINK_BYTES,
            lambda: [
                (("sent",), links.traffic.sent_bytes),
                (("received",), links.traffic.received_bytes),
            ],
        )
        application = app.create_application(metrics, self._not_ready_reason)
        if settings.runs_control:
            control = await control_role.start(
                settings, links, self._clock, self._rng, stack
            )
            if isinstance(control, result.Err):
                return result.Err(str(control.err_value))
            routes = operator_api.OperatorApi(control.ok_value.control).routes()
            application.router.add_routes(routes)
            tasks.start(control.ok_value.replica.wait_stopped(), stack, self._fail)
        http = http_server.HttpServer(
            settings.http_host, settings.http_port, settings.max_header_bytes
        )
        if settings.runs_entry:
            description = lease_client.InstanceDescription(
                instance_id=settings.instance_id,
                incarnation=time.time_ns(),
                failure_domain=settings.failure_domain,
                http=http.address,
                inner=inner,
            )
            dependencies = entry_role.EntryRoleDependencies(
                settings,
                links,
                description,
                metrics,
                self._clock,
                self._rng,
                self._fail,
            )
            self._entry = await entry_role.start(dependencies, application, stack)
            gauges.register_lease_gauges(metrics, self._entry.lease, self._clock)
        await http.serve(application, stack)
        tasks.start(loop_monitor.run(), stack, _go_on)
        _tune_garbage_collector()
        self._http = http
        events.event(
            "process.started",
            role=settings.role.value,
            http=f"{http.address.host}:{http.address.port}",
            inner=f"{inner.host}:{inner.port}",
        )
        return result.Ok(None)

    async def _stop_serving(self) -> bool:
        """Answer what was taken, for a limited time; return whether no step failed."""
        entry = self._entry
        is_drained = entry is None or await _run_step("drain", entry.drain)
        is_stopped = await _run_step("http", self._http.stop_listening)
        events.event(
            "process.drained",
            in_flight=0 if entry is None else entry.state.in_flight,
            cut_connections=self._http.cut_connections,
        )
        return is_drained and is_stopped

    def _fail(self, reason: str) -> None:
        # A background task violated an invariant, or the state of the disk is unknown.
        # Only a restart recovers from either.
        if not self._stop.is_set():
            self._failure_reason = reason
        self._stop.set()

    def _not_ready_reason(self) -> str | None:
        if self._failure_reason is not None:
            return f"stopping after a failure: {self._failure_reason}"
        if self._stop.is_set():
            return "stopping"
        return None if self._entry is None else self._entry.not_ready_reason()

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            # Setting the event again has no effect, so a second signal does not
            # interrupt the drain.
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, events.event, "settings.reload-ignored")


async def _run_step(step: str, run_step: Callable[[], Awaitable[None]]) -> bool:
    """Run a step of a stop; log an error, as the next steps owe answers as well."""
    try:
        await run_step()
    except Exception as error:
        trace = "".join(traceback.format_exception(error))
        events.event("process.stop-failed", step=step, reason=repr(error), trace=trace)
        return False
    return True


def _go_on(reason: str) -> None:
    """Go on without a task that only reports, whose failure is logged already."""


def _log_uncaught(
    loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
) -> None:
    error = context.get("exception")
    trace = "" if error is None else "".join(traceback.format_exception(error))
    reason = context["message"] if error is None else repr(error)
    events.event("process.callback-failed", reason=reason, trace=trace)


def _ignore_signals() -> None:
    # Closing the event loop restores the default actions, with which a signal would
    # replace the exit code of a stop that is complete.
    loop = asyncio.get_running_loop()
    for number in (*STOP_SIGNALS, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _tune_garbage_collector() -> None:
    # Objects loaded by now live until the process ends, and scanning them at each
    # collection would delay requests. Reference counting frees the objects of a
    # request, so a high threshold is enough.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_ALLOCATION_THRESHOLD)


def _open_tls(
    settings: settings_table.Settings,
) -> result.Result[inner_tls.InnerTls | None, str]:
    if settings.tls_cert is None:
        return result.Ok(None)
    assert settings.tls_key is not None and settings.tls_trust_dir is not None
    opened = inner_tls.InnerTls.open(
        settings.tls_cert, settings.tls_key, settings.tls_trust_dir
    )
    if isinstance(opened, result.Err):
        reason = f"--tls-cert, --tls-key, --tls-trust-dir: {opened.err_value}"
        return result.Err(reason)
    return result.Ok(opened.ok_value)
