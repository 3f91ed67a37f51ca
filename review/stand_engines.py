"""Stand-ins for model replicas that are the ranks of one group, for case 4.

They follow PROTOCOL.md, Requests, from "At a replica, `GET /-/report` answers" on. The group has work
all the time: each pass takes PASS_S, and the requests of each rank choose experts in it.
"""
import asyncio
import json
import random

import stand_ins as s

PASS_S = 0.05
PICKS = 400  # choices of a rank's requests in a pass and a set


class Group:
    """The ranks of a group, and its passes."""

    def __init__(self, record, engine, size):
        self.record, self.engine, self.size = record, engine, size
        self.step, self.epoch, self.ranks, self.broken = 0, 1, [], None
        self.liked = []
        self.shift()

    def shift(self):
        """Other experts are in demand (`expert_shift`)."""
        sets, experts = self.engine["sets"], self.engine["experts"]
        self.liked = [random.sample(range(experts), experts // 8) for _ in range(sets)]

    async def run(self):
        while True:
            await asyncio.sleep(PASS_S)
            if any(it.held is not None and it.held <= self.step + 1 for it in self.ranks):
                continue
            self.step += 1
            for it in self.ranks:
                it.begin_pass()
            maps = [(it.version, it.content) for it in self.ranks]
            if self.broken is None and len(set(maps)) > 1:
                contents = sorted({content for _, content in maps})
                names = [f"{version}{'abcdefghijklmnop'[contents.index(content)]}"
                         for version, content in maps]
                self.broken = f"pass {self.step} begins with the maps {' '.join(names)} at the ranks"
                self.record.add(f"MAP: {self.broken} (a version, and a letter for each content)")


class Rank:
    """A rank. `on_prepare(rank, version, new)` is called as it accepts the order to prepare a map with
    `new` experts to copy."""

    def __init__(self, group, number, on_prepare):
        self.group, self.number, self.on_prepare = group, number, on_prepare
        engine = group.engine
        self.version, self.content = 0, "map 0"
        self.experts = [[it for it in range(engine["experts"]) if it % group.size == number]
                        for _ in range(engine["sets"])]
        self.highest, self.prepared, self.armed, self.held = 0, None, None, None
        self.seq, self.fence = 0, 0
        self.counts = [0] * (engine["sets"] * engine["experts"])

    async def open(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    def begin_pass(self):
        engine, step = self.group.engine, self.group.step
        if self.armed and self.armed[1] == step:
            self.version, _, self.content, self.experts = self.armed
            self.armed = self.prepared = None
        for at in range(engine["sets"]):
            for _ in range(PICKS):
                liked = random.random() < 0.7
                it = random.choice(self.group.liked[at]) if liked else random.randrange(engine["experts"])
                self.counts[at * engine["experts"] + it] += 1

    async def copy(self, version, content, experts, new):
        engine = self.group.engine
        seconds = new * engine["expert_mb"] * 8 / engine["linkMbps"]
        self.group.record.add(f"rank {self.number} copies {new} experts for map {version}: {seconds:.2f} s")
        await asyncio.sleep(seconds)
        if self.highest == version:
            self.prepared = (version, content, experts)

    def order(self, body):
        """Takes an order. Returns the status."""
        if body.get("fence", 0) < self.fence:
            return 412
        self.fence = body.get("fence", 0)
        if body.get("epoch", self.group.epoch) != self.group.epoch:
            return 409
        op, version, step = body["op"], body.get("version"), body.get("step")
        if op == "prepare":
            experts = [ranks[self.number] for ranks in body["map"]]
            by_set = (set(after) - set(before) for after, before in zip(experts, self.experts))
            over = any(len(it) > self.group.engine["spare"] for it in by_set)
            if version <= self.highest or self.armed or over:
                self.group.record.add(f"rank {self.number} refuses to prepare map {version} (409)")
                return 409
            self.highest = version
            new = sum(len(set(after) - set(before)) for after, before in zip(experts, self.experts))
            asyncio.create_task(self.copy(version, json.dumps(body["map"]), experts, new))
            self.on_prepare(self, version, new)
        elif op == "arm":
            if not self.prepared or self.prepared[0] != version or step <= self.group.step:
                return 409
            self.armed = (version, step, *self.prepared[1:])
        elif op == "disarm":
            if version == self.version:
                return 409
            if not self.armed or self.armed[0] != version:
                return 200
            self.armed = None
        elif op == "hold":
            if step <= self.group.step or self.held not in (None, step):
                return 409
            self.held = step
        elif op == "go":
            if self.held != step:
                return 409
            self.held = None
        else:
            return 400
        self.seq += 1
        return 202

    def report(self):
        group = self.group
        more = {"prepared": self.prepared and self.prepared[0], "held": self.held,
                "armed": self.armed and {"version": self.armed[0], "step": self.armed[1]}}
        return {
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
            "utilization": False, "seq": self.seq, "queued": 0, "active": 5, "kvUsed": 41000,
            "kvTotal": 280000, "handles": 0, "pace": 1.0, "size": group.size, "step": group.step,
            "group": {"name": "g", "epoch": group.epoch, "rank": self.number, "state": "open"},
            "map": self.version, **{name: it for name, it in more.items() if it is not None},
        }

    def answer(self, path, body):
        if path == "/-/report":
            return 200, self.report()
        if path == "/-/order":
            return self.order(json.loads(body)), {}
        if path.startswith("/-/picked"):
            shown = ({"map": {"version": self.version, "experts": self.experts}} if "lists" in path
                     else {"counts": list(self.counts)})
            return 200, {"step": self.group.step, "epoch": self.group.epoch, **shown}
        return 404, {}

    async def serve(self, reader, writer):
        try:
            while head := await s.read_head(reader):
                first, fields = head
                body = await s.read_body(reader, fields)
                path = first.split()[1]
                status, shown = self.answer(path, body)
                data = json.dumps(shown).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"X-Request-Id: {fields.get('x-request-id', '')}\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
