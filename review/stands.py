"""Stand-ins for the scripts of this review: the platform's store, an HTTP server and client on plain
sockets, and the processes of the project with the settings templates of `platform/`.

They follow the users' pages: PROTOCOL.md for the calls, DEPLOY.md for the settings.
"""

import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
TIME_LIMIT = 100
START = time.monotonic()


class Record:
    """The file that `run.sh` names, `record.txt`: one line for each thing sent, answered or run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, sys.argv[1]), "w")
        self.lock = threading.Lock()

    def __call__(self, *words):
        with self.lock:
            self.file.write(f"{time.monotonic() - START:8.3f} {' '.join(map(str, words))}\n")
            self.file.flush()


def wait_for(what, condition, seconds=15.0):
    """Waits until `condition` holds. Without that the case cannot run."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise RuntimeError(f"timed out: {what}")


# Messages.


class Closed(Exception):
    """The peer closed the channel."""


class Reader:
    """Reads lines and bodies from a socket."""

    def __init__(self, sock):
        self.sock, self.data = sock, b""

    def _more(self):
        got = self.sock.recv(65536)
        if not got:
            raise Closed
        self.data += got

    def line(self):
        while b"\r\n" not in self.data:
            self._more()
        line, self.data = self.data.split(b"\r\n", 1)
        return line.decode("latin-1")

    def exact(self, size):
        while len(self.data) < size:
            self._more()
        body, self.data = self.data[:size], self.data[size:]
        return body

    def fields(self):
        fields = {}
        while line := self.line():
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
        return fields


class Request:
    def __init__(self, reader):
        self.method, self.path, _ = reader.line().split(" ", 2)
        self.fields = reader.fields()
        self.body = reader.exact(int(self.fields.get("content-length", "0")))


def head(status, fields):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def answer(status, body, fields=None):
    """A whole answer with a length."""
    body = body if isinstance(body, bytes) else json.dumps(body).encode()
    fields = {"Content-Type": "application/json", **(fields or {})}
    return head(status, {**fields, "Content-Length": len(body)}) + body


def serve(address, handle):
    """Serves channels, each on a thread. `handle` gets a request and the socket, and returns whether
    the channel goes on."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(512)

    def channel(sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = Reader(sock)
        try:
            while handle(Request(reader), sock):
                pass
        except (Closed, OSError, ValueError):
            pass
        sock.close()

    def accept():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=channel, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return listener


def get_json(address, path):
    """The status and the JSON body of a GET; (0, None) if there is no answer."""
    try:
        with socket.create_connection(address, 1.0) as sock:
            sock.settimeout(2.0)
            sock.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            reader = Reader(sock)
            status = int(reader.line().split(" ")[1])
            fields = reader.fields()
            body = reader.exact(int(fields.get("content-length", "0")))
            return status, json.loads(body) if body else None
    except (OSError, Closed, ValueError, IndexError):
        return 0, None


# The platform's store.


class Store:
    """Range reads and watches, as PROTOCOL.md tells them. `silent` lets all calls hang."""

    def __init__(self, address):
        self.address = address
        self.items, self.revision = {}, 1
        self.silent = False
        self.changed = threading.Condition()
        serve(address, self.handle)

    def put(self, key, value):
        """Writes a value; returning is the store's acknowledgement."""
        with self.changed:
            self.revision += 1
            text = base64.b64encode(json.dumps(value).encode()).decode()
            made = self.items.get(key, {}).get("made", self.revision)
            self.items[key] = {"tlsKey": key, "value": text, "revision": self.revision,
                               "made": made, "lease": 0}
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            self.revision += 1
            self.items[key] = {"tlsKey": key, "revision": self.revision, "gone": True}
            self.changed.notify_all()

    def handle(self, request, sock):
        path, _, query = request.path.partition("?")
        words = dict(it.split("=", 1) for it in query.split("&") if "=" in it)
        prefix = words.get("pathPrefix", "").replace("%2F", "/")
        if self.silent:
            return self.hang()
        if path == "/-/kv-range":
            with self.changed:
                live = [it for key, it in sorted(self.items.items())
                        if key.startswith(prefix) and "gone" not in it
                        and key > words.get("after", "")]
                body = {"items": live, "more": False, "at": self.revision}
        elif path == "/-/kv-watch":
            after, end = int(words["after"]), time.monotonic() + int(words["waitMs"]) / 1000
            with self.changed:
                while True:
                    new = [it for key, it in self.items.items()
                           if key.startswith(prefix) and it["revision"] > after]
                    left = end - time.monotonic()
                    if new or left <= 0 or self.silent:
                        break
                    self.changed.wait(left)
                new.sort(key=lambda it: it["revision"])
                body = {"events": new, "at": self.revision}
            if self.silent:
                return self.hang()
        else:
            sock.sendall(answer(400, {}))
            return True
        sock.sendall(answer(200, body))
        return True

    def hang(self):
        while self.silent:
            time.sleep(0.05)
        return False


# Settings and processes.


