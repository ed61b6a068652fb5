"""A small deployment of one model whose layers are spread over engines, and callers of its streams."""

import asyncio
import random

from platform_standin import Engine, Front, connect, read_reply, request_bytes

HOST = "h.example"
KEY = "n2ctnfzs989anu6wsjnb"
SIZES = {"a100s": 36000.0, "l4": 21600.0, "t4": 14400.0}


def model(layers=80, layer_mb=1750.0, events=20, gap_s=0.02, load_s=14.0):
    return {"layers": layers, "layer_mb": layer_mb, "sizes": SIZES, "events": events,
            "gap_s": gap_s, "load_s": load_s, "served": False}


def config(version, shape):
    kinds = [{"name": "a100s", "size_mb": 36000.0, "pace": 3.1, "read_factor": 3.2},
             {"name": "l4", "size_mb": 21600.0, "pace": 16.0, "read_factor": 8.2},
             {"name": "t4", "size_mb": 14400.0, "pace": 15.0, "read_factor": 15.0}]
    return {"version": version,
            "routes": [{"name": "r-llm", "host": HOST, "path_prefix": "/llm/", "kind": "streaming",
                        "timeout_ms": 20000, "latency_goal_ms": 500, "priority": 1,
                        "service": "llm", "max_attempts": 2, "public": False, "sticky": True,
                        "resumable": True, "gap_target_ms": 200}],
            "services": [{"name": "llm", "health_path": "/health", "max_conns": 1138,
                          "protocol": "h1", "tls": False,
                          "engine": {"slots": 192, "kv_capacity_tokens": 100000,
                                     "token_kv_bytes": 426000, "link_mbps": 480000.0, "stride": 2,
                                     "models": [{"name": "m0", "pace": 1.0,
                                                 "load_s": shape["load_s"], "warm_s": 1.0}],
                                     "step_ms": 0.85, "per_seq_ms": 0.00276,
                                     "context_per_k": 0.0037, "read_per_s": 272000.0,
                                     "pairs_per_m": 0.12, "chunk": 512, "report_lag_ms": 200.0,
                                     "loads_per_s": 0.0, "loads_at_once": 6, "delays": [],
                                     "usual": {"prompt": 772, "answer": 145},
                                     "layers": shape["layers"], "layer_mb": shape["layer_mb"],
                                     "activation_bytes": 21300, "pipe_mbps": 9300.0,
                                     "kinds": kinds}}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 15000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "hule930", "api_keys": [KEY]}]}


async def start(case, shape, kinds, front_zones=("a", "b")):
    """Starts engines of the given kinds (zone, kind) and one front for each zone."""
    case.put_config(config(7, shape))
    fleet = []
    for number, (zone, kind) in enumerate(kinds):
        engine = Engine(case.store, case.record, f"i-{number:02}f3a91c", "llm", zone, kind, fleet,
                        shape)
        await engine.start()
    for number, zone in enumerate(front_zones):
        case.fronts.append(Front(case, f"front-{zone}-{number + 1}", zone, number + 1))
    for front in case.fronts:
        front.start()
    return fleet


def covered(fleet, shape):
    held = [one.held for one in fleet if one.is_alive and one.held]
    return all(any(start <= layer < end for start, end in held) for layer in range(shape["layers"]))


class Call:
    def __init__(self, at, request):
        self.at, self.request = at, request
        self.is_served = False
        self.outcome = "pending"


class Callers:
    """Clients that send streams at a steady rate, and retry once as the pages say."""

    def __init__(self, case, shape, seed=1):
        self.case, self.shape = case, shape
        self.random = random.Random(seed)
        self.calls, self.tasks = [], []
        self.known = []

    def start(self, per_s):
        self.tasks.append(asyncio.create_task(self.refresh()))
        self.tasks.append(asyncio.create_task(self.send(per_s)))

    async def refresh(self):
        while True:
            found = await self.case.addresses()
            self.known = found or self.known
            await asyncio.sleep(2.0)

    async def send(self, per_s):
        while True:
            call = Call(self.case.record.now(), self.case.request_id())
            self.calls.append(call)
            task = asyncio.create_task(self.call(call))
            self.tasks.append(task)
            await asyncio.sleep(1.0 / per_s)

    async def call(self, call):
        for attempt in range(2):
            request = call.request if attempt == 0 else self.case.request_id()
            reply, wait_s = await self.attempt(request)
            call.outcome = reply
            self.case.record.add(f"client: {request} (sent at {call.at:.3f} s) -> {reply}")
            if reply.startswith("served"):
                call.is_served = True
                return
            if attempt == 0:
                await asyncio.sleep(wait_s)

    async def attempt(self, request):
        if not self.known:
            return "no address", 0.5
        address = self.random.choice(self.known)
        try:
            reader, writer = await connect(address)
        except (OSError, asyncio.TimeoutError):
            return f"no connection to {address}", 0.1
        try:
            writer.write(request_bytes("POST", "/llm/2f", HOST, request, KEY, 20000, b'{"p": "x"}', [
                ("Sycamoregauge-Model", "m0"), ("Sycamoregauge-Token-Usage", "772,145"),
                ("Sycamoregauge-Prompt-Prefix", f"5c1e07a2:40,{request[-8:]}:732")]))
            reply = await asyncio.wait_for(read_reply(reader), 20)
        except asyncio.TimeoutError:
            return "no answer in 20 s", 0.1
        except OSError:
            return "connection lost", 0.1
        finally:
            writer.close()
        whole = "".join(f"id: {n}\ndata: {request} {n}\n\n" for n in range(self.shape["events"]))
        if reply.status == 200 and reply.is_whole and reply.body.decode() == whole:
            return f"served by {address}", 0
        wait = min(float(reply.headers.get("retry-after", "0.2")), 5.0)
        return f"{address}: {reply.describe()}", wait

    def share_served(self, start, end):
        calls = [call for call in self.calls if start <= call.at < end]
        served = sum(call.is_served for call in calls)
        return served, len(calls)

    def stop(self):
        for task in self.tasks:
            task.cancel()
