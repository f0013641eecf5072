from __future__ import annotations

import hypothesis
from hypothesis import strategies

from tests import catalogue_sample
from yuccapitch.catalogue import changes, ids, loading, model, state

DAY_MS = 24 * 3600 * 1000


def create_state(**settings: int) -> state.CatalogueState:
    catalogue = state.CatalogueState(**settings)
    first = catalogue_sample.change("first", 0, catalogue_sample.declaration())
    outcome = catalogue.apply(1, catalogue_sample.command(first))
    assert outcome == changes.Accepted(version=ids.Version(1))
    return catalogue


def declare_slots(slots: int) -> model.Declaration:
    data = catalogue_sample.plain()
    data["endpoints"]["bins-1"]["slots"] = slots
    return loading.load_object(data).unwrap()


def test_apply_conflict_names_winner_and_differences() -> None:
    catalogue = create_state()
    catalogue.apply(
        2, catalogue_sample.command(catalogue_sample.change("won", 1, declare_slots(5)))
    )
    lost = catalogue.apply(
        3,
        catalogue_sample.command(catalogue_sample.change("lost", 1, declare_slots(6))),
    )
    assert isinstance(lost, changes.Conflict)
    assert lost.winning_change_id == "won"
    assert lost.current_version == 2
    assert lost.differences == ("changed endpoints.bins-1 (slots 4 -> 5)",)


def test_apply_resend_returns_first_outcome_for_a_day() -> None:
    catalogue = create_state()
    proposal = catalogue_sample.change("won", 1, declare_slots(5))
    first = catalogue.apply(2, catalogue_sample.command(proposal))
    catalogue.apply(
        3,
        catalogue_sample.command(catalogue_sample.change("next", 2, declare_slots(6))),
    )
    again = catalogue.apply(
        4, catalogue_sample.command(proposal, catalogue_sample.DECEMBER_MS + DAY_MS)
    )
    assert again == first
    assert catalogue.version == 3


def test_apply_resend_of_conflict_returns_first_outcome() -> None:
    catalogue = create_state()
    catalogue.apply(
        2, catalogue_sample.command(catalogue_sample.change("won", 1, declare_slots(5)))
    )
    proposal = catalogue_sample.change("lost", 1, declare_slots(6))
    first = catalogue.apply(3, catalogue_sample.command(proposal))
    catalogue.apply(
        4,
        catalogue_sample.command(catalogue_sample.change("next", 2, declare_slots(7))),
    )
    assert catalogue.apply(5, catalogue_sample.command(proposal)) == first


def test_apply_refuses_reused_change_id_with_other_content() -> None:
    catalogue = create_state()
    catalogue.apply(
        2, catalogue_sample.command(catalogue_sample.change("one", 1, declare_slots(5)))
    )
    outcome = catalogue.apply(
        3, catalogue_sample.command(catalogue_sample.change("one", 2, declare_slots(6)))
    )
    assert isinstance(outcome, changes.Refused)
    assert outcome.faults[0].path == "change_id"


def test_apply_refuses_changes_at_retained_outcome_limit() -> None:
    catalogue = create_state(max_retained_outcomes=2)
    catalogue.apply(
        2, catalogue_sample.command(catalogue_sample.change("a", 1, declare_slots(5)))
    )
    proposal = catalogue_sample.change("b", 2, declare_slots(6))
    assert isinstance(
        catalogue.apply(3, catalogue_sample.command(proposal)), changes.Refused
    )
    later = catalogue.apply(
        4, catalogue_sample.command(proposal, catalogue_sample.DECEMBER_MS + 2 * DAY_MS)
    )
    assert later == changes.Accepted(version=ids.Version(3))


