from __future__ import annotations

import hypothesis
from hypothesis import strategies

from tests import catalogue_sample
from yuccapitch.catalogue import changes, ids, loading, model, state

DAY_MS = 24 * 3600 * 1000


def started(**settings: int) -> state.CatalogueState:
    machine = state.CatalogueState(**settings)
    first = catalogue_sample.change("first", 0, catalogue_sample.declaration())
    outcome = machine.apply(1, catalogue_sample.command(first))
    assert outcome == changes.Accepted(version=ids.Version(1))
    return machine


def with_slots(slots: int) -> model.Declaration:
    data = catalogue_sample.plain()
    data["endpoints"]["bins-1"]["slots"] = slots
    return loading.load_object(data).unwrap()


def test_apply_conflict_names_winner_and_differences() -> None:
    machine = started()
    machine.apply(
        2, catalogue_sample.command(catalogue_sample.change("won", 1, with_slots(5)))
    )
    lost = machine.apply(
        3, catalogue_sample.command(catalogue_sample.change("lost", 1, with_slots(6)))
    )
    assert isinstance(lost, changes.Conflict)
    assert lost.winning_change_id == "won"
    assert lost.current_version == 2
    assert lost.differences == ("changed endpoints.bins-1 (slots 4 -> 5)",)


def test_apply_resend_returns_first_outcome_for_a_day() -> None:
    machine = started()
    item = catalogue_sample.change("won", 1, with_slots(5))
    first = machine.apply(2, catalogue_sample.command(item))
    machine.apply(
        3, catalogue_sample.command(catalogue_sample.change("next", 2, with_slots(6)))
    )
    again = machine.apply(
        4, catalogue_sample.command(item, catalogue_sample.DECEMBER_MS + DAY_MS)
    )
    assert again == first
    assert machine.version == 3


def test_apply_resend_of_conflict_returns_first_outcome() -> None:
    machine = started()
    machine.apply(
        2, catalogue_sample.command(catalogue_sample.change("won", 1, with_slots(5)))
    )
    item = catalogue_sample.change("lost", 1, with_slots(6))
    first = machine.apply(3, catalogue_sample.command(item))
    machine.apply(
        4, catalogue_sample.command(catalogue_sample.change("next", 2, with_slots(7)))
    )
    assert machine.apply(5, catalogue_sample.command(item)) == first


def test_apply_other_content_under_used_id_is_refused() -> None:
    machine = started()
    machine.apply(
        2, catalogue_sample.command(catalogue_sample.change("one", 1, with_slots(5)))
    )
    outcome = machine.apply(
        3, catalogue_sample.command(catalogue_sample.change("one", 2, with_slots(6)))
    )
    assert isinstance(outcome, changes.Refused)
    assert outcome.faults[0].path == "change_id"


def test_apply_full_memory_refuses_rather_than_forgets() -> None:
    machine = started(max_retained_outcomes=2)
    machine.apply(
        2, catalogue_sample.command(catalogue_sample.change("a", 1, with_slots(5)))
    )
    item = catalogue_sample.change("b", 2, with_slots(6))
    assert isinstance(machine.apply(3, catalogue_sample.command(item)), changes.Refused)
    later = machine.apply(
        4, catalogue_sample.command(item, catalogue_sample.DECEMBER_MS + 2 * DAY_MS)
    )
    assert later == changes.Accepted(version=ids.Version(3))


def test_apply_shared_entry_follows_month_of_log_time() -> None:
    data = catalogue_sample.plain()
    data["regions"]["north"]["capacity"] = 60
    declared = loading.load_object(data).unwrap()
    item = catalogue_sample.change("cap", 1, declared, owner="amber")
    edge = catalogue_sample.DECEMBER_MS
    before = state.CatalogueState()
    first = catalogue_sample.change("first", 0, catalogue_sample.declaration())
    before.apply(1, catalogue_sample.command(first, edge - 10))
    assert isinstance(
        before.apply(2, catalogue_sample.command(item, edge - 1)), changes.Accepted
    )
    after = state.CatalogueState()
    after.apply(1, catalogue_sample.command(first, edge))
    # A leader whose clock runs behind does not bring the old month back.
    assert isinstance(
        after.apply(2, catalogue_sample.command(item, edge - 1)), changes.Refused
    )


