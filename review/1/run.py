"""DRAIN: a leader that stands still for 2.9 s, and runners that leave meanwhile."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))

from platform_standin import Front, Service, connect, play, read_reply, request_bytes

HOST = "h.example"
KEY = "n2ctnfzs989anu6wsjnb"
FREEZE_S = 2.9
DRAIN_S = 2.0
ROUNDS = 7
# A runner goes on serving for drain_ms after its entry is gone, and a little longer.
SERVES_ON_S = 4.5


def config():
    return {"version": 7,
            "routes": [{"name": "r-book", "host": HOST, "path_prefix": "/book/", "kind": "unsafe",
                        "timeout_ms": 1000, "latency_goal_ms": 100, "priority": 2,
                        "service": "bookings", "max_attempts": 1, "public": False}],
            "services": [{"name": "bookings", "health_path": "/health", "max_conns": 110,
                          "protocol": "h1", "tls": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 15000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "hule930", "api_keys": [KEY]}]}


def leader(case):
    row = case.store.value("instances", ":leader", "leader")
    return next((one for one in case.fronts if row and row["holder"].startswith(one.name + ".")), None)


async def book(case, front, outcomes):
    request = case.request_id()
    try:
        reader, writer = await connect(front.front)
        writer.write(request_bytes("POST", "/book/2f", HOST, request, KEY, 1000, b'{"boat": 7}'))
        reply = await asyncio.wait_for(read_reply(reader), 2)
        writer.close()
        outcome = str(reply.status or reply.end)
    except (OSError, asyncio.TimeoutError) as error:
        outcome = f"no answer ({type(error).__name__})"
    outcomes[outcome] = outcomes.get(outcome, 0) + 1
    case.record.add(f"client: {request} at {front.name} -> {outcome}")


async def run(case):
    case.zones = ["a", "b", "c"]
    case.put_config(config())
    runners = []

    async def add():
        runner = Service(case.store, case.record, f"i-{len(runners):02}f3a91c", "bookings", "a")
        runners.append(runner)
        await runner.start()

    for _ in range(3):
        await add()
    for number, zone in enumerate(case.zones):
        case.fronts.append(Front(case, f"front-{zone}-{number + 1}", zone, number + 1))
    for front in case.fronts:
        front.start()
    await asyncio.sleep(4)
    frozen, outcomes, tasks = set(), {}, []

    async def send():
        while True:
            await asyncio.sleep(0.04)
            # Clients have left the machine that stands still, and what it sends doesn't count.
            awake = [front for front in case.fronts if front.name not in frozen]
            front = awake[len(tasks) % len(awake)]
            tasks.append(asyncio.create_task(book(case, front, outcomes)))

    sender = asyncio.create_task(send())
    late = []
    for number in range(ROUNDS):
        await asyncio.sleep(4)
        await add()
        await asyncio.sleep(0.6)
        front = leader(case)
        if front is None:
            return 2
        case.record.add(f"leader: {front.name}")
        frozen.add(front.name)
        if case.has_trouble:
            front.signal(signal.SIGSTOP, f"stands still for {FREEZE_S} s")
        stopped_at = time.monotonic()
        await asyncio.sleep(0.4)
        leaving = runners[number]
        leaving.beats.cancel()
        case.store.remove_entry(leaving.id, "it leaves")
        left_at = time.monotonic()
        await asyncio.sleep(stopped_at + FREEZE_S - time.monotonic())
        if case.has_trouble:
            front.signal(signal.SIGCONT, "wakes")
        await asyncio.sleep(left_at + SERVES_ON_S - time.monotonic())
        for at, request in leaving.runs:
            if at > left_at + DRAIN_S:
                late.append(request)
                case.record.add(f"{request} reached {leaving.id} {at - left_at:.3f} s after its entry was gone")
        leaving.crash()
        await asyncio.sleep(3)
        frozen.clear()
    sender.cancel()
    await asyncio.sleep(1)
    case.record.add(f"clients: {outcomes}")
    case.record.add(f"requests that reached a runner later than drain_ms after it had left: {len(late)}")
    return int(bool(late))


play(os.path.dirname(os.path.abspath(__file__)), run)