def test_apply_shared_entry_follows_month_of_log_time() -> None:
    data = catalogue_sample.plain()
    data["regions"]["north"]["capacity"] = 60
    declared = loading.load_object(data).unwrap()
    proposal = catalogue_sample.change("cap", 1, declared, owner="amber")
    december_ms = catalogue_sample.DECEMBER_MS
    before = state.CatalogueState()
    first = catalogue_sample.change("first", 0, catalogue_sample.declaration())
    before.apply(1, catalogue_sample.command(first, december_ms - 10))
    assert isinstance(
        before.apply(2, catalogue_sample.command(proposal, december_ms - 1)),
        changes.Accepted,
    )
    after = state.CatalogueState()
    after.apply(1, catalogue_sample.command(first, december_ms))
    # A leader whose clock is behind does not return to the previous month.
    assert isinstance(
        after.apply(2, catalogue_sample.command(proposal, december_ms - 1)),
        changes.Refused,
    )


def test_apply_refuses_entry_of_other_owner_even_in_own_turn() -> None:
    catalogue = create_state()
    proposal = catalogue_sample.change("x", 1, declare_slots(5), owner="birch")
    outcome = catalogue.apply(2, catalogue_sample.command(proposal))
    assert isinstance(outcome, changes.Refused)
    assert outcome.faults[0].path == "endpoints.bins-1"


def test_apply_bad_signature_is_refused() -> None:
    catalogue = create_state()
    proposal = catalogue_sample.change("x", 1, declare_slots(5)).model_copy(
        update={"reason": "other"}
    )
    assert catalogue.admit(proposal).is_err()
    outcome = catalogue.apply(2, catalogue_sample.command(proposal))
    assert isinstance(outcome, changes.Refused)


def test_apply_unsigned_only_where_allowed_and_without_keys() -> None:
    declared = catalogue_sample.declaration(owners={"amber": {}, "birch": {}})
    proposal = changes.Change(
        change_id=ids.ChangeId("a"),
        base_version=ids.Version(0),
        declaration=declared,
        owner=ids.OwnerId("amber"),
    )
    strict = state.CatalogueState()
    assert isinstance(
        strict.apply(1, strict.build_command(proposal, 0)), changes.Refused
    )
    lenient = state.CatalogueState(allow_unsigned=True)
    command = lenient.build_command(proposal, 0)
    assert isinstance(lenient.apply(1, command), changes.Accepted)
    # The setting in the command applies, whatever the replica is configured with.
    follower = state.CatalogueState()
    assert isinstance(follower.apply(1, command), changes.Accepted)


def test_holder_lists_keep_replaced_list_for_key_lifetime() -> None:
    catalogue = create_state()
    data = catalogue_sample.plain()
    data["instances"]["e2"] = {**data["instances"]["e1"], "host": "127.0.0.2"}
    declared = loading.load_object(data).unwrap()
    proposal = catalogue_sample.change("grow", 1, declared, owner="birch")
    catalogue.apply(
        2, catalogue_sample.command(proposal, catalogue_sample.DECEMBER_MS + 1000)
    )
    north = [item for item in catalogue.holder_lists if item.region == "north"]
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
    lambda candidates: strategies.lists(
        strategies.tuples(
            strategies.sampled_from(candidates),
            strategies.integers(-DAY_MS, DAY_MS // 2),
        ),
        max_size=12,
    )
)


@hypothesis.given(logs, strategies.integers(0, 12))
@hypothesis.settings(max_examples=60, deadline=None)
def test_apply_equal_logs_give_equal_states(log: list, cut: int) -> None:
    """Versions only increase, resends repeat, and a snapshot replaces any prefix."""
    left, right = create_state(), create_state()
    first_by_id: dict[str, tuple[object, object]] = {}
    for index, ((change_id, base, slots, owner), offset) in enumerate(log, start=2):
        proposal = catalogue_sample.change(change_id, base, declare_slots(slots), owner)
        command = catalogue_sample.command(
            proposal, catalogue_sample.DECEMBER_MS + offset
        )
        version = left.version
        outcome = left.apply(index, command)
        assert outcome == right.apply(index, command)
        if change_id not in first_by_id:
            assert left.version - version == isinstance(outcome, changes.Accepted)
            first_by_id[change_id] = (proposal, outcome)
        else:
            assert left.version == version
        if first_by_id[change_id][0] == proposal:
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
def test_apply_malformed_command_changes_nothing(command: bytes) -> None:
    catalogue = create_state()
    assert isinstance(catalogue.apply(2, command), changes.Refused)
    assert catalogue.version == 1
