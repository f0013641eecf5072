"""Process of a routed instance: logs, signals, settings and graceful shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import signal
import sys
import types
import typing
from collections.abc import Callable, Mapping

import result

from yuccapitch.control import coordinator
from yuccapitch.node import log_lines, loop_monitor, tasks
from yuccapitch.node.routed import (
    adapter as routed_adapter,
    bounded_log,
    library_reports,
    line_writer,
    metrics as routed_metrics,
    settings,
    timing,
)
from yuccapitch.protocol import events

EXIT_OK = 0
EXIT_FAILED = 1
# Allocations between garbage collections. Requests create few reference cycles, so
# rare collections are enough.
GC_ALLOCATION_THRESHOLD = 20_000
REPORT_INTERVAL_S = 5.0
# Time after the grace until a drain that hangs is given up.
MAX_DRAIN_DELAY_S = 2.0
# Longest wait for a slow disk that takes the last lines of the log, within the grace.
MAX_LAST_WRITES_S = 1.0
# The settings file may change without a signal, so it is also checked periodically.
SETTINGS_CHECK_INTERVAL_S = 1.0


ReadChangedSettings = Callable[
    [bool], result.Result[settings.RoutedSettings, str] | None
]


class Node(typing.Protocol):
    """An instance of either role."""

    @property
    def metrics(self) -> routed_metrics.RoutedMetrics:
        """The metrics of the process."""

    async def start(self) -> result.Result[None, str]:
        """Start serving, or return why it failed."""

    def reload(self, node_settings: settings.RoutedSettings) -> None:
        """Apply changed settings."""

    async def drain(
        self, stopped_at: float, loop_lag_s: float = 0.0, signal_age_s: float = 0.0
    ) -> None:
        """Complete the requests in flight; the grace began at ``stopped_at``.

        ``loop_lag_s`` is by how much the event loop was late before, ``signal_age_s``
        how long before ``stopped_at`` the signal can have been sent.
        """


NodeFactory = Callable[
    [
        settings.RoutedSettings,
        routed_adapter.Adapter,
        contextlib.AsyncExitStack,
        Callable[[str], None],
    ],
    Node,
]


_FACTORIES_BY_ROLE: dict[str, NodeFactory] = {}


def _register_factory(name: str) -> Callable[[NodeFactory], NodeFactory]:
    """Register the factory of a role's instances."""

    def register(factory: NodeFactory) -> NodeFactory:
        _FACTORIES_BY_ROLE[name] = factory
        return factory

    return register


@_register_factory("control")
def _make_control(
    node_settings: settings.RoutedSettings,
    adapter: routed_adapter.Adapter,
    stack: contextlib.AsyncExitStack,
    on_failed: Callable[[str], None],
) -> Node:
    # Imported here because an entry instance needs neither the log nor its storage.
    from yuccapitch.node.routed import control_node

    return control_node.ControlNode(node_settings, adapter, stack, on_failed)


@_register_factory("entry")
def _make_entry(
    node_settings: settings.RoutedSettings,
    adapter: routed_adapter.Adapter,
    stack: contextlib.AsyncExitStack,
    on_failed: Callable[[str], None],
) -> Node:
    from yuccapitch.node.routed import entry_node

    return entry_node.EntryNode(node_settings, adapter, stack, on_failed)


async def run(
    role: str,
    node_settings: settings.RoutedSettings,
    adapter: routed_adapter.Adapter,
    read_changed_settings: ReadChangedSettings,
) -> int:
    """Run an instance until a signal stops it; return the exit code.

    ``read_changed_settings`` returns the changed settings, or None if they are
    unchanged. Its argument is whether a signal requested the reload.
    """
    background = line_writer.standard_error_in_background()
    reports = library_reports.logged_as_events()
    with background, _logging(node_settings.name) as log, reports:
        code = await _run_logged(
            role, node_settings, adapter, read_changed_settings, log
        )
        if code == EXIT_OK:
            events.event("process.stopped")
    return code


async def _run_logged(
    role: str,
    node_settings: settings.RoutedSettings,
    adapter: routed_adapter.Adapter,
    read_changed_settings: ReadChangedSettings,
    log: bounded_log.BoundedLog,
) -> int:
    stop = _Stop(coordinator.boot_time_s)
    try:
        async with contextlib.AsyncExitStack() as stack:
            await _run_node(
                role, node_settings, adapter, read_changed_settings, log, stop, stack
            )
    except Exception as error:
        # The exit stack has closed the other parts.
        events.event(
            "process.close-failed", reason=repr(error), location=tasks.locate(error)
        )
        stop.fail(repr(error))
    return EXIT_FAILED if stop.failures else EXIT_OK


