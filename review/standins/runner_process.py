"""A runner as a process of its own, whose answers have no length and end with their connection.

It prints its address. GET answers 64 KB in pieces over a second; POST answers a stream of events. The platform
stand-in writes its entry as long as the process runs.
"""

import asyncio
import sys

from platform_standin import read_body, read_head, response

PIECES, PIECE_BYTES, PIECE_GAP_S = 16, 4096, 0.06
EVENTS, EVENT_GAP_S = 40, 0.04


def body(request):
    unit = f"{request} ".encode()
    return (unit * (PIECES * PIECE_BYTES // len(unit) + 1))[:PIECES * PIECE_BYTES]


def event(request, number):
    return f"id: {number}\ndata: {request} {number}\n\n".encode()


async def serve(reader, writer, own_id):
    try:
        while True:
            head = await read_head(reader)
            if head is None:
                return
            await read_body(reader, head)
            request = head.get("sycamoregauge-request-id")
            own = [("Sycamoregauge-Request-Id", request)]
            if not request or head.get("sycamoregauge-expected-instance", own_id) != own_id:
                status = 421 if request else 400
                writer.write(response(status, b"", [*own, ("Sycamoregauge-Not-Executed", "1")]))
                await writer.drain()
                continue
            is_stream = head.start.startswith("POST")
            print(f"runs {request}", flush=True)
            kind = "text/event-stream" if is_stream else "application/octet-stream"
            writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nConnection: close\r\n"
                          f"Sycamoregauge-Request-Id: {request}\r\n"
                          "Sycamoregauge-Response-Signature: 3e1b.07\r\n\r\n").encode())
            if is_stream:
                for number in range(int(head.get("last-event-id") or -1) + 1, EVENTS):
                    writer.write(event(request, number))
                    await writer.drain()
                    await asyncio.sleep(EVENT_GAP_S)
            else:
                whole = body(request)
                for start in range(0, len(whole), PIECE_BYTES):
                    writer.write(whole[start:start + PIECE_BYTES])
                    await writer.drain()
                    await asyncio.sleep(PIECE_GAP_S)
            return
    except (ConnectionError, OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main():
    own_id = sys.argv[1]
    server = await asyncio.start_server(lambda r, w: serve(r, w, own_id), "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    print(f"{host}:{port}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
