"""Model runners that crash when they begin to write an answer to a prompt with one part, and a day of requests with and without it."""
from standins import *

INSTANCES, RUNNERS = 3, 8
SOUND_PER_S, CRASHING_PER_S = 19.0, 1.0    # one in 20 requests has the part
BASE_S, TOTAL_S = 8.0, 45.0
DOWN_S = 4.0               # a crashed runner is back after some seconds
WINDOW_S = 3.0             # stable_window_ms
EVENTS, GAP_S = 40, 0.03
FIRST, CRASHING = "5c1e07a2", "91bd3f06"

class ModelRunner(Runner):
    """A model runner that serves streams alone. It crashes when it begins to write an answer to a prompt with the part."""
    async def launch(self, port=0):
        self.writers = set(); await self.start(port); self.list()
    async def serve(self, reader, writer):
        self.writers.add(writer)
        try: await super().serve(reader, writer)
        finally: self.writers.discard(writer)
    async def crash(self, rid):
        self.crashes.append(now()); self.record.line(f"runner {self.id} crashes, it begins to answer {rid}")
        self.server.close()
        for writer in list(self.writers): writer.transport.abort()
        asyncio.get_running_loop().create_task(self.back())
    async def back(self):
        port = int(self.address.split(":")[1]); old = self.id
        await asyncio.sleep(3.6); self.store.remove("servers", old)      # three heartbeats of silence
        await asyncio.sleep(DOWN_S - 3.6)
        Runner.ids += 1; self.id = "i-%06x" % (0x100000 + Runner.ids); self.born = int(time.time() * 1000)
        for _ in range(20):
            try: await self.launch(port); break
            except OSError: await asyncio.sleep(0.1)
        self.record.line(f"runner {old} is back as {self.id}")
    async def respond(self, line, headers, body, reader, writer):
        rid = headers.get("sycamoregauge-request-id"); parts = headers.get("sycamoregauge-prompt-prefix", "")
        crashing = CRASHING in parts
        self.reached.append((now(), rid, crashing))
        self.record.line(f"{rid} reaches runner {self.id}{', with the crashing part' if crashing else ''}")
        no = self.refuse(headers)
        if no: writer.write(no); await writer.drain(); return True
        await asyncio.sleep(0.05)               # reads the prompt
        head = self.head(200, headers, [f"Sycamoregauge-Response-Signature: s.{self.id}.{rid}", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"])
        if crashing:
            if self.where != "before-head":
                event = b"" if self.where == "after-head" else f"id: 1\ndata: {rid} 1\n\n".encode()
                writer.write(head + (b"%x\r\n%s\r\n" % (len(event), event) if event else b"")); await writer.drain(); await asyncio.sleep(0.02)
            await self.crash(rid); return False
        writer.write(head)
        for k in range(int(headers.get("last-event-id", 0)) + 1, EVENTS + 1):
            event = f"id: {k}\ndata: {rid} {k}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event)); await writer.drain(); await asyncio.sleep(GAP_S)
        writer.write(b"0\r\n\r\n"); await writer.drain(); return True

async def crashing_part(where, record, trouble, folder, started):
    """`where`: before-head, after-head or after-event."""
    store = Store(); await store.start()
    runners, reached, crashes = [], [], []
    for _ in range(RUNNERS):
        runner = ModelRunner(store, "model", slots=192); runner.record, runner.reached, runner.crashes, runner.where = record, reached, crashes, where
        await runner.launch(); runners.append(runner)
    store.put("op", "config", config(1, [route("draft", "/draft/", "streaming", "model", 2, resumable=True, sticky=True, gap_target_ms=200)], [service("model", max_conns=1138)], [{"name": "t1", "api_keys": ["k1"], "priority": 1}]))
    instances = [Instance(store.address, n, folder, free_net()) if n == 0 else None for n in range(INSTANCES)]
    net = int(instances[0].ip.split(".")[1]) * 256 + int(instances[0].ip.split(".")[2])
    instances = [Instance(store.address, n, folder, net) for n in range(INSTANCES)]
    started.extend(instances)
    for instance in instances: instance.start()
    if not await wait_ready(instances): raise RuntimeError("the instances are not ready")
    await asyncio.sleep(2)
    start = now(); sound = []; number = 0; tasks = set()
    async def request(crashing):
        nonlocal number
        number += 1; rid = "%016x" % (number * 7919); instance = random.choice(instances)
        parts = ([CRASHING + ":410"] if crashing else []) + ["%08x:250" % (0xe0000000 + number)]
        record.line(f"client sends {rid} to instance {instance.number}{', with the crashing part' if crashing else ''}")
        answer = await call(instance.front, "POST", f"/draft/{number}", "h.example", rid, body=b"{}", deadline_ms=8000, extra=["Authorization: Bearer k1", "Sycamoregauge-Model: m", "Sycamoregauge-Token-Usage: 800,80", "Sycamoregauge-Prompt-Prefix: " + ",".join([FIRST + ":40"] + parts)])
        begun = answer.status == 200 and len(answer.body) > 0
        record.line(f"{rid} answered {answer.status}, {len(answer.body)} bytes, complete: {answer.complete} {answer.error or ''}")
        if not crashing: sound.append((answer.sent, begun, answer.complete and answer.status == 200))
    async def send(per_s, crashing, since, until):
        await asyncio.sleep(since)
        while now() < start + until:
            task = asyncio.create_task(request(crashing)); tasks.add(task); task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(per_s))
    jobs = [send(SOUND_PER_S, False, 0, TOTAL_S)] + ([send(CRASHING_PER_S, True, BASE_S, TOTAL_S)] if trouble else [])
    await asyncio.gather(*jobs)
    await asyncio.sleep(3)
    for task in list(tasks): task.cancel()
    crashes.sort()
    record.say(f"{len(sound)} sound requests, {sum(1 for one in sound if one[2])} served whole; {len(crashes)} crashes of runners")
    if len(crashes) < 5: record.say("fewer than five crashes"); return False
    fifth = crashes[4]
    late = [one for one in reached if one[2] and one[0] > fifth + WINDOW_S]
    share = lambda rows: sum(1 for one in rows if one[1]) / max(1, len(rows))
    before = [one for one in sound if one[0] < start + BASE_S]; after = [one for one in sound if one[0] > fifth + 2 * WINDOW_S]
    record.say(f"fifth crash {fifth - start:.1f} s after the start; later than 3 s after it {len(late)} requests with the part reached runners (BUDGET: 3 at most)")
    record.say(f"sound requests that began at the first attempt: {share(before):.3f} of {len(before)} before, {share(after):.3f} of {len(after)} from 6 s after the fifth crash (LOST: half at least)")
    return len(late) > 3 or (len(before) >= 20 and len(after) >= 20 and share(after) < share(before) / 2)
