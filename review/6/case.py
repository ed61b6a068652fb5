"""Model runners crash one at a time, and sound ones fall silent for a second now and then, beside steady traffic at four machines."""
import os, sys
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from standins import *

INSTANCES = 4
ENGINES = 8
CRASH_EVERY_S, DOWN_S = 5.0, 4.5        # one of eight (share 0.125) at a time, for_s = 4.5
SILENT_EVERY_S, SILENT_S = 4.0, 1.1     # a sound runner may fall silent for a second or so
STREAMS, EVENTS, GAP_S = 300, 8, 0.8   # streams at once at each machine, events of each
TOTAL_S = 85.0
TIMEOUT_MS = 12000
ENGINE = {"slots": 192, "token_kv_bytes": 426000, "step_ms": 0.85, "per_seq_ms": 0.00276, "context_per_k": 0.0037, "read_per_s": 272000.0, "usual": {"prompt": 772, "answer": 145}, "layers": 80, "layer_mb": 1750.0, "activation_bytes": 21300, "pipe_mbps": 9300.0, "kinds": [{"name": "h200", "size_mb": 280000.0, "pace": 1.0, "read_factor": 1.0}]}

class Engine(Runner):
    """Holds all layers, so that it serves streams alone."""
    silent_until = 0.0
    async def launch(self, port=0):
        self.writers = set(); await self.start(port); self.list()
    async def serve(self, reader, writer):
        self.writers.add(writer)
        try: await super().serve(reader, writer)
        finally: self.writers.discard(writer)
    async def crash(self):
        port = int(self.address.split(":")[1]); old = self.id; self.server.close()
        for writer in list(self.writers): writer.transport.abort()
        await asyncio.sleep(3.6); self.store.remove("servers", old); await asyncio.sleep(DOWN_S - 3.6)
        Runner.ids += 1; self.id = "i-%06x" % (0x100000 + Runner.ids); self.born = int(time.time() * 1000); self.running = 0
        for _ in range(20):
            try: await self.launch(port); return
            except OSError: await asyncio.sleep(0.1)
    async def respond(self, line, headers, body, reader, writer):
        if line.startswith("GET /report"):
            data = json.dumps({"stage": "both", "models": [], "layers": [{"from": 0, "target": 80, "version": 1}], "busy": False, "sequence": 1, "queued": 0, "running": self.running, "kv_used": 0, "kv_total": 1000000, "handles": 0, "pace": 1.0}).encode()
            writer.write(self.head(200, headers, ["Content-Type: application/json"], len(data)) + data); await writer.drain(); return True
        if line.startswith("POST /order"):
            writer.write(self.head(200, headers, [], 0)); await writer.drain(); return True
        no = self.refuse(headers)
        if no: writer.write(no); await writer.drain(); return True
        rid = headers["sycamoregauge-request-id"]; self.running += 1; self.record.line(f"{rid} run by {self.id}")
        try:
            writer.write(self.head(200, headers, [f"Sycamoregauge-Response-Signature: s.{self.id}.{rid}", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]))
            for k in range(1, EVENTS + 1):
                await asyncio.sleep(max(0, self.silent_until - now()))
                event = f"id: {k}\ndata: {rid} {k}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event)); await writer.drain(); await asyncio.sleep(GAP_S)
            writer.write(b"0\r\n\r\n"); await writer.drain(); return True
        finally: self.running -= 1

async def main(record, trouble, folder, started):
    store = Store(); await store.start()
    engines = [Engine(store, "model", slots=192, kind="h200", layers=[{"from": 0, "target": 80, "version": 1}]) for _ in range(ENGINES)]
    for engine in engines: engine.record = record; await engine.launch()
    store.put("op", "config", config(1, [route("draft", "/draft/", "streaming", "model", 2, timeout_ms=TIMEOUT_MS, resumable=False, sticky=True, gap_target_ms=200)], [service("model", engine=ENGINE, max_conns=1138)], [{"name": "t1", "api_keys": ["k1"], "priority": 1}]))
    net = free_net()
    instances = [Instance(store.address, n, folder, net) for n in range(INSTANCES)]
    started.extend(instances)
    for instance in instances: instance.start()
    if not await wait_ready(instances): raise RuntimeError("the instances are not ready")
    await asyncio.sleep(2); start = now(); end = start + TOTAL_S; number = 0; late = []; overdue = []; done = 0; hung = {}
    async def client(instance, kind, pause):
        nonlocal number, done
        await asyncio.sleep(random.uniform(0, 5))
        while now() < end:
            number += 1; rid = "%016x" % (number * 7919); limit = TIMEOUT_MS / 1000
            record.line(f"{rid} sent to {instance.number}")
            answer = await call(instance.front, "POST", f"{kind}{number}", "h.example", rid, body=b"%d" % number, deadline_ms=int(limit * 1000 + 2000), extra=["Authorization: Bearer k1", "Sycamoregauge-Model: m", "Sycamoregauge-Token-Usage: 800,80"])
            took = (answer.at or now()) - answer.sent; done += 1
            record.line(f"{rid} {answer.status} {'whole' if answer.complete else 'not whole'} after {took:.2f} s {answer.error or ''}")
            if took > limit:
                overdue.append(rid)
                if took > limit + 0.5: late.append((instance.number, rid))
            await asyncio.sleep(random.expovariate(1 / pause))
    async def silence(engine):
        await asyncio.sleep(random.uniform(0, SILENT_EVERY_S))
        while trouble and now() < end:
            engine.silent_until = now() + SILENT_S; await asyncio.sleep(SILENT_EVERY_S)
    async def crash():
        turn = 0
        while trouble and now() < end - 6:
            engine = engines[turn % ENGINES]; turn += 1; record.line(f"runner {engine.id} crashes")
            asyncio.get_running_loop().create_task(engine.crash()); await asyncio.sleep(CRASH_EVERY_S)
    def threads(instance):
        """Where the threads of a process wait."""
        folder = f"/proc/{instance.process.pid}/task"
        try: return ", ".join(f"{open(f'{folder}/{one}/comm').read().strip()}: {open(f'{folder}/{one}/wchan').read().strip() or '-'}" for one in sorted(os.listdir(folder)))
        except OSError: return "unknown"
    async def watch():
        nonlocal end
        silent = {}
        while now() < end:
            for instance in instances:
                ok = await asyncio.to_thread(ready, instance.ip) if instance.number not in hung else False
                if ok: silent.pop(instance.number, None); continue
                since = silent.setdefault(instance.number, now())
                if now() - since > 5 and instance.number not in hung:
                    hung[instance.number] = now() - start; record.say(f"instance {instance.number} answers nothing for 5 s, {now() - start:.0f} s after the start; its process is {'running' if instance.process.poll() is None else 'gone'}, its threads wait in: {threads(instance)}")
                    # Requests that hang need another 12.5 s to show that they get no answer at all.
                    end = min(end, now() + 20)
            await asyncio.sleep(1)
    jobs = [client(i, "/draft/", 0.3) for i in instances for _ in range(STREAMS)]
    tasks = [asyncio.create_task(job) for job in [crash(), watch()] + [silence(engine) for engine in engines]]
    await asyncio.gather(*jobs)
    for task in tasks: task.cancel()
    record.say(f"{done} requests; {len(overdue)} were unanswered at their route's timeout_ms, {len(late)} of them half a second later too (CONFIG: half at most)")
    return bool(hung) and len(late) > len(overdue) / 2 and len(late) >= 8
run_case(main, FOLDER)