def test_apply_foreign_entry_is_refused_also_in_own_month() -> None:
    machine = started()
    item = catalogue_sample.change("x", 1, with_slots(5), owner="birch")
    outcome = machine.apply(2, catalogue_sample.command(item))
    assert isinstance(outcome, changes.Refused)
    assert outcome.faults[0].path == "endpoints.bins-1"


def test_apply_bad_signature_is_refused() -> None:
    machine = started()
    item = catalogue_sample.change("x", 1, with_slots(5)).model_copy(
        update={"reason": "other"}
    )
    assert machine.admit(item).is_err()
    outcome = machine.apply(2, catalogue_sample.command(item))
    assert isinstance(outcome, changes.Refused)


def test_apply_unsigned_only_where_allowed_and_without_keys() -> None:
    declared = catalogue_sample.declaration(owners={"amber": {}, "birch": {}})
    item = changes.Change(
        change_id=ids.ChangeId("a"),
        base_version=ids.Version(0),
        declaration=declared,
        owner=ids.OwnerId("amber"),
    )
    strict = state.CatalogueState()
    assert isinstance(strict.apply(1, strict.build_command(item, 0)), changes.Refused)
    lenient = state.CatalogueState(allow_unsigned=True)
    command = lenient.build_command(item, 0)
    assert isinstance(lenient.apply(1, command), changes.Accepted)
    # The command decides, so that a replica with another setting agrees.
    follower = state.CatalogueState()
    assert isinstance(follower.apply(1, command), changes.Accepted)


def test_holder_lists_keep_replaced_list_for_key_lifetime() -> None:
    machine = started()
    data = catalogue_sample.plain()
    data["instances"]["e2"] = {**data["instances"]["e1"], "host": "127.0.0.2"}
    declared = loading.load_object(data).unwrap()
    item = catalogue_sample.change("grow", 1, declared, owner="birch")
    machine.apply(
        2, catalogue_sample.command(item, catalogue_sample.DECEMBER_MS + 1000)
    )
    north = [item for item in machine.holder_lists if item.region == "north"]
    assert [len(item.holders) for item in north] == [1, 2]
    assert (
        north[0].replaced_ms == north[1].since_ms == catalogue_sample.DECEMBER_MS + 1000
    )


proposals = strategies.tuples(
    strategies.sampled_from(["a", "b", "c", "d", "e"]),
    strategies.integers(0, 5),
    strategies.integers(1, 9),
    strategies.sampled_from(["amber", "birch"]),
)
logs = strategies.lists(proposals, min_size=1, max_size=4).flatmap(
    lambda pool: strategies.lists(
        strategies.tuples(
            strategies.sampled_from(pool), strategies.integers(-DAY_MS, DAY_MS // 2)
        ),
        max_size=12,
    )
)


@hypothesis.given(logs, strategies.integers(0, 12))
@hypothesis.settings(max_examples=60, deadline=None)
def test_apply_equal_logs_give_equal_states(log: list, cut: int) -> None:
    """Versions only grow, resends repeat, and a snapshot replaces any prefix."""
    left, right = started(), started()
    first_by_id: dict[str, tuple[object, object]] = {}
    for index, ((change_id, base, slots, owner), offset) in enumerate(log, start=2):
        item = catalogue_sample.change(change_id, base, with_slots(slots), owner)
        command = catalogue_sample.command(item, catalogue_sample.DECEMBER_MS + offset)
        version = left.version
        outcome = left.apply(index, command)
        assert outcome == right.apply(index, command)
        if change_id not in first_by_id:
            assert left.version - version == isinstance(outcome, changes.Accepted)
            first_by_id[change_id] = (item, outcome)
        else:
            assert left.version == version
        if first_by_id[change_id][0] == item:
            assert outcome == first_by_id[change_id][1]
        if index == cut:
            snapshot = right.snapshot()
            right = state.CatalogueState()
            right.restore(snapshot)
    assert left.snapshot() == right.snapshot()
    assert left.audit_head == right.audit_head
    assert left.declaration == right.declaration
    assert left.digest == right.digest


@hypothesis.given(strategies.binary(max_size=200))
@hypothesis.settings(max_examples=30, deadline=None)
def test_apply_unreadable_command_changes_nothing(command: bytes) -> None:
    machine = started()
    assert isinstance(machine.apply(2, command), changes.Refused)
    assert machine.version == 1
