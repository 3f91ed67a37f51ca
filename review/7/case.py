"""A configuration that adds a tenant and takes a key away must come into force."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import stand_ins as s

# A tenant's name is free text on the users' pages; with TROUBLE=0 it is one word.
NEW_TENANT = "Masa Norte" if os.environ.get("TROUBLE", "1") != "0" else "masa-norte"
OLD, LEAVING, NEW = "k3v1u8old00000000001", "k3v1u8leaving0000002", "k3v1u8new00000000003"
APPLY_S = s.BOUNDS["configApplyMs"] / 1000
ENTRIES = 2


def config(version, tenants):
    it = s.config(version, [s.route("r-read", "/read/", "app", "safe")], ["app"])
    return {**it, "tenants": [{"name": name, "apiKeys": keys, "priority": 1}
                              for name, keys in tenants.items()]}


async def ask(record, entry, key, what):
    request_id = s.new_id()
    raw = s.request("GET", "/read/7", request_id, 1500, Authorization=f"Bearer {key}")
    reader, writer = await asyncio.open_connection(*entry.front)
    writer.write(raw)
    head = await asyncio.wait_for(s.read_head(reader), 3)
    writer.close()
    status = head[0].split()[1] if head else "no answer"
    record.add(f"{what} {request_id}: {status}{', it ran' if request_id in record.ran else ''}")
    return status, request_id in record.ran


async def main(record, fleet):
    store = s.Store(fleet.ip(1))
    await store.open()
    store.put("op/config", config(3, {"hule930": [OLD, LEAVING]}))
    for number in (2, 3):
        await s.Replica(store, fleet.ip(number), "app", record, s.answer_of(5)).open()
    entries = [await fleet.entry(10, store)]
    entries.append(await fleet.entry(11, store, [entries[0].control]))
    for it in entries:
        if not await s.ready(it):
            record.end("an entry did not become ready")
            return 2
    await asyncio.sleep(4)
    for it in entries:
        if [(await ask(record, it, key, "before, a key in force"))[0] for key in (OLD, LEAVING)] != ["200"] * 2:
            record.end("an entry didn't serve the first configuration")
            return 2
    store.put("op/config", config(8, {"hule930": [OLD], NEW_TENANT: [NEW]}))
    record.add(f"the store acknowledges version 8: tenant {NEW_TENANT!r} is new, a key of hule930 is gone")
    start = time.monotonic()
    refused, ran, asked = 0, 0, 0
    while time.monotonic() < start + APPLY_S + 8:
        await asyncio.sleep(0.5)
        late = time.monotonic() > start + APPLY_S
        for it in entries:
            asked += late
            status, _ = await ask(record, it, NEW, "the new tenant's key")
            refused += late and status in ("401", "403", "404")
            _, has_run = await ask(record, it, LEAVING, "the key that is gone")
            ran += late and has_run
    broken = refused + ran
    record.end(f"CONFIG: later than {APPLY_S:.0f} s after the ack, {refused} of {asked} requests with the "
               f"new key were refused and {ran} of {asked} with the dropped key ran" if broken
               else f"held: all {asked} requests with each key were handled by the new version")
    return 1 if broken else 0


sys.exit(s.run(__file__, main))
