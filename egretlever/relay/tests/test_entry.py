"""Tests requests that arrive during the start of an entry node, and retries."""

import curio

from egretlever.core import Seconds, Version
from egretlever.placement import HomeCondition, Refusal, RefusalReason
from egretlever.relay._entry import EntryNode
from egretlever.testing import run_virtual
from egretlever.testing._relay_fleet import RelayFleet
from egretlever.testing.relay_builders import build_answer
from egretlever.testing.relay_loads import DESK, build_pattern
from egretlever.transport import read_clock


def send_before_start(start_delay):
    """Send a request to a node that starts later, or never."""

    async def main():
        fleet = RelayFleet(build_pattern())
        host = fleet.hosts[0]
        for other in fleet.hosts[1:]:
            other.start()
        kind = next(kind for kind in fleet.pattern.kinds if kind.name == "list")
        task = await curio.spawn(host.send, kind, 5.0, daemon=True)
        if start_delay is not None:
            await curio.sleep(start_delay)
            host.start()
        started = read_clock()
        return await task.join(), Seconds(read_clock() - started)

    return run_virtual(main())


def test_request_right_after_the_start_waits_for_the_configuration():
    # 152 of 10,294 requests of a large load were rejected within 13 ms of the
    # start of their nodes, which were still reading the configuration.
    status, _ = send_before_start(0.02)
    assert status == 200


def test_request_without_a_configuration_is_rejected_after_a_short_wait():
    status, took = send_before_start(None)
    assert status == 503
    assert took <= 0.4


def test_node_with_an_empty_server_table_does_not_delay_requests():
    async def main():
        fleet = RelayFleet(build_pattern())
        for host in fleet.hosts:
            host.view.directory.replace([], Version(0))
            host.start()
        kind = next(kind for kind in fleet.pattern.kinds if kind.name == "view")
        started = read_clock()
        status = await fleet.hosts[0].send(kind, 1.0)
        return status, read_clock() - started

    status, took = run_virtual(main())
    assert status == 200
    assert took < 0.3


class ScriptedHomes:
    """Replies in place of all other home nodes, in a given order."""

    def __init__(self, *replies):
        self.replies = list(replies)

    async def offer(self, relay, offer, follow=False):
        return self.replies.pop(0)


def test_refusal_for_lack_of_budget_is_counted_once():
    # A later answer was counted as another refusal for lack of budget, and the
    # request was given up although a third server could have served it.
    async def main():
        fleet = RelayFleet(build_pattern())
        host = next(one for one in fleet.hosts if one.server.service == DESK)
        host.start()
        refusal = Refusal(RefusalReason.NO_BUDGET, HomeCondition())
        homes = ScriptedHomes(
            refusal, build_answer(500), build_answer(200), build_answer(200)
        )
        host.entry = EntryNode(
            host.server.service, host.view, host.home, homes, host.rng
        )
        host.entry.configure(fleet.configuration)
        kind = next(kind for kind in fleet.pattern.kinds if kind.name == "list")
        return await host.send(kind, 5.0)

    assert run_virtual(main()) == 200
