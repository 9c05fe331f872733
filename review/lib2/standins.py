"""Stand-ins for the users' platform on loopback, and the gateways under test as processes.

The store, the engines and the desks speak what the users' PROTOCOL.md says. Each gateway reaches
the store at an address of its own, so that the store can turn single machines away.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "works.example"
KEY = "key-1"
TENANT = "crew"


def now():
    return time.monotonic()


def free_port():
    """A port that is free for TCP and UDP, below those that the kernel gives to clients."""
    while True:
        port = random.randint(20000, 32000)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self, file):
        self.file = open(file, "w", encoding="utf-8")
        self.start = now()

    def add(self, text):
        self.file.write(f"{now() - self.start:8.3f} {text}\n")
        self.file.flush()


# --- HTTP ----------------------------------------------------------------------------------------


class Message:
    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def path(self):
        return self.target.split("?")[0]

    @property
    def query(self):
        text = self.target.partition("?")[2]
        return dict(part.partition("=")[::2] for part in text.split("&") if part)

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = [line.partition(":")[::2] for line in lines[1:] if line]
    return Message(lines[0], [(name.strip(), value.strip()) for name, value in fields])


async def read_chunk(reader):
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader, message):
    if message.get("Transfer-Encoding").lower() == "chunked":
        while chunk := await read_chunk(reader):
            message.body += chunk
    elif message.get("Content-Length"):
        message.body = await reader.readexactly(int(message.get("Content-Length")))
    return message


def answer(status, headers=(), body=b""):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in headers)
    return text.encode("latin-1") + b"\r\n" + body


class Server:
    """An HTTP server; handle(message, writer) writes the answer itself."""

    def __init__(self, handle):
        self.handle = handle
        self.port = None
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_body(reader, await read_head(reader))
                await self.handle(message, writer)
                await writer.drain()
                if writer.is_closing():
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self, reset=True):
        """Ends as a process does: no listener any more, open channels are reset."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            if reset:
                writer.transport.abort()


class Result:
    """What a consumer saw: status 0 if the channel ended without a complete answer."""

    def __init__(self):
        self.status = 0
        self.headers = Message("", [])
        self.body = b""
        self.complete = False
        self.events = 0


async def call(port, method, path, ident, deadline_ms, headers=(), body=b"", key=KEY):
    """One consumer attempt on a channel of its own."""
    result = Result()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1)
    except (OSError, asyncio.TimeoutError):
        return result
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {ident}"]
    lines += [f"X-Deadline-Ms: {deadline_ms}", f"Authorization: Token {key}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    try:
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

        async def read():
            head = await read_head(reader)
            result.headers, result.status = head, head.status
            await read_body(reader, head)
            result.body, result.complete = head.body, True

        await asyncio.wait_for(read(), deadline_ms / 1000 + 0.5)
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError):
        pass
    finally:
        writer.close()
    result.events = result.body.count(b"\nid: ") + result.body.startswith(b"id: ")
    return result


# --- The platform's store ------------------------------------------------------------------------


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}

    def append(self, key, value):
        self.records.append((key, value))
        self.newest[key] = (value, len(self.records) - 1)
        if value is None:
            del self.newest[key]

    def copy(self):
        other = Topic()
        other.records, other.newest = list(self.records), dict(self.newest)
        return other


class Group:
    """Members of a group and the holder of its one partition that is used."""

    def __init__(self):
        self.generation = 0
        self.members = {}
        self.holder = ""
        self.target = ""

    def copy(self):
        other = Group()
        other.generation, other.members = self.generation, dict(self.members)
        other.holder, other.target = self.holder, self.target
        return other

    def change(self, avoid=""):
        self.generation += 1
        # Members in the order in which they joined.
        names = [name for name in self.members if name != avoid] or list(self.members)
        if self.target not in names:
            self.target = names[0] if names else ""
        if self.holder not in self.members:
            self.holder = self.target

    def expire(self):
        gone = [name for name, until in self.members.items() if until <= now()]
        for name in gone:
            del self.members[name]
        if gone:
            self.change()

    def join(self, member, ttl_s, generation):
        self.expire()
        new = member not in self.members
        self.members[member] = now() + ttl_s
        if new:
            self.change()
        if self.holder == member and self.target != member and generation >= self.generation:
            self.holder = self.target
        return self.holder == member and self.target == member

    def leave(self, member):
        if self.members.pop(member, None) is not None:
            self.change()

    def rebalance(self):
        """Deals the partition anew, to another member if there is one."""
        if self.members:
            holder, self.target = self.target, ""
            self.change(avoid=holder)
            self.holder = self.target


