"""Guards "not run" against a request that was withdrawn as it was sent."""

import curio

from egretlever.placement import Answer, Failure, Refusal, RefusalReason
from egretlever.relay._jobs import JobTable
from egretlever.testing import run_virtual
from egretlever.testing.relay_builders import build_answer, build_offer


def run_script(run, script):
    async def main():
        table = JobTable(run)
        expiry = await curio.spawn(table.expire_forever, daemon=True)
        try:
            return await script(table)
        finally:
            await expiry.cancel()

    return run_virtual(main())


async def run_job(job, dispatched_at=0.0):
    await curio.sleep(dispatched_at)
    job.dispatched = True
    await curio.sleep(1.0)
    return build_answer()


def test_a_job_that_is_cancelled_after_its_dispatch_is_not_called_unrun():
    # The cancellation of a waiting job can reach it only after it was sent,
    # because sending a small request does not wait.
    async def script(table):
        job = await table.submit(build_offer())
        await curio.sleep(0.5)
        await job.task.cancel()
        again = await table.submit(build_offer(resumed=True))
        return again.reply

    assert isinstance(run_script(run_job, script), Failure)


def test_a_job_that_is_withdrawn_while_it_waits_was_not_run():
    async def run(job):
        return await run_job(job, 5.0)

    async def script(table):
        job = await table.submit(build_offer())
        await curio.sleep(0.5)
        await table.withdraw(job)
        await job.done.wait()
        return job.reply

    assert run_script(run, script) == Refusal(RefusalReason.EXPIRED)


def test_an_order_goes_on_without_its_entry_node_and_its_reply_is_kept():
    async def script(table):
        job = await table.submit(build_offer(), owner="first")
        await curio.sleep(0.1)
        table.detach(job, "first")
        await curio.sleep(3.0)
        again = await table.submit(build_offer(resumed=True), owner="second")
        return again.reply

    assert isinstance(run_script(run_job, script), Answer)


def test_the_end_of_an_old_connection_does_not_detach_a_resumed_job():
    async def script(table):
        offer = build_offer(idempotent=True)
        job = await table.submit(offer, owner="first")
        await curio.sleep(0.1)
        await table.submit(build_offer(idempotent=True, resumed=True), "second")
        table.detach(job, "first")
        await job.done.wait()
        return job.reply

    assert isinstance(run_script(run_job, script), Answer)


def test_replies_are_forgotten_after_a_while():
    async def script(table):
        await table.submit(build_offer())
        await curio.sleep(30.0)
        return table._jobs

    assert run_script(run_job, script) == {}
