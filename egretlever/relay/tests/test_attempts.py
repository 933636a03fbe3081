"""Guards attempts whose process ends while the server is at work."""

import curio

from egretlever.core import Seconds
from egretlever.home import AttemptLimits, CircuitBreaker
from egretlever.placement import Failure, FailureReason
from egretlever.relay._attempts import run_attempt
from egretlever.testing import run_virtual
from egretlever.testing.relay_builders import build_offer


class CancelledRunner:
    """Ends as an exchange does whose task the event loop cancels."""

    async def exchange(self, server, offer, time_left):
        await curio.sleep(0.1)
        raise curio.TaskCancelled("TaskCancelled")


def test_attempt_that_ends_with_its_process_is_cut_off():
    # The process ended with a traceback when a server was still at work.
    limits = AttemptLimits(Seconds(5.0), Seconds(1.0))

    async def main():
        return await run_attempt(
            CancelledRunner(),
            None,
            build_offer(),
            limits,
            CircuitBreaker(),
            report_overdue=None,
        )

    result = run_virtual(main())
    assert result.reply == Failure(FailureReason.CUT_OFF)
    assert result.good is None
