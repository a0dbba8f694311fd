"""A job that was reported as not existing, by the answer to its cancelling, is started seconds later."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import standins  # noqa: E402

FREEZE_S = 4.0
GIVE_UP_S = 0.4
OTHER_CLIENTS = 4  # clients that stay: one of five leaves


async def play(deployment, trouble):
    record = deployment.record
    owner = deployment.owner()
    frozen, other = [node for node in deployment.nodes if node is not owner][:2]
    job = standins.job_id()
    body = deployment.job_body(job, [{"count": 2, "cpu": 2800, "mem_mb": 5600, "estimate_ms": 1000}], 1.0)
    if trouble:
        record.add("freeze", node=frozen.name, for_s=FREEZE_S)
        frozen.signal(signal.SIGSTOP)
    thaw_at = record.now() + FREEZE_S
    others = [asyncio.create_task(deployment.submit(
        (owner, other)[number % 2], standins.job_id(),
        [{"count": 1, "cpu": 1000, "mem_mb": 1000, "estimate_ms": 500}], 0.5)) for number in range(OTHER_CLIENTS)]
    # The client leaves before its deadline, and cancels what it has handed in through another node.
    await deployment.request(frozen, "POST", job, body, timeout=GIVE_UP_S)
    acknowledged = None
    while acknowledged is None and record.now() < thaw_at:
        answer = await deployment.request(other, "DELETE", job)
        if answer and (answer[0] // 100 == 2 or answer[0] == 410):
            acknowledged = record.now()
    if acknowledged is None:
        raise standins.CannotRun("the cancelling was not acknowledged")
    await asyncio.sleep(max(0.0, thaw_at - record.now()))
    if trouble:
        frozen.signal(signal.SIGCONT)
        record.add("thaw", node=frozen.name)
    await asyncio.sleep(8.0)
    await asyncio.gather(*others)
    await deployment.request(other, "GET", job)
    late = [(at, task, run) for at, task, run in deployment.starts
            if task.startswith(job) and at > acknowledged + standins.CANCEL_S]
    return [f"UNASKED: {task} run {run} was started {at - acknowledged:.2f} s after the cancelling of its job was "
            f"acknowledged, by {owner.name}, which was in touch all the while" for at, task, run in late]


standins.main(lambda folder: standins.Deployment(folder), play)
