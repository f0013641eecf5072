"""Checks of constraints between several settings.

The docstring of a check is the rule that its error message quotes.
"""

from __future__ import annotations

import collections
import typing
from collections.abc import Mapping

from yuccapitch.node import settings_table

_Values = Mapping[str, typing.Any]


@settings_table.check("tls_cert", "tls_key", "tls_trust_dir")
def check_tls(values: _Values) -> str | None:
    """The three TLS files are set together or not at all."""
    is_given = [value is not None for value in values.values()]
    if any(is_given) and not all(is_given):
        return "give all three, or none to run inner links without TLS"
    return None


@settings_table.check("role", "control_peers")
def check_entry_has_peers(values: _Values) -> str | None:
    """An entry instance needs a control instance that sends its configuration."""
    if values["role"] is settings_table.Role.ENTRY and not values["control_peers"]:
        return "an entry instance needs at least one control instance in the list"
    return None


@settings_table.check("role", "instance_id", "control_peers")
def check_peers_include_self(values: _Values) -> str | None:
    """A control instance is in its own list of control instances."""
    peer_ids = {peer.instance_id for peer in values["control_peers"]}
    if values["role"] is settings_table.Role.ENTRY or not peer_ids:
        return None
    if values["instance_id"] not in peer_ids:
        return f"add {values['instance_id']}=host:port, the instance itself"
    return None


@settings_table.check("control_peers")
def check_peers_are_unique(values: _Values) -> str | None:
    """Ids and addresses in the list are unique."""
    peers = values["control_peers"]
    seen = collections.Counter(peer.instance_id for peer in peers)
    seen.update(f"{peer.host}:{peer.inner_port}" for peer in peers)
    duplicates = sorted(key for key, count in seen.items() if count > 1)
    return f"name {', '.join(duplicates)} only once" if duplicates else None


@settings_table.check("renew_interval_s", "lease_duration_s")
def check_renewal(values: _Values) -> str | None:
    """A lease does not expire because of one lost renewal."""
    if values["renew_interval_s"] * 2 > values["lease_duration_s"]:
        return "renew at least twice per lease duration"
    return None


@settings_table.check("heartbeat_interval_s", "election_timeout_s")
def check_election(values: _Values) -> str | None:
    """One lost heartbeat does not start an election."""
    if values["heartbeat_interval_s"] * 2 > values["election_timeout_s"]:
        return "let the timeout span at least two heartbeats"
    return None


@settings_table.check("heartbeat_interval_s", "link_timeout_s")
def check_link_timeout(values: _Values) -> str | None:
    """One lost heartbeat does not close a link."""
    if values["heartbeat_interval_s"] * 2 > values["link_timeout_s"]:
        return "let the timeout span at least two heartbeats"
    return None


@settings_table.check("http_host", "http_port", "inner_host", "inner_port")
def check_ports_differ(values: _Values) -> str | None:
    """Clients and other instances connect to different ports."""
    same_host = values["http_host"] == values["inner_host"]
    if same_host and values["http_port"] == values["inner_port"] != 0:
        return "use two different ports"
    return None


@settings_table.check("data_dir")
def check_data_dir(values: _Values) -> str | None:
    """The data folder is not a file."""
    if values["data_dir"].exists() and not values["data_dir"].is_dir():
        return f"{values['data_dir']} is a file; give the path of a folder"
    return None
