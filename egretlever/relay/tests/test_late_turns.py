"""Tests the count of late turns."""

import curio

from egretlever.relay import _metrics as metrics
from egretlever.relay._late_turns import count_late_turns
from egretlever.testing import VirtualClock, run_virtual


def count_observed():
    samples = metrics.LATE_TURN_SECONDS.collect()[0].samples
    return next(
        sample.value for sample in samples if sample.name.endswith("_count")
    )


def test_starved_process_writes_no_line_for_each_late_request(caplog):
    # The lines were as many as the requests of an overloaded node.
    clock = VirtualClock()

    async def finish_late():
        async with curio.ignore_after(0.5):
            await curio.sleep(0.1)
            clock.advance(2.0)

    count_late_turns()
    before = count_observed()
    for _ in range(3):
        run_virtual(finish_late(), clock)
    assert count_observed() == before + 3
    assert caplog.records == []
