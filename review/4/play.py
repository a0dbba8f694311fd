"""A minion is cut from the store, crashes behind the cut while it is idle, and starts again under the id that it had."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import harness  # noqa: E402

CUT_S = 5.0
DOWN_S = 0.3
ROUNDS = 4
STEP = [{"count": 1, "cpu": 40_000, "mem_mb": 8000, "estimate_ms": 700}]


async def submit_steadily(deployment, until):
    while deployment.record.now() < until:
        asyncio.create_task(deployment.submit(deployment.new_id(), STEP, {"s": 0.7}))
        await asyncio.sleep(random.uniform(0.2, 0.6))


async def cut_and_restart(deployment, minion):
    minion.cut_from_store = True
    deployment.record.add("cut-from-store", minion=minion.id)
    healed_at = deployment.record.now() + CUT_S
    await asyncio.sleep(0.5)
    while minion.running:
        await asyncio.sleep(0.005)
    minion.crash()
    await asyncio.sleep(DOWN_S)
    await minion.boot()
    await asyncio.sleep(max(0.0, healed_at - deployment.record.now()))
    minion.cut_from_store = False
    deployment.record.add("cut-healed", minion=minion.id)


async def play(trouble):
    deployment = harness.Deployment(HERE)
    try:
        await deployment.start()
        begin = deployment.record.now()
        traffic = asyncio.create_task(submit_steadily(deployment, begin + 10 * ROUNDS + 4))
        await asyncio.sleep(3)
        for number in range(ROUNDS):
            if trouble:
                await cut_and_restart(deployment, deployment.minions[number % 2])
                await asyncio.sleep(5)
            else:
                await asyncio.sleep(10)
        await traffic
        await asyncio.sleep(8)
    finally:
        await deployment.finish()
    path = os.path.join(HERE, "record.txt")
    return harness.overlapping_runs(path) + harness.starts_after_noted_done(path)


harness.main(HERE, play)
