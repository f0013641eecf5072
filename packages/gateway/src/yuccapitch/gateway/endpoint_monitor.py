"""Monitors endpoints by load reports, probes and the platform's instance lists."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
from collections.abc import Callable, Mapping
from typing import Any

import aiohttp
import result

from yuccapitch.catalogue import ids, model
from yuccapitch.gateway import (
    client_connection,
    config_view,
    exchange,
    load_report,
)
from yuccapitch.protocol import events
from yuccapitch.steering import health, leaving, probes

TICK_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 1.0
MAX_PROBE_BYTES = 64 * 1024
"""Limit on the body of the response to a probe, which is a load report."""
PLATFORM_LIST_INTERVAL_S = 1.0
PLATFORM_LIST_TIMEOUT_S = 2.0
MAX_PLATFORM_LIST_BYTES = 1024 * 1024
"""Limit on the body of a platform's list; it takes some times that once decoded."""


@dataclasses.dataclass
class _EndpointRecord:
    last_seen_at: float | None = None
    probed_at: float | None = None
    is_leaving: bool = False
    is_probe_failing: bool = False
    """Whether the last probe failed."""


class EndpointMonitor:
    """Tracks when endpoints last responded and whether they are leaving.

    The time at which an endpoint made a report is known only to lie between the
    start and the end of the exchange. A report of a drain is taken to be made at the
    end and any other report at the start, so that an older report never cancels a
    drain.
    """

    def __init__(
        self,
        health_view: health.HealthView,
        owned_endpoints: Callable[[], set[ids.EndpointId]],
        on_leaving_changed: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        self._health_view = health_view
        self._owned_endpoints = owned_endpoints
        self._on_leaving_changed = on_leaving_changed
        self._clock = clock
        self._leaving_tracker = leaving.LeavingTracker()
        self._records_by_id: dict[ids.EndpointId, _EndpointRecord] = {}
        self._view: config_view.ConfigView | None = None
        self._session: aiohttp.ClientSession
        self._tasks: set[asyncio.Task[None]] = set()
        self._platform_list_read_at: dict[str, float] = {}
        self._listed_ids_by_url: dict[str, frozenset[ids.EndpointId]] = {}
        """Endpoints in the last list that was read from each URL."""

    def configure(self, view: config_view.ConfigView) -> None:
        """Apply the drains of a configuration."""
        self._view = view
        for endpoint_id, endpoint in view.declaration.endpoints_by_id.items():
            notice = leaving.OperatorNotice(
                endpoint_id, view.version, _is_drained(view, endpoint_id, endpoint)
            )
            self._leaving_tracker.record_operator_notice(notice)
            self._update_leaving(endpoint_id)

    def is_leaving(self, endpoint_id: ids.EndpointId) -> bool:
        """Return whether the endpoint gets no new requests."""
        return self._leaving_tracker.is_leaving(endpoint_id)

    def record_response(
        self, endpoint_id: ids.EndpointId, headers: Mapping[str, str], started_at: float
    ) -> None:
        """Record that an endpoint responded, and apply its load report, if any."""
        record = self._get_record(endpoint_id)
        record.last_seen_at = self._clock()
        text = headers.get(exchange.LOAD_HEADER)
        if text is None:
            return
        parsed = load_report.parse_header(text)
        if isinstance(parsed, result.Err):
            events.event(
                "endpoint.report-invalid", endpoint=endpoint_id, report=text[:100]
            )
            return
        self._apply_report(endpoint_id, parsed.ok_value, started_at)

    async def run(self) -> None:
        """Probe owned endpoints and read the platform's lists until cancelled."""
        async with contextlib.AsyncExitStack() as stack:
            timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
            self._session = await stack.enter_async_context(
                aiohttp.ClientSession(
                    connector=client_connection.Connector(),
                    timeout=timeout,
                    cookie_jar=aiohttp.DummyCookieJar(),
                    # A small compressed body may be large once decompressed.
                    headers={"Accept-Encoding": "identity"},
                    auto_decompress=False,
                )
            )
            stack.callback(self._cancel_tasks)
            while True:
                await asyncio.sleep(TICK_INTERVAL_S)
                self._start_probes()
                self._start_platform_list_reads()

    def _apply_report(
        self,
        endpoint_id: ids.EndpointId,
        report: load_report.Report,
        started_at: float,
    ) -> None:
        self._health_view.observe_report(
            health.LoadReport(endpoint_id, report.in_flight, started_at)
        )
        is_draining = report.state is load_report.State.DRAINING
        made_at = self._clock() if is_draining else started_at
        notice = leaving.EndpointNotice(
            endpoint_id, report.started_ms, int(made_at * 1_000_000), is_draining
        )
        if self._leaving_tracker.record_endpoint_notice(notice):
            self._health_view.forget(endpoint_id)
        self._update_leaving(endpoint_id)

    def _update_leaving(self, endpoint_id: ids.EndpointId) -> None:
        record = self._get_record(endpoint_id)
        sources = self._leaving_tracker.leaving_sources(endpoint_id)
        if bool(sources) == record.is_leaving:
            return
        record.is_leaving = bool(sources)
        if record.is_leaving:
            names = ",".join(sorted(source.value for source in sources))
            events.event("endpoint.leaving", endpoint=endpoint_id, sources=names)
        else:
            events.event("endpoint.up", endpoint=endpoint_id)
        self._on_leaving_changed()

    def _start_probes(self) -> None:
        if self._view is None:
            return
        now = self._clock()
        for endpoint_id in probes.due_probes(self._probe_targets(now), now):
            self._get_record(endpoint_id).probed_at = now
            endpoint = self._view.declaration.endpoints_by_id[endpoint_id]
            service = self._view.declaration.services_by_id[endpoint.service]
            assert service.probe_path is not None
            url = f"http://{endpoint.host}:{endpoint.port}{service.probe_path}"
            self._spawn(self._probe(endpoint_id, url))

    def _probe_targets(self, now: float) -> list[probes.ProbeTarget]:
        assert self._view is not None
        targets = []
        for endpoint_id in self._owned_endpoints():
            endpoint = self._view.declaration.endpoints_by_id.get(endpoint_id)
            if endpoint is None:
                continue
            service = self._view.declaration.services_by_id[endpoint.service]
            if service.probe_path is None:
                continue
            record = self._get_record(endpoint_id)
            health_estimate = self._health_view.estimate(endpoint_id, now)
            targets.append(
                probes.ProbeTarget(
                    endpoint_id,
                    service.probe_interval_s,
                    record.last_seen_at,
                    record.probed_at,
                    health_estimate.doubtful or record.is_leaving,
                )
            )
        return targets

    async def _probe(self, endpoint_id: ids.EndpointId, url: str) -> None:
        started_at = self._clock()
        read = await self._read_probe(url)
        self._log_probe(endpoint_id, read.err())
        self._health_view.observe_probe(endpoint_id, read.is_ok(), self._clock())
        if isinstance(read, result.Err):
            return
        self._get_record(endpoint_id).last_seen_at = self._clock()
        parsed = load_report.from_json(read.ok_value)
        if isinstance(parsed, result.Ok):
            self._apply_report(endpoint_id, parsed.ok_value, started_at)

    async def _read_probe(self, url: str) -> result.Result[Any, str]:
        """Return the JSON value in the response to a probe, or why there is none."""
        try:
            async with self._session.get(url, allow_redirects=False) as response:
                if response.status != 200:
                    return result.Err(f"status {response.status}")
                read = await client_connection.read_body(response, MAX_PROBE_BYTES)
            if isinstance(read, result.Err):
                return read
            value = json.loads(read.ok_value)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            return result.Err(repr(error))
        except RecursionError:
            return result.Err("JSON nested too deeply")
        return result.Err("no JSON value") if value is None else result.Ok(value)

    def _log_probe(self, endpoint_id: ids.EndpointId, failure: str | None) -> None:
        record = self._get_record(endpoint_id)
        if failure is not None and not record.is_probe_failing:
            events.event("endpoint.probe-failed", endpoint=endpoint_id, reason=failure)
        record.is_probe_failing = failure is not None

    def _start_platform_list_reads(self) -> None:
        if self._view is None:
            return
        now = self._clock()
        urls = {
            service.platform_list_url
            for service in self._view.declaration.services_by_id.values()
            if service.platform_list_url is not None
        }
        for url in urls:
            if (
                now
                >= self._platform_list_read_at.get(url, 0.0) + PLATFORM_LIST_INTERVAL_S
            ):
                self._platform_list_read_at[url] = now
                self._spawn(self._read_platform_list(url))

    async def _read_platform_list(self, url: str) -> None:
        try:
            async with self._session.get(url, allow_redirects=False) as response:
                read = await client_connection.read_body(
                    response, MAX_PLATFORM_LIST_BYTES
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            events.event("platform.list-failed", url=url, reason=repr(error))
            return
        platform_list = read.and_then(load_report.parse_platform_list)
        if isinstance(platform_list, result.Err):
            events.event(
                "platform.list-failed", url=url, reason=platform_list.err_value
            )
            return
        for item in platform_list.ok_value.instances:
            endpoint_id = ids.EndpointId(item.id)
            notice = leaving.PlatformNotice(
                endpoint_id,
                platform_list.ok_value.as_of_unix_ms / 1000,
                item.state is load_report.PlatformState.LEAVING,
            )
            self._leaving_tracker.record_platform_notice(notice)
            self._update_leaving(endpoint_id)
        self._forget_unlisted(
            url,
            frozenset(
                ids.EndpointId(item.id) for item in platform_list.ok_value.instances
            ),
        )

    def _forget_unlisted(self, url: str, listed_ids: frozenset[ids.EndpointId]) -> None:
        """Forget undeclared endpoints that only an earlier list of a URL named.

        Otherwise lists that name other endpoints each time would all be kept.
        """
        assert self._view is not None
        unlisted_ids = self._listed_ids_by_url.get(url, frozenset()) - listed_ids
        self._listed_ids_by_url[url] = listed_ids
        known_ids = self._view.declaration.endpoints_by_id.keys()
        for endpoint_id in unlisted_ids.difference(
            known_ids, *self._listed_ids_by_url.values()
        ):
            self._leaving_tracker.forget_platform_notice(endpoint_id)
            self._records_by_id.pop(endpoint_id, None)

    def _get_record(self, endpoint_id: ids.EndpointId) -> _EndpointRecord:
        return self._records_by_id.setdefault(endpoint_id, _EndpointRecord())

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _cancel_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()


def _is_drained(
    view: config_view.ConfigView,
    endpoint_id: ids.EndpointId,
    endpoint: model.Endpoint,
) -> bool:
    region = view.region_of_domain(endpoint.failure_domain)
    drain_targets = {
        (model.DrainKind.ENDPOINT, endpoint_id),
        (model.DrainKind.FAILURE_DOMAIN, endpoint.failure_domain),
        (model.DrainKind.REGION, region),
    }
    return any(
        (drain.kind, drain.target) in drain_targets
        for drain in view.declaration.drains_by_id.values()
    )