async def _run_node(
    role: str,
    node_settings: settings.RoutedSettings,
    adapter: routed_adapter.Adapter,
    read_changed_settings: ReadChangedSettings,
    log: bounded_log.BoundedLog,
    stop: _Stop,
    stack: contextlib.AsyncExitStack,
) -> None:
    reload_event = asyncio.Event()
    # Installed before the node starts, so that a signal during the start does not
    # kill the process.
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload_event.set)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.request)
        # Called beside the handler above, and before the event loop gets to that one.
        signal.signal(number, stop.record_signal)
    stack.callback(loop.set_exception_handler, loop.get_exception_handler())
    loop.set_exception_handler(_log_callback_error)
    node = _FACTORIES_BY_ROLE[role](node_settings, adapter, stack, stop.fail)
    reason = await _start(node)
    if reason is not None:
        # The listener for clients is opened last, so nothing was taken from them.
        stop.fail(reason)
        _report_failure(node_settings.name, reason, log)
        return
    node.metrics.add_gauge(
        "log_lines_lost",
        "Lines of the log that could not be written.",
        lambda: log.lost_lines,
    )
    tasks.start_optional(
        lambda: _watch_settings(node, reload_event, read_changed_settings), stack
    )
    tasks.start_optional(lambda: _report_dropped(log), stack)
    tasks.start_optional(lambda: loop_monitor.run(stop.recent_lag), stack)
    # Objects created by the start live as long as the process, so garbage
    # collections need not scan them.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_ALLOCATION_THRESHOLD)
    events.event(
        "process.started",
        name=node_settings.name,
        region=node_settings.region_id,
        domain=node_settings.failure_domain,
        seeds=list(node_settings.seed_ids),
    )
    stopped_at = await stop.wait()
    is_own_end = bool(stop.failures)
    if is_own_end:
        _report_failure(node_settings.name, stop.failures[0], log)
    else:
        signal_age_ms = round(stop.signal_age_s * 1000)
        events.event("process.stopping", signal_age_ms=signal_age_ms)
    signalled_at = stopped_at - loop_monitor.signal_delay_s(stop.signal_age_s)
    ends_at = signalled_at + node_settings.stop_grace_s
    await _drain(node, stop, stopped_at, ends_at)
    if stop.failures and not is_own_end:
        _report_failure(node_settings.name, stop.failures[0], log)
    left_s = ends_at - timing.EXIT_MARGIN_S - coordinator.boot_time_s()
    log.max_last_writes_s = max(
        line_writer.LAST_WRITES_S, min(left_s, MAX_LAST_WRITES_S)
    )


class _Stop:
    """The first request to stop, by a signal or by a failure, and all failures."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.recent_lag = loop_monitor.RecentLag(clock())
        """How late the event loop was, which tells how late the request may be."""
        self._is_requested = asyncio.Event()
        # The grace begins with the request, also if the node is still starting.
        self._requested_at = float("inf")
        self.signal_age_s = 0.0
        """How long before the request its signal can have been sent."""
        self.failures: list[str] = []

    def record_signal(self, number: int, frame: types.FrameType | None) -> None:
        """Record when a signal came.

        The interpreter calls it as soon as the process has a processor, so the signal
        came after the last check of the event loop.
        """
        now = self._clock()
        if now < self._requested_at:
            self._requested_at = now
            self.signal_age_s = max(0.0, now - self.recent_lag.checked_at)

    def request(self) -> None:
        """Let the instance drain and end."""
        self._requested_at = min(self._requested_at, self._clock())
        self._is_requested.set()

    def fail(self, reason: str) -> None:
        """Let the instance drain and end with the exit code of a failure."""
        # A task that runs again may fail again.
        if reason not in self.failures:
            self.failures.append(reason)
        self.request()

    async def wait(self) -> float:
        """Wait for the first request and return when it came."""
        await self._is_requested.wait()
        return self._requested_at


async def _start(node: Node) -> str | None:
    """Start a node; return why it failed, None if it serves."""
    try:
        started = await node.start()
    except Exception as error:
        return f"{error!r} {tasks.locate(error)}"
    return started.err_value if isinstance(started, result.Err) else None


async def _drain(node: Node, stop: _Stop, stopped_at: float, ends_at: float) -> None:
    try:
        # Nobody kills an instance that ends by itself. The drain keeps to the grace
        # itself, and may come late after a long start or in a late event loop.
        left_s = max(0.0, ends_at - coordinator.boot_time_s())
        async with asyncio.timeout(left_s + MAX_DRAIN_DELAY_S):
            await node.drain(stopped_at, stop.recent_lag.max_s, stop.signal_age_s)
    except Exception as error:
        events.event(
            "process.drain-failed", reason=repr(error), location=tasks.locate(error)
        )
        stop.fail(repr(error))


def _report_failure(name: str, reason: str, log: bounded_log.BoundedLog) -> None:
    events.event("process.failed", reason=reason)
    if log.is_failing:
        line_writer.write_line(sys.stderr, f"{name} failed: {reason}")


def _log_callback_error(
    loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
) -> None:
    error = context.get("exception")
    events.event(
        "process.callback-failed",
        message=context.get("message", ""),
        reason=repr(error),
        location="" if error is None else tasks.locate(error),
    )


def _logging(name: str) -> contextlib.AbstractContextManager[bounded_log.BoundedLog]:
    def format_line(message: Mapping[str, typing.Any]) -> str:
        return log_lines.format_line(message, name)

    descriptor = line_writer.find_descriptor(sys.stdout)
    return bounded_log.write_to(descriptor, format_line, events.Level.DEBUG)


async def _report_dropped(log: bounded_log.BoundedLog) -> None:
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        log.report_dropped()


async def _watch_settings(
    node: Node,
    reload_event: asyncio.Event,
    read_changed_settings: ReadChangedSettings,
) -> None:
    while True:
        is_requested = False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTINGS_CHECK_INTERVAL_S):
                await reload_event.wait()
                is_requested = True
        reload_event.clear()
        try:
            changed = read_changed_settings(is_requested)
            if changed is None:
                continue
            if isinstance(changed, result.Ok):
                node.reload(changed.ok_value)
        except Exception as error:
            # The settings in use stay valid, whatever is wrong with the changed ones.
            changed = result.Err(f"{error!r} {tasks.locate(error)}")
        if isinstance(changed, result.Err):
            events.event("settings.reload-failed", reason=changed.err_value)
            continue
        events.event("settings.reloaded", seeds=list(changed.ok_value.seed_ids))
