"""A departed server is in use again after a restart of its node."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet  # noqa: E402

MACHINES = [
    ("a", "pj-a", "punjab", "ordering"),
    ("b", "pj-a", "punjab", "ordering"),
]
_CLIENTS = 6
_DOWN_TIME = 0.5  # seconds
_CHECK_IN_DELAY = 2.0  # seconds on its way
_DEPARTURE_DELAY = 0.3  # seconds between the check-in and the departure
# Time after the confirmation of its departure at which the server exits.
_SERVES_ON = 8.0  # seconds
_ORDER_PAUSE = 0.05  # seconds


async def _check_in_late(record: fleet.Record, machine: fleet.Machine) -> None:
    """Send a check-in that arrives late."""
    name = machine.server.name
    body = machine.server.make_heartbeat(machine.zone)
    record.write(
        f"server {name}: checks in as ready, sequence {machine.server.sequence}"
    )
    await asyncio.sleep(_CHECK_IN_DELAY)
    answer = await fleet.call(
        machine.control, "PUT", f"/instances/{name}", body
    )
    status = "no answer" if answer is None else str(answer.status)
    record.write(f"server {name}: its check-in has arrived: {status}")


async def _depart(record: fleet.Record, machine: fleet.Machine) -> float:
    """Announce the departure; return the time of its confirmation."""
    name = machine.server.name
    answer = await fleet.call(machine.control, "DELETE", f"/instances/{name}")
    if answer is None or answer.status != 200:
        raise RuntimeError("the departure is not confirmed")
    record.write(f"server {name}: its departure is confirmed")
    return time.monotonic()


async def _restart(record: fleet.Record, machine: fleet.Machine) -> None:
    """Kill the process and start it again; its server runs on."""
    machine.send_signal(signal.SIGKILL)
    await machine.wait_ended()
    await asyncio.sleep(_DOWN_TIME)
    await machine.start(first=False)
    await machine.wait_ready()
    record.write(f"machine {machine.name}: is ready")


async def _send_orders(client: fleet.Client, number: int, until: float) -> None:
    sent = 0
    while time.monotonic() < until:
        sent += 1
        await client.send(
            f"order-{number}-{sent}", "POST", "/orders/1?work=300", body=b"x"
        )
        await asyncio.sleep(_ORDER_PAUSE)


async def play(deployment: fleet.Deployment, trouble: bool) -> int:
    """Let a server depart, right after a restart of its node."""
    record = deployment.record
    await deployment.start(
        MACHINES, [fleet.make_route("/orders/", "ordering", "unsafe")]
    )
    a, b = deployment.machines
    a.stop_heartbeats()
    if trouble:
        await _restart(record, a)
    in_touch = time.monotonic() + fleet.CONTACT
    late = asyncio.create_task(_check_in_late(record, a))
    await asyncio.sleep(_DEPARTURE_DELAY)
    confirmed = await _depart(record, a)
    asyncio.get_running_loop().call_later(_SERVES_ON, a.server.exit)
    # The clients are at the machine that was calm all the while.
    until = confirmed + _SERVES_ON + 0.5
    await asyncio.gather(
        late,
        *(
            _send_orders(fleet.Client(record, b.outbound), number, until)
            for number in range(_CLIENTS)
        ),
    )
    broken = False
    for run in a.server.runs:
        if run.begun_at <= max(confirmed + fleet.DRAIN, in_touch):
            continue
        broken = True
        record.write(
            f"{run.request_id} reached {run.server}"
            f" {run.begun_at - confirmed:.1f} s after the confirmation:"
            f" {run.outcome}"
        )
    return fleet.BROKEN if broken else fleet.HELD


fleet.run_case(FOLDER, play)
