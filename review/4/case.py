"""All agents of a group are killed right after a rank has accepted the order to prepare a map."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import stand_engines
import stand_ins as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RANKS, ROUNDS, ROUND_S, RESTART_S = 12, 8, 9, 0.3
# The engine of mouseio-lens.
ENGINE = {
    "slots": 12, "kvCapacity": 280000, "kvBytes": 96256, "linkMbps": 10000.0, "stride": 4,
    "models": [{"name": "m"}], "step_ms": 4.55, "per_seq_ms": 0.355, "context_per_k": 0.036,
    "read_per_s": 61400.0, "pairs_per_m": 0.325, "chunk": 512, "report_lag_ms": 200.0,
    "usual": {"prompt": 835, "answer": 96}, "sets": 3, "experts": 96, "places": 11, "spare": 4,
    "expert_mb": 2200.0, "expert_share": 0.85, "form_ms": 600.0,
}


def config():
    stream = s.route("r-lm", "/lm/", "lm", "streaming", streamResume=True, gap_aim_ms=120)
    it = s.config(3, [stream], ["lm"])
    it["services"][0]["engine"] = ENGINE
    return it


async def main(record, fleet):
    store = s.Store(fleet.ip(1))
    await store.open()
    store.put("op/config", config())
    port = s.free_ports(fleet.ip(20), 1)[0]
    entry = await fleet.entry(10, store, agent_port=port)
    agents, armed, accepted = {}, asyncio.Event(), asyncio.Event()

    def on_prepare(rank, version, new):
        record.add(f"rank {rank.number} accepts the order to prepare map {version}, {new} experts to copy")
        if not armed.is_set() or not new:
            return
        armed.clear()
        accepted.set()
        record.add(f"all {RANKS} agents are killed")
        for it in agents.values():
            it.kill()

    group = stand_engines.Group(record, ENGINE, RANKS)
    for number in range(RANKS):
        rank = stand_engines.Rank(group, number, on_prepare)
        await rank.open(fleet.ip(20 + number))
        group.ranks.append(rank)
        store.put(f"servers/i-{number:02}", {
            "service": "lm", "address": rank.address, "zone": "hall-a", "version": "v1", "slots": 12,
            "state": "ready", "coldRemainingMs": 0, "seq": 1})

    async def agent(number):
        settings = fleet.agent_settings(number, store, entry, group.ranks[number].address, port)
        while True:
            agents[number] = await fleet.start("target/release/sablepass-agent", settings)
            await agents[number].wait()
            await asyncio.sleep(RESTART_S)

    if not await s.ready(entry):
        record.end("the entry did not become ready")
        return 2
    tasks = [asyncio.create_task(group.run())] + [asyncio.create_task(agent(it)) for it in range(RANKS)]
    for _ in range(24):
        await asyncio.sleep(1)
        if group.ranks[0].version:
            break
    else:
        record.end("no map was switched in 24 s")
        return 2
    await asyncio.sleep(2)
    kills = 0
    for _ in range(ROUNDS):
        group.shift()
        record.add("other experts are in demand")
        if TROUBLE:
            armed.set()
        await asyncio.sleep(ROUND_S)
        kills += accepted.is_set()
        accepted.clear()
        if group.broken:
            break
    for it in tasks:
        it.cancel()
    record.end(f"MAP, after {kills} kills: {group.broken}" if group.broken
               else f"held: {kills} kills, map {group.ranks[0].version} in force at pass {group.step}")
    return 1 if group.broken else 0


sys.exit(s.run(__file__, main))
