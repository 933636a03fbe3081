"""Guards against fault injection that works without its setting."""

import random

from egretlever.node._fault_page import answer_faults
from egretlever.schema import settings_pb2
from egretlever.settings import parse_settings
from egretlever.transport import NO_FAULTS, LinkFaultInjector

FAULTS = b'{"faults": [{"ip": "127.0.0.1", "cut": true}]}'


def test_the_page_does_not_exist_without_fault_injection():
    assert answer_faults(NO_FAULTS, "POST", FAULTS).status == 404
    assert answer_faults(NO_FAULTS, "GET", b"").status == 404


def test_the_page_replaces_and_returns_faults():
    injector = LinkFaultInjector(random.Random(1))
    assert answer_faults(injector, "POST", FAULTS).status == 200
    assert injector.faults[0].cut
    assert b'"cut": true' in answer_faults(injector, "GET", b"").body
    assert answer_faults(injector, "POST", b"{").status == 400
    assert len(injector.faults) == 1


def test_fault_injection_is_disabled_by_default():
    text = """
[identity]
node = n
host = h
failure_domain = d
region = r
[listen]
traffic = 127.0.0.1:1
admin = 127.0.0.1:2
gossip = 127.0.0.1:3
[platform]
table = 127.0.0.1:4
objects = 127.0.0.1:4
"""
    settings = parse_settings(text, "node.ini", settings_pb2.NodeSettings)
    assert not settings.unwrap().testing.fault_injection
