"""Requests whose bodies look like requests: only what callers sent may run."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import stand_ins as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 5


async def answers(reader, seconds=0.5):
    """Returns what comes on a channel until it rests."""
    data = b""
    try:
        while part := await asyncio.wait_for(reader.read(65536), seconds):
            data += part
    except (asyncio.TimeoutError, ConnectionError):
        pass
    return data


async def send(record, entry, sent, what, requests):
    """Sends requests one after the other on one channel, each after the answer to the last."""
    reader, writer = await asyncio.open_connection(*entry.front)
    for request_id, method, raw in requests:
        sent[request_id] = method
        record.add(f"{what}: the caller sends {method} {request_id}")
        writer.write(raw)
        got = await answers(reader)
        heads = [it for it in got.decode("latin-1").split("\r\n") if it.startswith("HTTP/1.1 ")]
        record.add(f"{what}: the caller gets {heads}")
    writer.close()


async def main(record, fleet):
    store = s.Store(fleet.ip(1))
    await store.open()
    routes = [s.route("r-read", "/read/", "app", "safe"), s.route("r-order", "/order/", "app", "unsafe")]
    store.put("op/config", s.config(3, routes, ["app"]))
    replicas = [s.Replica(store, fleet.ip(it), "app", record, s.answer_of(5)) for it in (2, 3)]
    for it in replicas:
        await it.open()
    entry = await fleet.entry(10, store)
    if not await s.ready(entry):
        record.end("the entry did not become ready")
        return 2
    await asyncio.sleep(1)
    sent = {}
    # GET may carry a body as well as HEAD; the programs read the one and not the other.
    method = "HEAD" if TROUBLE else "GET"
    for _ in range(ROUNDS):
        hidden, outer, after = s.new_id(), s.new_id(), s.new_id()
        inner = s.request("POST", "/order/7", hidden, 3000)
        raw = s.request(method, "/read/7", outer, 3000, inner, Content_Length=len(inner))
        await send(record, entry, sent, f"a request in the body ({hidden})", [(outer, method, raw)])
        outer = s.new_id()
        first = s.request(method, "/read/8", outer, 3000, b"hello", Content_Length=5)
        second = s.request("GET", "/read/9", after, 3000)
        await send(record, entry, sent, "a word in the body", [(outer, method, first), (after, "GET", second)])
    wrong = []
    for replica in replicas:
        for request_id, line in replica.lines:
            if sent.get(request_id) != line.split()[0]:
                wrong.append(f"{request_id} as {line!r}, sent as {sent.get(request_id)}")
    for it in wrong:
        record.add("ran " + it)
    record.end(f"UNASKED: {len(wrong)} runs that no caller sent so, of {len(sent)} requests"
               if wrong else f"held: {len(sent)} requests, each ran as sent")
    return 1 if wrong else 0


sys.exit(s.run(__file__, main))
