"""Guards against delayed heartbeats that revive old or departed servers."""

from egretlever.core import Seconds
from egretlever.home import HeartbeatEffect, LocalServer
from egretlever.testing.relay_builders import build_heartbeat

NOW = Seconds(10.0)
FIRST_INCARNATION = build_heartbeat().incarnation


def test_a_delayed_heartbeat_does_not_undo_draining():
    server = LocalServer()
    server.observe(build_heartbeat(sequence=4), NOW)
    server.observe(build_heartbeat(sequence=6, draining=True), NOW)
    delayed = build_heartbeat(sequence=5)
    assert server.observe(delayed, NOW) is HeartbeatEffect.STALE
    assert server.current.draining
    newer = build_heartbeat(sequence=7)
    server.observe(newer, NOW)
    assert server.current.draining


def test_a_heartbeat_after_the_departure_does_not_revive_the_server():
    server = LocalServer()
    server.observe(build_heartbeat(), NOW)
    assert server.depart("i-1", NOW) is HeartbeatEffect.DEPARTED
    delayed = build_heartbeat(sequence=9)
    assert server.observe(delayed, NOW) is HeartbeatEffect.STALE
    assert server.current is None


def test_a_server_may_restart_under_its_id_with_lower_sequence_numbers():
    server = LocalServer()
    server.observe(build_heartbeat(sequence=50), NOW)
    server.depart("i-1", NOW)
    restarted = build_heartbeat(sequence=1, incarnation=FIRST_INCARNATION + 5)
    assert server.observe(restarted, NOW) is HeartbeatEffect.STARTED
    assert server.depart("i-1", NOW, FIRST_INCARNATION) is HeartbeatEffect.STALE
    assert server.current == restarted


def test_a_delayed_heartbeat_does_not_revive_a_replaced_server():
    server = LocalServer()
    server.observe(build_heartbeat(), NOW)
    new = build_heartbeat(id="i-2", incarnation=FIRST_INCARNATION + 9)
    assert server.observe(new, NOW) is HeartbeatEffect.STARTED
    old = build_heartbeat(sequence=99)
    assert server.observe(old, NOW) is HeartbeatEffect.STALE
    assert server.current == new


def test_delayed_heartbeat_revives_no_server_whose_departure_is_not_known():
    # A node that started while the store was unavailable took it at once.
    server = LocalServer()
    for delayed in (build_heartbeat(sequence=5), build_heartbeat(sequence=4)):
        effect = server.observe(delayed, NOW, departures_known=False)
        assert effect is HeartbeatEffect.UNCONFIRMED
    assert server.current is None
    live = build_heartbeat(sequence=6)
    effect = server.observe(live, NOW, departures_known=False)
    assert effect is HeartbeatEffect.STARTED
    assert server.current == live


def test_draining_server_needs_no_second_heartbeat():
    server = LocalServer()
    leaving = build_heartbeat(draining=True)
    effect = server.observe(leaving, NOW, departures_known=False)
    assert effect is HeartbeatEffect.STARTED
    assert server.current.draining


def test_late_draining_heartbeat_counts_within_its_incarnation():
    server = LocalServer()
    server.observe(build_heartbeat(sequence=5), NOW)
    late = build_heartbeat(sequence=4, draining=True)
    assert server.observe(late, NOW) is HeartbeatEffect.CHANGED
    assert (server.current.draining, server.current.sequence) == (True, 5)