class Store:
    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.groups = {}
        self.era = 1
        self.away = False
        self.fault = {}
        self.changed = asyncio.Event()
        self.kept = None
        self.servers = []

    async def address(self, name):
        """An address of the store for one machine."""
        self.fault[name] = None
        server = await Server(lambda m, w: self.handle(name, m, w)).start()
        self.servers.append(server)
        return server.port

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        text = None if value is None else json.dumps(value).encode()
        self.topic(topic).append(key, text)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self):
        self.kept = ({n: t.copy() for n, t in self.topics.items()},
                     {n: g.copy() for n, g in self.groups.items()})
        self.record.add("store: a copy is made")

    def return_from_copy(self):
        topics, groups = self.kept
        self.topics = {n: t.copy() for n, t in topics.items()}
        self.groups = {n: g.copy() for n, g in groups.items()}
        # Memberships last as long as before the store went away.
        for group in self.groups.values():
            group.members = {name: now() + 3 for name in group.members}
        self.era += 1
        self.away = False
        self.record.add(f"store: back from the copy, era {self.era}, generations "
                        + str({n: g.generation for n, g in self.groups.items()}))
        self.wake()

    def send(self, writer, status, body=b"", headers=()):
        writer.write(answer(status, [("Store-Era", self.era), *headers], body))

    async def handle(self, machine, message, writer):
        await asyncio.sleep(0.004)
        if self.away:
            # No answer; a channel on which one is lost returns nothing further.
            await asyncio.sleep(60)
            return
        fault = self.fault[machine]
        if fault == "busy":
            return self.send(writer, 503, {})
        if fault == "reset":
            writer.transport.abort()
            return
        if fault == "silent":
            await asyncio.sleep(60)
            return
        body = json.loads(message.body) if message.body and "join" in message.path else {}
        if message.path == "/-/log-newest":
            return self.newest(message, writer)
        if message.path == "/-/log-read":
            return await self.read(machine, message, writer)
        if message.path == "/-/log-join":
            group = self.groups.setdefault(body["group"], Group())
            before = group.generation
            holds = group.join(body["member"], body["ttl_ms"] / 1000, body["generation"])
            if group.generation != before:
                self.record.add(f"store: group {body['group']} is in generation "
                                f"{group.generation}, holder {group.target}")
            parts = [[body["topics"][0], 0, 0]] if holds else []
            return self.send(writer, 200, {"generation": group.generation,
                                           "ttl_ms": body["ttl_ms"], "parts": parts})
        if message.path == "/-/log-leave":
            body = json.loads(message.body)
            self.groups.setdefault(body["group"], Group()).leave(body["member"])
            return self.send(writer, 200, {})
        if message.path == "/-/log-owners":
            group = self.groups.setdefault(message.query["group"], Group())
            group.expire()
            rows = [["rattancart-duty", 0, group.holder, 0]] if group.holder else []
            return self.send(writer, 200, {"parts": rows})
        if message.path == "/-/log-append":
            return self.append(message, writer)
        self.send(writer, 404, {})

    def newest(self, message, writer):
        topic = self.topic(message.query["topic"])
        after = message.query.get("after", "")
        items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (value, offset) in sorted(topic.newest.items()) if key > after]
        self.send(writer, 200, {"items": items, "has_more": False, "end": len(topic.records)})

    async def read(self, machine, message, writer):
        query = message.query
        first, until = int(query["from"]), now() + int(query.get("wait_ms", 0)) / 1000
        era = self.era
        while True:
            topic = self.topic(query["topic"])
            if self.fault[machine] in ("busy", "reset"):
                writer.transport.abort()
                return
            if self.away or era != self.era or self.fault[machine] == "silent":
                await asyncio.sleep(60)
                return
            if first > len(topic.records):
                return self.send(writer, 410, {"first": 0})
            if first < len(topic.records) or now() >= until:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), min(0.2, max(0.001, until - now())))
            except asyncio.TimeoutError:
                pass
        body = len(topic.records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for key, value in topic.records[first:]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            body += len(content).to_bytes(4, "big") + content
        self.send(writer, 200, body)

    def append(self, message, writer):
        topic = self.topic(message.query["topic"])
        if int(message.query.get("at", len(topic.records))) != len(topic.records):
            return self.send(writer, 412, {"end": len(topic.records)})
        offset = len(topic.records)
        data = message.body[4:]
        topic.append(data[1:1 + data[0]].decode(), data[1 + data[0]:])
        self.wake()
        self.send(writer, 200, {"offset": offset, "end": len(topic.records)})


# --- Engines -------------------------------------------------------------------------------------

BEAT_S = 1.2
_ids = itertools.count(1)


class Endpoint:
    """What desks and model engines share: entry in the list, leaving, end and restart."""

    def __init__(self, store, record, service, zone):
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.ident = f"i-{next(_ids):08x}"
        self.sequence = 0
        self.leaving = False
        self.listed = True
        self.running = False
        self.server = None
        self.port = 0
        self.born = 0
        self.beats = None
        self.tasks = set()

    async def start(self):
        self.born = int(time.time() * 1000)
        self.server = await Server(self.handle).start(self.port)
        self.port = self.server.port
        self.running = True
        self.write_entry()
        self.beats = asyncio.create_task(self.beat())
        return self

    async def beat(self):
        while self.running:
            await asyncio.sleep(BEAT_S)
            self.write_entry()

    def entry(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                "version": "v1", "slots": 6, "state": "draining" if self.leaving else "ready",
                "cold_left_ms": 0, "sequence": self.sequence, "born": self.born}

    def write_entry(self):
        if not self.running or not self.listed or self.store.away:
            return
        self.sequence += 1
        self.store.put("keyed.servers", self.ident, self.entry())

    def crash(self):
        """Ends at once; channels are reset. The entry expires after three check-ins."""
        self.running = False
        self.server.stop()
        for task in list(self.tasks):
            task.cancel()
        self.beats.cancel()

    def expire(self):
        self.store.put("keyed.servers", self.ident, None)


class Desk(Endpoint):
    """Runs bookings and lookups. If it leaves, all its answers say so."""

    def __init__(self, store, record, zone, work_s=0.03):
        super().__init__(store, record, "desk", zone)
        self.work_s = work_s
        self.arrivals = []
        self.ran = []

    async def handle(self, message, writer):
        ident = message.get("X-Attempt-Id")
        if message.path == "/healthz":
            writer.write(answer(503 if self.leaving else 200, [("X-Instance-Id", self.ident)]))
            return
        if message.path == "/-/report":
            writer.write(answer(404))
            return
        if message.get("X-Expect-Instance", self.ident) != self.ident:
            writer.write(answer(421, [("X-Instance-Id", self.ident), ("X-Attempt-Id", ident)]))
            return
        self.arrivals.append((now(), ident))
        self.ran.append(ident)
        self.record.add(f"desk {self.ident} runs {ident}"
                        + (" (leaving)" if self.leaving else ""))
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.tasks.discard(task)
        headers = [("X-Attempt-Id", ident), ("X-Response-Stamp", f"{self.ident}.{ident}")]
        if self.leaving:
            headers += [("Server-Leaving", "1"), ("Connection", "close")]
        writer.write(answer(200, headers, f"{self.ident} did {ident}\n".encode()))


class ModelEngine(Endpoint):
    """A model engine that can hold all layers of the model."""

    def __init__(self, store, record, zone, layers=80, events=20, gap_s=0.02, read_s=0.03):
        super().__init__(store, record, "engines", zone)
        self.layers, self.events, self.gap_s, self.read_s = layers, events, gap_s, read_s
        self.held = (0, 0)
        self.orders = 0
        self.fence = -1
        self.order_log = []
        self.arrivals = []
        # A part of prompts that crashes the engine as it begins to write an answer, and what of the
        # answer has been sent by then: "nothing", "head" or "event".
        self.poison = None
        self.crash_after = "nothing"
        self.on_crash = None

    def entry(self):
        entry = super().entry()
        entry.update(slots=192, route_kind="big", stage="both", models=[self.model()])
        return entry

    def model(self):
        model = {"name": "m0", "version": 1, "adapters": []}
        if self.held[1] > self.held[0]:
            model["layers"] = {"from": self.held[0], "target": self.held[1], "version": 1}
        return model

    async def start(self):
        self.held, self.orders, self.fence = (0, 0), 0, -1
        return await super().start()

    def report(self):
        return {"stage": "both", "models": [self.model()], "busy": False, "sequence": self.orders,
                "waiting": 0, "running": 0, "kv_used": 0,
                "kv_total": 100000 * (self.held[1] - self.held[0]), "handles": 0, "pace": 1.0,
                "born": self.born, "stalled": []}

    async def handle(self, message, writer):
        ident = message.get("X-Attempt-Id")
        if message.get("X-Expect-Instance", self.ident) != self.ident:
            writer.write(answer(421, [("X-Instance-Id", self.ident), ("X-Attempt-Id", ident)]))
            return
        if message.path == "/-/report":
            writer.write(answer(200, [("Content-Type", "application/json")], self.report()))
            return
        if message.path == "/-/order":
            return self.order(json.loads(message.body), writer)
        await self.stream(message, ident, writer)

    def order(self, order, writer):
        fence = order.get("fencing_token", -1)
        if fence < self.fence:
            status = 412
        elif order.get("expect", self.orders) != self.orders:
            status = 409
        else:
            self.fence = fence
            self.orders += 1
            self.held = (order["from"], order["target"])
            status = 202
        self.order_log.append((now(), fence, status))
        self.record.add(f"engine {self.ident} gets an order {order['from']}-{order['target']} "
                        f"with fence {fence}: {status}")
        writer.write(answer(status, [("Content-Type", "application/json")], {}))

    async def stream(self, message, ident, writer):
        hops = message.get("X-Hop-Count")
        part = re.search(r"=(\d+)-(\d+)$", hops.split(",")[0]) if hops else None
        wanted = (int(part[1]), int(part[2])) if part else (0, self.layers)
        if not (self.held[0] <= wanted[0] and wanted[1] <= self.held[1]):
            writer.write(answer(421, [("X-Attempt-Id", ident),
                                      ("At-Server", f"127.0.0.1:{self.port}")]))
            return
        parts = [each.split(":")[0] for each in message.get("X-Prompt-Prefix").split(",")]
        self.arrivals.append((now(), ident, parts))
        self.record.add(f"engine {self.ident} is sent {ident}, parts {','.join(parts)}")
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await asyncio.sleep(self.read_s)
            poisoned = self.poison and self.poison in parts[:-1]
            if poisoned and self.crash_after == "nothing":
                return self.crash_on(ident, task)
            head = [("X-Attempt-Id", ident), ("X-Response-Stamp", f"{self.ident}.{ident}"),
                    ("Content-Type", "text/event-stream"), ("X-Weight-Versions", "1")]
            text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
            text += "".join(f"{name}: {value}\r\n" for name, value in head) + "\r\n"
            writer.write(text.encode())
            await writer.drain()
            if poisoned and self.crash_after == "head":
                await asyncio.sleep(0.005)
                return self.crash_on(ident, task)
            first = int(message.get("Last-Event-Id") or -1) + 1
            for number in range(first, self.events):
                event = f"id: {number}\ndata: token {number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                await asyncio.sleep(self.gap_s)
                if poisoned:
                    return self.crash_on(ident, task)
            writer.write(b"0\r\n\r\n")
        finally:
            self.tasks.discard(task)

    def crash_on(self, ident, task):
        self.record.add(f"engine {self.ident} crashes on {ident}")
        self.tasks.discard(task)
        self.crash()
        if self.on_crash:
            self.on_crash(self)


# --- Configuration -------------------------------------------------------------------------------


def route(name, prefix, kind, service, timeout_ms, goal_ms, attempts, **more):
    return {"name": name, "host": HOST, "path_prefix": prefix, "route_kind": kind,
            "timeout_ms": timeout_ms, "goal_ms": goal_ms, "priority": 1, "service": service,
            "max_attempts": attempts, "public": False, **more}


def config(version, layers=80):
    engine = {"slots": 192, "kv_capacity": 100000, "kv_token_bytes": 59000, "stride": 2,
              "models": [{"name": "m0", "pace": 1.0, "load_s": 0.3, "warm_s": 0.1}],
              "step_ms": 0.85, "per_seq_ms": 0.004, "context_per_k": 0.005,
              "read_per_s": 196000.0, "loads_at_once": 6, "layers": layers, "layer_mb": 175.0,
              "usual": {"prompt": 772, "answer": 40}, "report_lag_ms": 200.0,
              "kinds": [{"name": "big", "size_mb": 72000.0, "pace": 1.4, "read_factor": 1.0}]}
    return {"version": version,
            "routes": [route("book", "/book/", "non_idempotent", "desk", 3000, 100, 1),
                       route("look", "/look/", "idempotent", "desk", 3000, 100, 2),
                       route("brief", "/brief/", "streaming", "engines", 20000, 500, 2,
                             sticky=True, resumable=True, gap_target_ms=200)],
            "services": [{"name": "desk", "health_path": "/healthz", "max_conns": 110},
                         {"name": "engines", "health_path": "/healthz", "max_conns": 978,
                          "engine": engine}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}]}


