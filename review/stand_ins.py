"""Stand-ins for the users' platform, replicas and machines, for the cases from 4 on.

They follow PROTOCOL.md, NEWS-25.md and DEPLOY.md and use the Python standard library only.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "outerMs": 5000, "strictRevoke": False, "revokeMs": 5000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 90, "recoverS": 12,
    "pass_ms": 120, "again_s": 0, "stall_ms": 1500, "fencingEnforced": True,
}
LIMITS = {
    "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
HOST = "files.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start, self.ran = time.monotonic(), set()

    def add(self, text):
        print(f"{time.monotonic() - self.start:9.3f} s  {text}", file=self.file, flush=True)

    def end(self, text):
        self.add(text)
        print(text)


async def read_head(reader):
    """Returns the first line and the header fields (names in lower case), or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
    return lines[0], {name.strip().lower(): value.strip() for name, value in pairs}


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get("content-length", 0)))


class Store:
    """The platform's metadata store: range reads and watches."""

    def __init__(self, ip):
        self.ip, self.revision, self.items, self.events = ip, 0, {}, []
        self.changed = asyncio.Event()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    def put(self, key, value):
        self.revision += 1
        item = {
            "tlsKey": key, "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "revision": self.revision, "made": self.items.get(key, {}).get("made", self.revision),
            "lease": 0,
        }
        self.items[key] = item
        self.note(item)

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.note({"tlsKey": key, "revision": self.revision, "gone": True})

    def note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                status, body = await self.answer(urllib.parse.urlsplit(head[0].split()[1]))
                data = json.dumps(body).encode()
                fields = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{fields}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, url):
        query = dict(urllib.parse.parse_qsl(url.query))
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        if url.path == "/-/kv-range":
            keys = sorted(it for it in self.items if it.startswith(prefix) and it > after)
            items = [self.items[it] for it in keys]
            return 200, {"items": items, "more": False, "at": self.revision}
        if url.path == "/-/kv-watch":
            until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while True:
                seen, changed = self.revision, self.changed
                new = [it for it in self.events
                       if it["tlsKey"].startswith(prefix) and it["revision"] > int(after)]
                left = until - time.monotonic()
                if new or left <= 0:
                    return 200, {"events": new, "at": seen}
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Replica:
    """A replica of a service without an engine. `respond(head, fields, body, writer)` answers."""

    def __init__(self, store, ip, service, record, respond, slots=6, zone="hall-a"):
        self.store, self.ip, self.service, self.record = store, ip, service, record
        self.respond, self.slots, self.zone = respond, slots, zone
        self.id, self.state, self.seq = f"i-{random.randrange(16 ** 8):08x}", "ready", 0
        self.runs, self.lines, self.active = [], [], 0

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(1.2)

    def write_entry(self):
        self.seq += 1
        self.store.put("servers/" + self.id, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "coldRemainingMs": 0, "seq": self.seq,
        })

    def head(self, status, request_id, **more):
        fields = {"X-Request-Id": request_id, "X-Replica-Load": f"{self.active},0,{self.slots}",
                  **{name.replace("_", "-"): value for name, value in more.items()}}
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        return f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode()

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                first, fields = head
                body = await read_body(reader, fields)
                request_id = fields.get("x-request-id", "")
                expected = fields.get("x-expect-instance", self.id)
                if expected != self.id:
                    writer.write(self.head(421, request_id, At_Server=self.id, Content_Length=0))
                elif not request_id:
                    writer.write(self.head(200, "", X_Replica_Id=self.id, Content_Length=0))
                else:
                    self.runs.append(request_id)
                    self.lines.append((request_id, first))
                    self.record.ran.add(request_id)
                    self.record.add(f"replica {self.id} runs {request_id} ({first})")
                    self.active += 1
                    try:
                        await self.respond(self, request_id, fields, body, writer)
                    finally:
                        self.active -= 1
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def stamp(self):
        return f"{self.id}.0.{len(self.runs)}"


def render(text, data):
    """Fills a settings template as DEPLOY.md says (the part of it that ours use)."""
    def look(name, scope):
        if name == ".":
            return scope[-1]
        for level in reversed(scope):
            value, found = level, True
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    found = False
                    break
            if found:
                return value
        return None

    def fill(text, scope, key=""):
        block = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)

        def repeat(match):
            value, inner = look(match[1], scope), match[2]
            if value is None or value is False:
                return ""
            if isinstance(value, dict):
                return "".join(fill(inner, scope + [it], name) for name, it in value.items())
            if isinstance(value, list):
                return "".join(fill(inner, scope + [it], str(at)) for at, it in enumerate(value))
            return fill(inner, scope + [value])

        text = block.sub(repeat, text)

        def gap(match):
            if match[1] == "@":
                return key
            value = look(match[1], scope)
            if match[2] or isinstance(value, (dict, bool)):
                return json.dumps(value)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.@]+)(\|json)?\}\}", gap, text)

    return fill(text, [data])


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for it in sockets:
        it.bind((ip, 0))
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


