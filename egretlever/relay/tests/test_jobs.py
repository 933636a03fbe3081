"""Tests that a job is reported as "not run" only when it was not dispatched."""

import dataclasses

import curio

from egretlever.core import Seconds
from egretlever.placement import (
    Answer,
    Failure,
    OverdueReport,
    Refusal,
    RefusalReason,
)
from egretlever.relay._jobs import JobTable
from egretlever.testing import run_virtual
from egretlever.testing._relay_doubles import ProgressRecorder
from egretlever.testing.relay_builders import (
    build_answer,
    build_condition,
    build_heartbeat,
    build_offer,
)


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


def test_job_cancelled_after_dispatch_is_not_reported_as_not_run():
    # A cancellation of a waiting job may take effect only after the request was
    # sent, because sending a small request does not block.
    async def script(table):
        job = await table.submit(build_offer())
        await curio.sleep(0.5)
        await job.task.cancel()
        again = await table.submit(build_offer(resumed=True))
        return again.reply

    assert isinstance(run_script(run_job, script), Failure)


def test_job_withdrawn_while_waiting_is_reported_as_not_run():
    async def run(job):
        return await run_job(job, 5.0)

    async def script(table):
        job = await table.submit(build_offer())
        await curio.sleep(0.5)
        await table.withdraw(job)
        await job.done.wait()
        return job.reply

    assert run_script(run, script) == Refusal(RefusalReason.EXPIRED)


def test_order_survives_the_loss_of_its_connection_and_its_reply_is_kept():
    async def script(table):
        job = await table.submit(build_offer(), owner="first")
        await curio.sleep(0.1)
        await table.detach(job, "first")
        await curio.sleep(3.0)
        again = await table.submit(build_offer(resumed=True), owner="second")
        return again.reply

    assert isinstance(run_script(run_job, script), Answer)


def test_closing_the_old_connection_does_not_detach_a_resumed_job():
    async def script(table):
        offer = build_offer(idempotent=True)
        job = await table.submit(offer, owner="first")
        await curio.sleep(0.1)
        await table.submit(build_offer(idempotent=True, resumed=True), "second")
        await table.detach(job, "first")
        await job.done.wait()
        return job.reply

    assert isinstance(run_script(run_job, script), Answer)


def test_replies_expire():
    async def script(table):
        await table.submit(build_offer())
        await curio.sleep(30.0)
        return table._jobs

    assert run_script(run_job, script) == {}


def test_ended_jobs_do_not_fill_the_memory():
    # Bodies of ended requests and their answers were kept for up to 14 s and
    # more: uploads of 2 MiB ended the process within 7 s.
    large = b"x" * (1 << 20)
    runs = []

    async def run(job):
        runs.append(job.offer.request_id)
        job.dispatched = True
        return dataclasses.replace(build_answer(), body=large)

    async def script(table):
        jobs = []
        for number in range(100):
            offer = build_offer(request_id=f"r-{number}", body=large)
            jobs.append(await table.submit(offer))
            await curio.sleep(0.1)
        assert not any(job.offer.body for job in jobs)
        kept = sum(isinstance(job.reply, Answer) for job in jobs)
        assert kept <= 16
        assert isinstance(jobs[-1].reply, Answer)
        again = await table.submit(
            build_offer(request_id="r-50", resumed=True, body=large)
        )
        assert isinstance(again.reply, Failure)

    run_script(run, script)
    assert len(runs) == 100


def test_resumed_job_reports_again_what_its_entry_node_may_not_know():
    # A report that was sent on a connection that was lost would leave a request
    # at a server that hangs.
    async def run(job):
        job.observe_dispatch(build_heartbeat())
        await job.observe_overdue(
            OverdueReport(Seconds(1.0), False, build_condition())
        )
        await curio.sleep(5.0)
        return build_answer()

    async def script(table):
        first, second = ProgressRecorder(), ProgressRecorder()
        offer = build_offer(idempotent=True)
        await table.submit(offer, observer=first)
        await curio.sleep(1.0)
        resumed = dataclasses.replace(offer, resumed=True)
        await table.submit(resumed, observer=second)
        return first, second

    for observer in run_script(run, script):
        assert len(observer.overdue) == 1
