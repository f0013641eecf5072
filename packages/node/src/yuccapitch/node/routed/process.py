"""Process of a routed instance: logs, signals, settings and graceful shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import signal
import sys
import typing
from collections.abc import Callable, Mapping

import result

from yuccapitch.control import coordinator
from yuccapitch.node import log_lines, loop_monitor, tasks
from yuccapitch.node.routed import (
    adapter as routed_adapter,
    bounded_log,
    line_writer,
    metrics as routed_metrics,
    settings,
)
from yuccapitch.protocol import events

EXIT_OK = 0
EXIT_FAILED = 1
# Allocations between garbage collections. Requests create few reference cycles, so
# rare collections are enough.
GC_ALLOCATION_THRESHOLD = 20_000
REPORT_INTERVAL_S = 5.0
# The settings file may change without a signal, so it is also checked periodically.
SETTINGS_CHECK_INTERVAL_S = 1.0


ReadSettings = Callable[[], result.Result[settings.RoutedSettings, str]]


class Node(typing.Protocol):
    """An instance of either role."""

    @property
    def metrics(self) -> routed_metrics.RoutedMetrics:
        """The metrics of the process."""

    async def start(self) -> result.Result[None, str]:
        """Start serving, or return why it failed."""

    def reload(self, node_settings: settings.RoutedSettings) -> None:
        """Apply changed settings."""

    async def drain(self, stopped_at: float, loop_lag_s: float = 0.0) -> None:
        """Complete the requests in flight; the grace began at ``stopped_at``.

        ``loop_lag_s`` is by how much the event loop was late before.
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
    read_changed_settings: Callable[
        [bool], result.Result[settings.RoutedSettings, str] | None
    ],
) -> int:
    """Run an instance until a signal stops it; return the exit code.

    ``read_changed_settings`` returns the changed settings, or None if they are
    unchanged. Its argument is whether a signal requested the reload.
    """
    with _logging(node_settings.name) as log:
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
    read_changed_settings: Callable[
        [bool], result.Result[settings.RoutedSettings, str] | None
    ],
    log: bounded_log.BoundedLog,
) -> int:
    stop = asyncio.Event()
    failures: list[str] = []
    stopped_at: list[float] = []

    def fail(reason: str) -> None:
        failures.append(reason)
        stop.set()

    def request_stop() -> None:
        # The grace begins with the signal, also if the node is still starting.
        stopped_at.append(coordinator.boot_time_s())
        stop.set()

    loop = asyncio.get_running_loop()
    async with contextlib.AsyncExitStack() as stack:
        reload_event = asyncio.Event()
        # Installed before the node starts, so that a signal during the start does not
        # kill the process.
        loop.add_signal_handler(signal.SIGTERM, request_stop)
        loop.add_signal_handler(signal.SIGINT, request_stop)
        loop.add_signal_handler(signal.SIGHUP, reload_event.set)
        node = _FACTORIES_BY_ROLE[role](node_settings, adapter, stack, fail)
        started = await node.start()
        if isinstance(started, result.Err):
            events.event("process.failed", reason=started.err_value)
            return EXIT_FAILED
        node.metrics.add_gauge(
            "log_lines_lost",
            "Lines of the log that could not be written.",
            lambda: log.lost_lines,
        )
        tasks.start(
            _watch_settings(node, reload_event, read_changed_settings), stack, fail
        )
        tasks.start(_report_dropped(log), stack, fail)
        recent_lag = loop_monitor.RecentLag()
        tasks.start(loop_monitor.run(recent_lag), stack, fail)
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
        await stop.wait()
        if failures:
            events.event("process.failed", reason=failures[0])
            if log.is_failing:
                line_writer.write_line(
                    sys.stderr, f"{node_settings.name} failed: {failures[0]}"
                )
            return EXIT_FAILED
        events.event("process.stopping")
        await node.drain(stopped_at[0], recent_lag.max_s)
    return EXIT_OK


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
    read_changed_settings: Callable[
        [bool], result.Result[settings.RoutedSettings, str] | None
    ],
) -> None:
    while True:
        is_requested = False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTINGS_CHECK_INTERVAL_S):
                await reload_event.wait()
                is_requested = True
        reload_event.clear()
        changed = read_changed_settings(is_requested)
        if changed is None:
            continue
        if isinstance(changed, result.Err):
            events.event("settings.reload-failed", reason=changed.err_value)
            continue
        node.reload(changed.ok_value)
        events.event("settings.reloaded", seeds=list(changed.ok_value.seed_ids))
