"""Tests of the leader's record of the states that instances may act on."""

from __future__ import annotations

from yuccapitch.control import state_leases

A, B = "10.0.0.1:7000", "10.0.0.2:7000"
LEASE_S = state_leases.LEASE_DURATION_S
DRIFTED_LEASE_S = 1.1 * LEASE_S


def test_holders_behind_names_instances_until_they_report_the_state():
    leases = state_leases.StateLeases()
    leases.grant(A, 4, 4, now=0.0)
    leases.grant(B, 4, 4, now=0.0)
    assert leases.holders_behind(4, now=0.1) == []
    assert sorted(leases.holders_behind(5, now=0.1)) == [A, B]
    leases.record_applied(A, 5)
    assert leases.holders_behind(5, now=0.1) == [B]


def test_holders_behind_excludes_instances_whose_lease_expired():
    leases = state_leases.StateLeases()
    leases.grant(A, 4, 4, now=0.0)
    # The lease ends at the instance first, whatever the drift of its clock.
    assert leases.holders_behind(5, now=LEASE_S) == [A]
    assert leases.holders_behind(5, now=DRIFTED_LEASE_S) == []


def test_grant_does_not_renew_the_lease_on_an_older_state():
    # An instance that cannot decode a state polls on with the older one.
    leases = state_leases.StateLeases()
    leases.grant(A, 4, 4, now=0.0)
    leases.grant(A, 4, 5, now=2.0)
    assert leases.holders_behind(5, now=2.0) == [A]
    assert leases.holders_behind(5, now=DRIFTED_LEASE_S) == []
    assert leases.holders_behind(6, now=DRIFTED_LEASE_S) == [A]


def test_grant_after_a_restart_keeps_the_lease_of_the_former_process():
    leases = state_leases.StateLeases()
    leases.grant(A, 4, 4, now=0.0)
    leases.grant(A, state_leases.NO_STATE_INDEX, 4, now=0.5)
    assert leases.holders_behind(5, now=0.6) == [A]


def test_holders_behind_ignores_instances_without_a_state():
    leases = state_leases.StateLeases()
    leases.grant(A, 0, state_leases.NO_STATE_INDEX, now=0.0)
    assert leases.holders_behind(1, now=0.1) == []


def test_in_force_at_awaits_the_leases_of_an_earlier_leader():
    leases = state_leases.StateLeases()
    leases.begin_leadership(4, now=10.0)
    assert leases.holders_behind(5, now=10.1) == []
    assert leases.in_force_at(5, now=10.1) > 10.0 + LEASE_S
    assert leases.in_force_at(5, now=20.0) == 20.0


def test_in_force_at_of_the_first_order_awaits_nobody():
    leases = state_leases.StateLeases()
    leases.begin_leadership(state_leases.NO_STATE_INDEX, now=10.0)
    assert leases.in_force_at(1, now=10.1) == 10.1


def test_record_applied_keeps_the_lease_of_a_state_that_was_not_polled():
    # The leader sent state 5 by itself; the instance acts on it under its last lease.
    leases = state_leases.StateLeases()
    leases.grant(A, 4, 4, now=0.0)
    leases.record_applied(A, 5)
    assert leases.holders_behind(6, now=LEASE_S) == [A]
    assert leases.holders_behind(6, now=DRIFTED_LEASE_S) == []


def test_expire_removes_leases_that_have_expired():
    leases = state_leases.StateLeases()
    leases.grant(A, 4, 4, now=0.0)
    leases.expire(now=DRIFTED_LEASE_S)
    assert leases.holders_behind(5, now=0.0) == []
