"""Guards the fence of leaving servers against late and old heartbeats."""

from egretlever.core import Seconds
from egretlever.home import HeartbeatEffect, LocalServer
from egretlever.testing.relay_builders import build_heartbeat

NOW = Seconds(10.0)
BORN = build_heartbeat().incarnation


def test_a_late_heartbeat_does_not_undo_draining():
    local = LocalServer()
    local.observe(build_heartbeat(sequence=4), NOW)
    local.observe(build_heartbeat(sequence=6, draining=True), NOW)
    late = build_heartbeat(sequence=5)
    assert local.observe(late, NOW) is HeartbeatEffect.STALE
    assert local.current.draining
    newer = build_heartbeat(sequence=7)
    local.observe(newer, NOW)
    assert local.current.draining


def test_a_heartbeat_that_comes_after_the_departure_brings_nothing_back():
    local = LocalServer()
    local.observe(build_heartbeat(), NOW)
    assert local.depart("i-1", NOW) is HeartbeatEffect.DEPARTED
    late = build_heartbeat(sequence=9)
    assert local.observe(late, NOW) is HeartbeatEffect.STALE
    assert local.current is None


def test_a_server_may_start_again_under_its_id_with_new_counts():
    local = LocalServer()
    local.observe(build_heartbeat(sequence=50), NOW)
    local.depart("i-1", NOW)
    again = build_heartbeat(sequence=1, incarnation=BORN + 5)
    assert local.observe(again, NOW) is HeartbeatEffect.STARTED
    assert local.depart("i-1", NOW, BORN) is HeartbeatEffect.STALE
    assert local.current == again


def test_a_replaced_server_does_not_return_by_a_delayed_heartbeat():
    local = LocalServer()
    local.observe(build_heartbeat(), NOW)
    new = build_heartbeat(id="i-2", incarnation=BORN + 9)
    assert local.observe(new, NOW) is HeartbeatEffect.STARTED
    old = build_heartbeat(sequence=99)
    assert local.observe(old, NOW) is HeartbeatEffect.STALE
    assert local.current == new