# --- Gateways ------------------------------------------------------------------------------------

BOUNDS = {"drain_ms": 2000, "config_apply_ms": 2000, "retry_budget_ratio": 0.2,
          "retry_budget_extra": 202, "budget_window_s": 10, "grace_s": 8}


def deploy_command():
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
        return re.search(r'^run = "(.*)"', file.read(), re.M)[1].split(" ")


def settings(fields):
    """Fills in deploy/gateway.yaml as the platform does."""
    with open(os.path.join(ROOT, "deploy/gateway.yaml"), encoding="utf-8") as file:
        text = file.read()
    zones = ", ".join(f'"{zone}"' for zone in fields["zones"])
    text = re.sub(r"\{\{#zones\}\}.*?\{\{/zones\}\}", zones, text)

    def value(match):
        item = fields
        for name in match[1].split("."):
            item = item[int(name)] if isinstance(item, list) else item[name]
        return str(item)

    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", value, text)


class Gateway:
    def __init__(self, site, name, zone, store_port):
        self.site, self.name, self.zone = site, name, zone
        self.front, self.ready, self.peer = free_port(), free_port(), free_port()
        self.file = os.path.join(site.folder, name + ".yaml")
        fields = {"node_name": name, "zone": zone, "zones": site.zones, "ip": "127.0.0.1",
                  "listen": {"front": f"127.0.0.1:{self.front}",
                             "ready": f"127.0.0.1:{self.ready}"},
                  "internal_ports": [self.peer], "bounds": BOUNDS,
                  "platform": {"address": f"127.0.0.1:{store_port}"}}
        text = settings(fields).replace("127.0.0.1:9464", f"127.0.0.1:{free_port()}")
        with open(self.file, "w", encoding="utf-8") as file:
            file.write(text)
        self.process = None

    async def start(self):
        log = open(os.path.join(self.site.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *deploy_command(), cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "RATTANCART_NODE_FILE": self.file})
        log.close()
        self.site.record.add(f"gateway {self.name} started")

    async def is_ready(self):
        return (await call(self.ready, "GET", "/readyz", "-", 500)).status == 200

    async def state(self):
        return json.loads((await call(self.ready, "GET", "/v1/state", "-", 500)).body or b"{}")

    def send_signal(self, number):
        self.site.record.add(f"gateway {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Site:
    def __init__(self, case, zones=("east",)):
        self.case = os.path.dirname(os.path.abspath(case))
        self.record = Record(os.path.join(self.case, os.environ.get("RECORD", "record.txt")))
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = os.environ.get("REVIEW_LOGS") or self.temporary.name
        self.zones = list(zones)
        self.store = Store(self.record)
        self.gateways, self.endpoints = [], []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    async def add_gateway(self, zone="east"):
        name = f"edge-{zone}-{len(self.gateways) + 1}"
        gateway = Gateway(self, name, zone, await self.store.address(name))
        self.gateways.append(gateway)
        await gateway.start()
        return gateway

    async def add(self, endpoint):
        self.endpoints.append(endpoint)
        return await endpoint.start()

    async def until(self, what, condition, limit_s=15):
        end = now() + limit_s
        while now() < end:
            held = condition()
            if asyncio.iscoroutine(held):
                held = await held
            if held:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"not reached in {limit_s} s: {what}")

    async def ready(self):
        for gateway in self.gateways:
            await self.until(f"{gateway.name} is ready", gateway.is_ready)

    async def close(self):
        for gateway in self.gateways:
            await gateway.stop()
        for endpoint in self.endpoints:
            if endpoint.server:
                endpoint.server.stop()
            if endpoint.beats:
                endpoint.beats.cancel()
        for server in self.store.servers:
            server.stop()


class CannotRun(Exception):
    pass


def run(case, scenario, zones=("east",)):
    """Runs scenario(site), which returns the broken rule as a text, or nothing if it held."""

    async def main():
        site = Site(case, zones)
        try:
            broken = await asyncio.wait_for(scenario(site), int(os.environ.get("LIMIT_S", "110")))
        except CannotRun as failure:
            site.record.add(f"could not run: {failure}")
            print(f"could not run: {failure}")
            return 2
        finally:
            await site.close()
        site.record.add(f"broken: {broken}" if broken else "the rule held")
        print(f"broken: {broken}" if broken else "the rule held")
        return 1 if broken else 0

    try:
        code = asyncio.run(main())
    except Exception as failure:  # An error of the script itself is no finding.
        print(f"could not run: {failure!r}")
        code = 2
    sys.exit(code)
