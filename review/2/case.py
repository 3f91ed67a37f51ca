"""Answers without a length: one that the end of its replica cuts short is passed on as complete.

A replica answers without a length, so the answer ends with its channel. Its process ends in the
middle of an answer, in one of two ways:
- frozen: while the entry is frozen (`node_freeze`), the replica's process is killed and is started
  again at its address (`srv_crash`). The entry wakes, finds the end of the channel, and asks the
  address whether the replica still lives; the new process accepts.
- leaving: the replica says `draining`, serves on for `drainMs` and a little longer, and ends (`scale_in`).
  The entry does not ask whether a leaving replica still lives.

The callers compare what they got with the replica's whole answer (MIXED, ORDER).
"""

import os
import signal
import socket
import subprocess
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import stands  # noqa: E402

EVENTS, PAUSE_S = 28, 0.09
BODY = b"order line confirmed;" * 38
FREEZE_S, DOWN_S = 1.5, 0.5
NOTICE_S, OTHERS_S = 2.3, 4.0
ROUNDS = [("unsafe", "frozen"), ("stream", "frozen"), ("stream", "leaving")] * 2


def route(name, kind, more):
    return {"name": name, "host": "users.example", "pathPrefix": f"/{name}/", "routeType": kind,
            "timeoutMs": 8000, "targetLatencyMs": 400, "priority": 1, "service": "app",
            "maxAttempts": 2, "public": False, **more}


