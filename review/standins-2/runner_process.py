"""A plain runner as a process of its own: runner_process.py IP PORT ID SERVICE FILE. Its answers to POST have no length and end with
their connection, as the pages allow; a body takes about a second. Those to GET have a length and keep the connection open. Appends a line to FILE when a request runs and when its answer is whole."""
import asyncio, os, sys
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from standins import read_head, read_body

IP, PORT, ID, SERVICE, FILE = sys.argv[1], int(sys.argv[2]), sys.argv[3], sys.argv[4], sys.argv[5]
LINES, GAP_S = 20, 0.05

def whole_body(rid):
    return b"".join(b"line %d of the answer to %s\n" % (k, rid.encode()) for k in range(1, LINES + 1))

async def serve(reader, writer):
    try:
        while await answer(reader, writer): pass
    except (asyncio.IncompleteReadError, ConnectionError): pass
    finally: writer.close()

async def answer(reader, writer):
    """Answers one request. Returns whether the connection stays open."""
    line, headers = await read_head(reader); await read_body(reader, headers)
    rid = headers.get("sycamoregauge-request-id", "")
    head = lambda status, extra: ("\r\n".join([f"HTTP/1.1 {status} X", f"Sycamoregauge-Request-Id: {rid}", f"Sycamoregauge-Instance-Id: {ID}"] + extra) + "\r\n\r\n").encode()
    expected = headers.get("sycamoregauge-expected-instance")
    if expected and expected != ID:
        writer.write(head(421, ["Content-Length: 0", "Connection: close"])); await writer.drain(); return False
    if line.startswith("GET"):
        await asyncio.sleep(0.15); body = whole_body(rid)
        writer.write(head(200, [f"Sycamoregauge-Response-Signature: s.{ID}.{rid}", f"Content-Length: {len(body)}"]) + body); await writer.drain()
        return True
    with open(FILE, "a") as log: log.write(f"{ID} runs {rid}\n")
    writer.write(head(200, [f"Sycamoregauge-Response-Signature: s.{ID}.{rid}", "Connection: close"])); await writer.drain()
    for part in whole_body(rid).splitlines(keepends=True):
        writer.write(part); await writer.drain(); await asyncio.sleep(GAP_S)
    with open(FILE, "a") as log: log.write(f"{ID} has answered {rid} whole\n")
    return False

async def main():
    server = await asyncio.start_server(serve, IP, PORT, backlog=256)
    print("listening", flush=True)
    await server.serve_forever()

if __name__ == "__main__": asyncio.run(main())
