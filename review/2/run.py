"""RECOVER after a final fault during which one engine is lost for good."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))

import pipeline
from platform_standin import play, wait_until

# Two cards of 36 GB, four of 21.6 GB and five of 14.4 GB, in two zones: room for 128 layers of 1,750 MB. The
# model has 80. Without one of the small ones there is room for 120.
KINDS = [("a", "a100s"), ("a", "l4"), ("a", "l4"), ("a", "t4"), ("a", "t4"), ("a", "t4"),
         ("b", "a100s"), ("b", "l4"), ("b", "l4"), ("b", "t4"), ("b", "t4")]
LOST = 4
DOWN_S = 1.3
RECOVERY_S = 12.0


async def run(case):
    shape = pipeline.model()
    fleet = await pipeline.start(case, shape, KINDS)
    if not await wait_until(lambda: pipeline.covered(fleet, shape), 20):
        case.record.add("the layers were not placed at the start")
        return 2
    callers = pipeline.Callers(case, shape)
    callers.start(5)
    await asyncio.sleep(8)
    fault_at = case.record.now()
    trouble = os.environ.get("TROUBLE", "1")
    # The final fault comes right after a configuration is acknowledged.
    case.put_config(pipeline.config(8, shape))
    if trouble in ("1", "kill"):
        for front in case.fronts:
            front.kill()
    if trouble in ("1", "engine"):
        fleet[LOST].crash()
    if trouble in ("1", "kill"):
        await asyncio.sleep(DOWN_S)
        for front in case.fronts:
            front.start()
    back_at = case.record.now()
    await asyncio.sleep(RECOVERY_S + 10)
    end = case.record.now()
    await asyncio.sleep(2)
    before, sent_before = callers.share_served(fault_at - 7, fault_at - 1)
    after, sent_after = callers.share_served(back_at + RECOVERY_S, end)
    callers.stop()
    case.record.add(f"served before the final fault: {before} of {sent_before}")
    case.record.add(f"served later than recovery_s after the machines are back: {after} of {sent_after}")
    for engine in fleet:
        case.record.add(f"in the end {engine.id} ({engine.zone}, {engine.kind}) holds {engine.held}"
                        f"{'' if engine.is_alive else ', lost'}")
    if not sent_before or not sent_after or before * 4 < sent_before:
        return 2
    return int(after * 4 < sent_after)


play(os.path.dirname(os.path.abspath(__file__)), run)