class Fleet:
    """Machines of the system on loopback addresses of their own; they run the deployed programs."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="sablepass-review-")
        self.net = f"127.{random.randrange(60, 250)}.{random.randrange(1, 250)}"
        self.processes = []

    def ip(self, number):
        return f"{self.net}.{number}"

    async def entry(self, number, store, seeds=(), zone="hall-a", agent_port=None):
        ip = self.ip(number)
        front, ready, control, first = free_ports(ip, 4)
        first = agent_port or first  # the internal ports are alike on all machines
        data = {
            "node": f"front-{number}", "ip": ip, "zone": zone, "region": "r",
            "zones": {"hall-a": "r", "hall-b": "r"},
            "listen": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}",
                       "control": f"{ip}:{control}"},
            "internalPorts": [first, first], "seeds": list(seeds) or [f"{ip}:{control}"],
            "limits": {"cpuShare": 0.19, "cores": 1, "memoryMb": 260, "maxFds": 4200,
                       "linkMbps": 1000.0},
            "bounds": BOUNDS, "provider": {"address": store.address},
        }
        with open(os.path.join(ROOT, "platform/entry.toml"), encoding="utf-8") as template:
            text = render(template.read(), data)
        path = os.path.join(self.folder, f"entry-{number}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        process = await self.start("target/release/sablepass-entry", path)
        process.front, process.ready, process.control = (ip, front), (ip, ready), data["listen"]["control"]
        return process

    def agent_settings(self, number, store, entry, app, port):
        ip = self.ip(20 + number)
        data = {"node": f"side-{number}", "ip": ip, "zone": "hall-a", "app": app,
                "internalPorts": [port, port], "seeds": [entry.control], "bounds": BOUNDS,
                "limits": {"linkMbps": 20}, "provider": {"address": store.address}}
        with open(os.path.join(ROOT, "platform/agent.toml"), encoding="utf-8") as template:
            text = render(template.read(), data)
        path = os.path.join(self.folder, f"agent-{number}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    async def start(self, program, settings):
        log = open(settings + ".log", "a", encoding="utf-8")
        process = await asyncio.create_subprocess_exec(
            program, "--config", settings, cwd=ROOT, stdout=log, stderr=log,
            env={name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ})
        process.settings, process.program = settings, program
        self.processes.append(process)
        return process

    def end(self):
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


async def ready(entry, seconds=15):
    """Waits until an entry says that it is ready."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection(*entry.ready)
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            if head and head[0].split()[1] == "200":
                return True
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.1)
    return False


def route(name, prefix, service, kind, **more):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "routeType": kind,
            "timeoutMs": 8000, "targetLatencyMs": 400, "priority": 1, "service": service,
            "maxAttempts": 2, "public": False, "sessionAffinity": False, **more}


def config(version, routes, services):
    return {
        "version": version, "routes": routes, "limits": LIMITS,
        "services": [{"name": it, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1",
                      "tls": False} for it in services],
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


def request(method, path, request_id, deadline_ms, body=b"", **more):
    """Returns a request. `more` are header fields, with `_` for `-`."""
    fields = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": deadline_ms,
              "Authorization": f"Bearer {KEY}",
              **{name.replace("_", "-"): value for name, value in more.items()}}
    if method != "GET":
        fields["Content-Length"] = len(body)
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


def new_id():
    return f"{random.randrange(16 ** 16):016x}"


def answer_of(sizes):
    """Returns the answer of a replica: with a body of this size, or of the size for the path."""
    async def respond(replica, request_id, _fields, _body, writer):
        size = sizes[replica.lines[-1][1].split()[1]] if isinstance(sizes, dict) else sizes
        writer.write(replica.head(200, request_id, X_Server_Stamp=replica.stamp(),
                                  Content_Type="application/octet-stream", Content_Length=size))
        if not replica.lines[-1][1].startswith("HEAD "):
            writer.write(b"x" * size)
        await writer.drain()
    return respond


class Caller:
    """A caller that keeps its channel and reads at the pace of its line, without a pause."""

    def __init__(self, record, entry, label, bytes_per_s):
        self.record, self.entry, self.label = record, entry, label
        self.bytes_per_s, self.sock = bytes_per_s, socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        self.sock.setblocking(False)

    async def call(self, path, size, deadline_ms=8000):
        """Sends a request and reads its answer. Returns whether a success came whole."""
        loop, request_id = asyncio.get_running_loop(), new_id()
        if self.sock.fileno() < 0:
            return False
        try:
            self.sock.getpeername()
        except OSError:
            await loop.sock_connect(self.sock, self.entry.front)
        self.record.add(f"caller {self.label} sends {request_id}")
        start = time.monotonic()
        data, end = b"", None
        try:
            await loop.sock_sendall(self.sock, request("POST", path, request_id, deadline_ms))
            while True:
                part = await loop.sock_recv(self.sock, 16 * 1024)
                data += part
                head, _, body = data.partition(b"\r\n\r\n")
                if not part:
                    end = "end of the channel"
                    break
                if not head.startswith(b"HTTP/1.1 200") or len(body) >= size:
                    break
                due = start + len(data) / self.bytes_per_s
                await asyncio.sleep(max(0.0, due - time.monotonic()))
        except OSError as e:
            end = type(e).__name__
        if end:
            self.sock.close()
        head, _, body = data.partition(b"\r\n\r\n")
        status = head.split(b"\r\n")[0].decode() or "no answer"
        self.status, whole = status, end is None and len(body) == size
        self.record.add(f"caller {self.label} has {request_id}: {status}, {len(body)} of {size} "
                        f"bytes, {'whole' if whole else end} after {time.monotonic() - start:.2f} s")
        return whole


def run(case, main):
    """Runs a case. Returns the exit status: 1 if the rule was broken, 0 if it held, 2 if the case
    could not run."""
    name = sys.argv[1] if len(sys.argv) > 1 else "record.txt"
    record = Record(os.path.join(os.path.dirname(os.path.abspath(case)), name))
    fleet = Fleet(record)

    async def quiet():
        # Connections that are open at the end of the case are no errors.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        # `timeout` in run.sh ends a case that takes too long; its processes end with it.
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await main(record, fleet)
        finally:
            fleet.end()
            await asyncio.gather(*(it.wait() for it in fleet.processes))

    try:
        return asyncio.run(quiet())
    except (Exception, asyncio.CancelledError) as e:
        record.end(f"could not run: {type(e).__name__}: {e}")
        return 2
