"""Guards the checks of the relay soak, and runs short ones with processes."""

import socket
import struct

import curio
import pytest

from benchmarks._relay_soak import run_seed
from benchmarks._relay_soak_checks import (
    ServerSignal,
    find_abandoned_requests,
    find_ignored_signals,
    find_lost_requests,
)
from benchmarks._relay_soak_configurations import ConfigurationCheck
from benchmarks._relay_soak_network import (
    FaultyProxy,
    LinkFault,
    hold_address,
)
from benchmarks._relay_soak_plan import EventKind, Faults, make_schedule
from benchmarks._relay_soak_records import AppliedEvent, Records, ServerRun
from benchmarks.tests.builders import build_configurations, build_sent
from egretlever.testing import reserve_addresses

# Value of SO_LINGER that closes a socket with a reset.
RESET = struct.pack("ii", 1, 0)

# Seeds that have failed, each with its cause, to guard against regressions.
REGRESSION_SEEDS = {
    201: "a planned stop under load ended with a traceback",
}


def find_violations(*sent, runs=(), **fields):
    started = {one.request for one in sent}
    return Records(
        started=started, runs=list(runs), sent=list(sent), **fields
    ).find_violations()


def test_order_that_ran_twice_is_reported():
    order = build_sent(body=b"r-1 i-1")
    runs = [ServerRun("r-1", "i-1", 1.0), ServerRun("r-1", "i-2", 1.5)]
    assert find_violations(order, runs=runs[:1]) == []
    assert find_violations(order, runs=runs) == ["r-1 ran 2 times"]


def test_refusal_of_order_that_ran_is_reported():
    order = build_sent(status=503)
    assert find_violations(order) == []
    assert find_violations(order, runs=[ServerRun("r-1", "i-1", 1.0)]) == [
        "r-1 ran and got 503"
    ]


def test_answer_to_another_request_is_reported():
    run = ServerRun("r-1", "i-1", 1.0)
    assert find_violations(build_sent(body=b"r-2 i-1"), runs=[run])
    assert find_violations(
        build_sent(body=b"r-1 i-1", signed=False), runs=[run]
    )


def test_run_on_server_that_has_left_is_reported():
    order = build_sent(body=b"r-1 i-1")
    for at, expected in ((2.5, 0), (3.5, 1)):
        runs = [ServerRun("r-1", "i-1", at)]
        found = find_violations(order, runs=runs, departures={"i-1": 1.0})
        assert len(found) == expected


STOP = AppliedEvent("stop", "host-1", 0.5, 8.0)


def find_lost(sent, *runs, events=()):
    return find_lost_requests(
        Records(
            arrivals=list(runs), sent=[sent], applied_events=[STOP, *events]
        )
    )


def test_request_lost_in_planned_stop_is_reported():
    lost = build_sent(status=0, reused=True, ended=2.0)
    kill = AppliedEvent("kill", "host-2", 0.5, 4.0)
    assert find_lost(lost)
    assert find_lost(lost, events=[kill]) == []


@pytest.mark.parametrize("kind", ["stop", "reload", "configure", "store-busy"])
def test_planned_work_and_store_faults_excuse_no_lost_request(kind):
    lost = build_sent(status=0, ended=2.0)
    subject = "" if kind.startswith("store") else "host-2"
    other = AppliedEvent(kind, subject, 0.5, 4.0)
    assert find_lost(lost, events=[other])


def test_request_cut_before_it_was_read_is_not_lost():
    assert find_lost(build_sent(status=0, ended=1.1)) == []
    behind = build_sent(status=0, ended=2.0, behind=True)
    assert find_lost(behind) == []
    assert find_lost(behind, ServerRun("r-1", "i-1", 1.2, ended=1.5))


def test_request_at_work_in_the_last_sixth_of_the_grace_is_not_lost():
    lost = build_sent(status=0, ended=6.4, limit=12.0)
    assert find_lost(lost, ServerRun("r-1", "i-1", 1.2, ended=5.4))
    assert find_lost(lost, ServerRun("r-1", "i-1", 1.2, ended=5.6)) == []


def find_abandoned(sent, *runs, events=()):
    return find_abandoned_requests(
        Records(
            arrivals=list(runs), sent=[sent], applied_events=[STOP, *events]
        )
    )


@pytest.mark.parametrize("status", [502, 503, 504])
def test_request_given_up_in_a_planned_stop_at_its_server_is_reported(status):
    # Any answer was taken for one that was owed.
    given_up = build_sent(status=status, ended=2.6, limit=6.0)
    run = ServerRun("r-1", "i-1", 1.0, ended=1.7, abandoned=True)
    assert find_abandoned(given_up, run)
    assert find_abandoned(build_sent(ended=2.6, limit=6.0), run) == []
    kill = AppliedEvent("kill", "host-2", 0.5, 4.0)
    assert find_abandoned(given_up, run, events=[kill]) == []


def test_request_given_up_at_one_server_and_cut_by_the_grace_is_reported():
    given_up = build_sent(status=504, begun=0.1, ended=6.0, limit=6.0)
    early = ServerRun("r-1", "i-1", 0.2, ended=1.7, abandoned=True)
    late = ServerRun("r-1", "i-2", 1.8, ended=5.9, abandoned=True)
    assert find_abandoned(given_up, late) == []
    assert find_abandoned(given_up, early, late)