CONFIG = {
    "version": 3,
    "routes": [route("stream", "streaming", {"streamResume": True, "gap_aim_ms": 120}),
               route("unsafe", "unsafe", {})],
    "services": [{"name": "app", "healthPath": "/healthz", "maxConns": 51, "protocol": "h1",
                  "tls": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
               "idleTimeoutMs": 10000},
    "tenants": [{"name": "bakery", "apiKeys": ["key-of-a-customer"]}],
}


def event(number):
    return f"id: {number}\ndata: piece {number}\n\n".encode()


# The replica, a process of its own.


def replica(ip, name):
    def handle(request, sock):
        if request.fields.get("x-expect-instance", name) != name:
            sock.sendall(stands.answer(421, b"", {"X-Replica-Id": name}))
            return True
        if "x-request-id" not in request.fields:
            sock.sendall(stands.answer(400, b"", {"X-Not-Run": "1"}))
            return True
        stream = request.path.startswith("/stream/")
        fields = {"X-Request-Id": request.fields["x-request-id"], "X-Server-Stamp": f"{name}.1",
                  "Content-Type": "text/event-stream" if stream else "text/plain",
                  "Connection": "close"}
        after = int(request.fields.get("last-event-id", "0"))
        parts = [event(it) for it in range(after + 1, EVENTS + 1)] if stream else halves(BODY)
        print("run", request.fields["x-request-id"], request.path, "after", after, flush=True)
        sock.sendall(stands.head(200, fields))
        for part in parts:
            sock.sendall(part)
            time.sleep(PAUSE_S)
        print("done", request.fields["x-request-id"], flush=True)
        return False

    stands.serve((ip, stands.PORTS["app"]), handle)
    print("up", flush=True)
    threading.Event().wait()


def halves(body):
    middle = len(body) // 2
    return [body[:middle], body[middle:]]


class Replica:
    def __init__(self, fleet, ip, record):
        self.fleet, self.ip, self.record, self.lives = fleet, ip, record, 0
        self.process = None
        self.running = set()

    def start(self):
        self.lives += 1
        self.name = f"i-{self.ip.split('.')[-1]}-{self.lives}"
        up, self.running = threading.Event(), set()
        self.process = subprocess.Popen([sys.executable, __file__, "replica", self.ip, self.name],
                                        stdout=subprocess.PIPE, text=True)
        threading.Thread(target=self.follow, args=(self.process, self.name, up, self.running),
                         daemon=True).start()
        if not up.wait(5):
            raise RuntimeError("a replica did not start")
        self.tell("ready")

    def tell(self, state):
        """Writes the replica's entry to the store."""
        self.fleet.store.put(f"servers/{self.name}", {
            "service": "app", "address": f"{self.ip}:{stands.PORTS['app']}", "zone": "sala-a",
            "version": "v1", "slots": 6, "state": state, "coldRemainingMs": 0, "seq": 1})

    def follow(self, process, name, up, running):
        for line in process.stdout:
            self.record(f"replica {name}: {line.strip()}")
            words = line.split()
            if words[0] == "up":
                up.set()
            elif words[0] == "run":
                running.add(words[1])
            else:
                running.discard(words[1])

    def kill(self):
        self.record(f"replica {self.name} is killed")
        self.process.kill()
        self.process.wait()
        # Its entry goes after three liveness reports of silence.
        threading.Timer(3.6, self.fleet.store.remove, (f"servers/{self.name}",)).start()

    def close(self):
        if self.process:
            self.process.kill()
            self.process.wait()


# The caller.


class Call:
    """A request, and its answer as it arrives."""

    def __init__(self, ip, kind, number):
        self.id, self.kind = f"{kind}-{number}", kind
        self.status, self.body, self.complete = 0, b"", False
        self.begun = threading.Event()
        self.thread = threading.Thread(target=self.run, args=(ip,), daemon=True)
        self.thread.start()

    def run(self, ip):
        try:
            with socket.create_connection((ip, stands.PORTS["front"]), 1.0) as sock:
                sock.settimeout(8.0)
                sock.sendall((f"POST /{self.kind}/1 HTTP/1.1\r\nHost: users.example\r\n"
                              f"X-Request-Id: {self.id}\r\nX-Deadline-Ms: 8000\r\n"
                              "Authorization: Bearer key-of-a-customer\r\n"
                              "Content-Length: 1\r\n\r\nq").encode())
                reader = stands.Reader(sock)
                self.status = int(reader.line().split(" ")[1])
                fields = reader.fields()
                if "content-length" in fields:
                    self.body = reader.exact(int(fields["content-length"]))
                else:
                    while size := int(reader.line(), 16):
                        self.body += reader.exact(size)
                        reader.line()
                        self.begun.set()
                    reader.line()
                self.complete = True
        except (OSError, stands.Closed, ValueError, IndexError):
            pass
        self.begun.set()

    def judge(self):
        """The broken rule, if any: a success that looks complete and is not the whole answer."""
        whole = b"".join(event(it) for it in range(1, EVENTS + 1)) if self.kind == "stream" else BODY
        if self.status != 200 or not self.complete or self.body == whole:
            return None
        rule = "ORDER" if self.kind == "stream" else "MIXED"
        return f"{rule} broken: {len(self.body)} of {len(whole)} bytes in an answer that looks complete"


def freeze(fleet, front, replica, record):
    """The entry is frozen while the replica crashes and is started again."""
    record("the entry is frozen")
    fleet.signal(front, signal.SIGSTOP)
    frozen = time.monotonic()
    replica.kill()
    time.sleep(DOWN_S)
    replica.start()
    time.sleep(max(0.0, frozen + FREEZE_S - time.monotonic()))
    record("the entry wakes")
    fleet.signal(front, signal.SIGCONT)


def take_away(replica, record):
    """The replica serves on for `drainMs` and a little longer, and ends; another comes later."""
    record(f"replica {replica.name} says draining")
    replica.tell("draining")
    time.sleep(NOTICE_S)
    replica.kill()
    time.sleep(OTHERS_S)
    replica.start()


def case(record, children):
    fleet = stands.Fleet(fronts=1, sides=2)
    children.append(fleet)
    front = fleet.fronts[0]
    fleet.store.put("op/config", CONFIG)
    replicas = [Replica(fleet, ip, record) for ip in fleet.sides]
    for it in replicas:
        children.append(it)
        it.start()
    fleet.start(front)
    usable = lambda: sum(it["usable"] for it in fleet.status(front).get("targets", []))  # noqa: E731
    stands.wait_for("the entry uses both replicas", lambda: fleet.ready(front) and usable() == 2)
    broken, whole = {}, 0
    for number, (kind, how) in enumerate(ROUNDS):
        call = Call(front, kind, number)
        stands.wait_for("a replica runs the request",
                        lambda: any(call.id in it.running for it in replicas))
        if kind == "stream":
            call.begun.wait(5)
        busy = next((it for it in replicas if call.id in it.running), None)
        if stands.TROUBLE and not busy:
            raise RuntimeError("the answer was over before the disturbance")
        if stands.TROUBLE and how == "frozen":
            freeze(fleet, front, busy, record)
        elif stands.TROUBLE:
            take_away(busy, record)
        call.thread.join(10)
        verdict = call.judge()
        record(f"{call.id}: status {call.status}, {len(call.body)} bytes,"
               f" {'complete' if call.complete else 'broken off'}; {verdict or 'no rule broken'}")
        if verdict:
            broken[kind, how] = broken.get((kind, how), 0) + 1
        whole += call.complete and verdict is None
        if stands.TROUBLE:
            time.sleep(4.0)
    if not stands.TROUBLE and whole < len(ROUNDS):
        raise RuntimeError("an undisturbed answer is not whole")
    for (kind, how), count in broken.items():
        record(f"{kind}, {how}: {count} of {ROUNDS.count((kind, how))} look complete and are not")
    return bool(broken)


if sys.argv[1:2] == ["replica"]:
    replica(*sys.argv[2:])
else:
    stands.run(FOLDER, case)
