"""Tests that a home node heeds what its server says in its answers."""

from egretlever.testing._relay_fixture import (
    RelayFixture,
    run_script,
    serve,
)


def limit_to(rate, after=0.0, status=200):
    line = f"server-limit: {rate:g}".encode()
    return serve(b"ok", status, after, line)


def list_signals(caplog):
    return [
        record.msg["outcome"]
        for record in caplog.records
        if isinstance(record.msg, dict)
        and record.msg["event"] == "server-signals"
    ]


def test_log_names_the_limit_of_a_server_once(caplog):
    # The rate of requests could not be compared with the limit.
    fixture = RelayFixture(limit_to(2.5), limit_to(2.5), serve())

    async def script():
        for number in range(3):
            await fixture.offer(f"r-{number}")

    with caplog.at_level("INFO"):
        run_script(fixture, script)
    assert list_signals(caplog) == ["limit 2.5/s", "limit none"]