@pytest.mark.parametrize(
    "changes",
    [
        {"abandoned": False},
        {"broke_off": True},
        {"ended": 0.4},
        {"ended": 5.6},
    ],
    ids=["answered", "server-broke-off", "before-the-stop", "last-sixth"],
)
def test_request_that_its_server_or_the_grace_ends_is_not_given_up(changes):
    given_up = build_sent(status=502, begun=0.1, ended=5.7, limit=6.0)
    fields = {"ended": 1.7, "abandoned": True, **changes}
    run = ServerRun("r-1", "i-1", 0.2, **fields)
    assert find_abandoned(given_up, run) == []


CONFIGURATIONS = build_configurations(
    (0.0, {"/moved/": "ordering"}),
    (10.0, {"/moved/": "listing"}),
    (10.5, {"/moved/": "listing", "/added/3/": "ordering"}),
)


def find_late(*handlings, events=()):
    sent = [
        build_sent(
            request=f"r-{number}", path=path, begun=at, ended=at + 0.1, start=1
        )
        for number, (at, path, _) in enumerate(handlings)
    ]
    runs = [
        ServerRun(one.request, "i-1", one.begun, service)
        for one, (_, _, service) in zip(sent, handlings, strict=True)
    ]
    records = Records(arrivals=runs, sent=sent, applied_events=list(events))
    check = ConfigurationCheck(records, CONFIGURATIONS)
    return check.find_violations(), check


def test_request_under_an_older_configuration_is_reported():
    assert find_late((11.9, "/moved/1", "ordering"))[0] == []
    found, check = find_late((12.1, "/moved/1", "ordering"))
    assert len(found) == 1
    assert check.age_in_touch == pytest.approx(2.1)


def test_disrupted_host_may_have_an_older_configuration():
    pause = AppliedEvent("pause", "host-1", 9.0, 10.0)
    found, check = find_late((12.1, "/moved/1", "ordering"), events=[pause])
    assert found == []
    assert check.age_in_trouble == pytest.approx(2.1)
    other = AppliedEvent("pause", "host-2", 9.0, 10.0)
    assert find_late((12.1, "/moved/1", "ordering"), events=[other])[0]


def test_route_that_no_version_has_is_reported():
    assert find_late((11.0, "/added/9/1", "ordering"))[0]


def test_configuration_that_went_back_is_reported():
    new, old = (11.0, "/added/3/1", "ordering"), "/moved/1"
    assert find_late(new, (11.2, old, "ordering"))[0] == []
    assert find_late(new, (11.3, old, "ordering"))[0]


def find_ignored(signal, *times):
    runs = [ServerRun("r", "i-1", at) for at in times]
    return find_ignored_signals(Records(arrivals=runs), [signal])


def test_requests_to_server_whose_answers_say_that_it_leaves_are_reported():
    leaving = ServerSignal("i-1", "host-1", 1.0)
    assert find_ignored(leaving, 1.5, 2.9) == []
    assert len(find_ignored(leaving, 1.5, 3.1)) == 1


def test_requests_above_the_limit_of_a_server_are_reported():
    limited = ServerSignal("i-1", "host-1", 1.0, limit=2.0)
    allowed = [4.5 + number / 10 for number in range(17)]
    assert find_ignored(limited, *allowed) == []
    assert find_ignored(limited, *allowed, 7.0)


def test_schedule_is_reproducible_from_its_seed():
    assert make_schedule(3, 60.0, 8) == make_schedule(3, 60.0, 8)
    assert make_schedule(3, 60.0, 8) != make_schedule(4, 60.0, 8)


def test_kinds_that_were_added_keep_the_other_events_of_a_seed():
    events = make_schedule(3, 60.0, 8)
    first = [event for event in events if event.kind is EventKind.KILL][0]
    assert (round(first.at, 3), first.host) == (30.723, 6)


async def reset_closed_connection():
    target, address = reserve_addresses(2)
    proxy = FaultyProxy(target, address)
    task = await curio.spawn(proxy.run, daemon=True)
    with socket.create_server((target.ip, target.port)) as listener:
        caller = socket.create_connection((address.ip, address.port))
        await curio.sleep(0.1)
        peers = (caller, listener.accept()[0])
        # The proxy gets no turn between these resets and its own.
        for peer in peers:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            peer.close()
        proxy.set_fault(LinkFault.RESET)
    await task.cancel()


def test_connection_that_was_reset_before_does_not_stop_the_run():
    curio.run(reset_closed_connection)


def test_port_of_stopped_process_is_not_taken_by_another_fleet():
    address = reserve_addresses(1)[0]
    with hold_address(address) as held, socket.socket() as other:
        with pytest.raises(OSError, match="in use"):
            other.bind((address.ip, address.port))
        for _ in range(2):
            with socket.create_server((address.ip, address.port)) as listener:
                assert listener.getsockname() == held.getsockname()


@pytest.mark.parametrize("faults", Faults)
def test_faults_that_were_not_chosen_are_not_played(faults):
    events = make_schedule(3, 60.0, 8, faults)
    others = [event.kind for event in events if not event.kind.is_planned]
    on_store = {kind.is_store_event for kind in others}
    assert (
        on_store
        == {
            Faults.ALL: {False, True},
            Faults.PLANNED: set(),
            Faults.STORE: {True},
            Faults.HOSTS: {False},
        }[faults]
    )


@pytest.mark.parametrize("seed", [1, *REGRESSION_SEEDS])
def test_processes_keep_their_promises(seed):
    assert run_seed(seed, seconds=8.0, hosts=3).violations == []


def test_rolling_stops_and_configurations_keep_their_promises():
    soak = run_seed(5, 8.0, 5, Faults.PLANNED)
    assert soak.violations == []