def fill(template, values):
    """Fills a settings template as DEPLOY.md tells it."""

    def look(scopes, name):
        if name == ".":
            return scopes[-1][1]
        if name == "@":
            return scopes[-1][0]
        for _, scope in reversed(scopes):
            found, ok = scope, True
            for part in name.split("."):
                if isinstance(found, dict) and part in found:
                    found = found[part]
                elif isinstance(found, list) and part.isdigit() and int(part) < len(found):
                    found = found[int(part)]
                else:
                    ok = False
                    break
            if ok:
                return found
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text(it) for it in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def expand(part, scopes):
        out, at = "", 0
        for gap in iter(lambda: re.compile(r"\{\{([#^]?)([^}]*)\}\}").search(part, at), None):
            out += part[at:gap.start()]
            kind, name = gap.groups()
            if not kind:
                name, _, form = name.partition("|")
                value = look(scopes, name)
                out += json.dumps(value) if form == "json" else text(value)
                at = gap.end()
                continue
            depth, end = 1, gap.end()
            for it in re.compile(r"\{\{([#^/])([^}]*)\}\}").finditer(part, gap.end()):
                depth += -1 if it.group(1) == "/" else 1
                if depth == 0:
                    inner, end = part[gap.end():it.start()], it.end()
                    break
            value = look(scopes, name)
            given = value is not None and value is not False and value != [] and value != {}
            if kind == "^":
                out += "" if given else expand(inner, scopes)
            elif given and isinstance(value, (list, dict)):
                entries = value.items() if isinstance(value, dict) else enumerate(value)
                out += "".join(expand(inner, scopes + [(key, it)]) for key, it in entries)
            elif given:
                out += expand(inner, scopes)
            at = end
        return out + part[at:]

    return expand(template, [("", values)])


def addresses(count, ports):
    """Loopback addresses, one a machine, on each of which all the ports are free. Ports are alike on
    all machines of a day."""
    while True:
        net = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
        chosen = [f"{net}.{number + 1}" for number in range(count)]
        try:
            for ip in chosen:
                for port in ports:
                    with socket.socket() as sock:
                        sock.bind((ip, port))
            return chosen
        except OSError:
            continue


PORTS = {"front": 8227, "ready": 8220, "control": 8229, "internal": 7340, "app": 8228,
         "admin": 9464, "store": 8223}

BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
          "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
          "rollbackSlackMs": 250, "outerMs": 5000, "strictRevoke": False, "revokeMs": 5000,
          "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 92, "recoverS": 12,
          "pass_ms": 120, "again_s": 0, "stall_ms": 1500, "fencingEnforced": True}


class Fleet:
    """The processes of a small deployment, with the commands of `deploy/system.toml`."""

    def __init__(self, fronts, sides):
        ips = addresses(1 + fronts + sides, PORTS.values())
        self.store = Store((ips[0], PORTS["store"]))
        self.fronts, self.sides = ips[1:1 + fronts], ips[1 + fronts:]
        self.folder = tempfile.mkdtemp(prefix="sablepass-review-")
        self.running = {}

    def values(self, ip):
        front = ip in self.fronts
        listen = {it: f"{ip}:{PORTS[it]}" for it in ("front", "ready", "control")} if front else {}
        seeds = [f"{it}:{PORTS['control']}" for it in self.fronts[:3]]
        limits = {"cpuShare": 0.19, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0,
                  "diskMb": 0}
        if not front:
            limits = {**limits, "cpuShare": 0.15, "memoryMb": 128, "maxFds": 2048, "linkMbps": 20.0}
        number = (self.fronts if front else self.sides).index(ip) + 1
        return {"node": f"{'front' if front else 'side'}-sala-a-{number}", "ip": ip,
                "zone": "sala-a", "region": "asturias", "zones": {"sala-a": "asturias"},
                "listen": listen, "internalPorts": [PORTS["internal"], PORTS["internal"] + 15],
                "seeds": seeds, "limits": limits, "bounds": BOUNDS, "app": f"{ip}:{PORTS['app']}",
                "provider": {"address": f"{self.store.address[0]}:{PORTS['store']}", "form": "read"}}

    def start(self, ip):
        """Starts the process of a machine, or starts it again."""
        role = "entry" if ip in self.fronts else "agent"
        with open(os.path.join(ROOT, "platform", f"{role}.toml")) as file:
            settings = fill(file.read(), self.values(ip))
        path = os.path.join(self.folder, f"{ip}.json")
        with open(path, "w") as file:
            file.write(settings)
        log = open(os.path.join(self.folder, f"{ip}.log"), "a")
        program = os.path.join(ROOT, "target", "release", f"sablepass-{role}")
        self.running[ip] = subprocess.Popen(
            [program, "--config", path], cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "SABLEPASS_BOOT": path})
        return self.running[ip]

    def signal(self, ip, number):
        self.running[ip].send_signal(number)

    def status(self, ip):
        """What a process tells its operator; empty if it does not answer."""
        return get_json((ip, PORTS["admin"]), "/status")[1] or {}

    def ready(self, ip):
        """Whether a front daemon calls itself ready."""
        return get_json((ip, PORTS["ready"]), "/-/readyz")[0] == 200

    def close(self):
        for process in self.running.values():
            process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(folder, case):
    """Runs a case and exits as the issue names: 1 if the rule was broken, 0 if it held, 2 if the case
    could not run. Ends all processes that it started."""
    def stop(number, _):
        raise RuntimeError(f"stopped by signal {number}")

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGALRM, stop)
    signal.alarm(TIME_LIMIT)
    record, children = Record(folder), []
    status = NOT_RUN
    try:
        broken = case(record, children)
        status = BROKEN if broken else HELD
        record("result:", "the rule was broken" if broken else "the rule held")
    except Exception as problem:  # The exit status tells that the case could not run.
        record("result: the case could not run:", repr(problem))
        print(f"the case could not run: {problem!r}", file=sys.stderr)
    finally:
        for it in children:
            it.close()
    sys.stdout.flush()
    os._exit(status)
