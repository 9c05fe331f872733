"""Stand-ins of the platform for the scripts under review/: the store, the engines, the desks, the
operator and the consumers, all in one asyncio process on loopback addresses. The gateways are the
project's own program, started as separate processes with the command of deploy/system.toml and a
settings file rendered from deploy/gateway.yaml.

The stand-ins follow PROTOCOL.md. A case switches faults on through the fields marked "fault".
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
GATEWAY = os.path.join(ROOT, "target", "bin", "rattancart-gateway")

BOUNDS = {
    "drain_ms": 2000, "config_apply_ms": 2000, "retry_budget_ratio": 0.2,
    "retry_budget_extra": 202, "budget_window_s": 10,
}
HOST = "works.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
LAYERS = 80
KINDS = [
    {"name": "h100", "size_mb": 72000.0, "pace": 1.4, "read_factor": 1.0},
    {"name": "a100s", "size_mb": 36000.0, "pace": 3.1, "read_factor": 3.2},
]


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


class Headers(list):
    """Header fields in order of arrival."""

    def get(self, name, default=None):
        for key, value in self:
            if key.lower() == name.lower():
                return value
        return default

    def all(self, name):
        return [value for key, value in self if key.lower() == name.lower()]


class Incomplete(Exception):
    """A message ended before its last byte."""


async def read_head(reader):
    """The start line and headers of a message; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as end:
        if end.partial:
            raise Incomplete("head") from end
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = Headers()
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
    return lines[0], headers


async def read_chunks(reader, on_data):
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
            return
        on_data(await reader.readexactly(size))
        await reader.readexactly(2)


async def read_body(reader, headers, to_end=False, on_data=None):
    """The body of a message. Raises Incomplete if it is cut."""
    parts = []
    take = on_data or parts.append
    try:
        if "chunked" in (headers.get("Transfer-Encoding") or "").lower():
            await read_chunks(reader, take)
        elif headers.get("Content-Length") is not None:
            left = int(headers.get("Content-Length"))
            while left > 0:
                data = await reader.read(min(left, 65536))
                if not data:
                    raise Incomplete("body")
                left -= len(data)
                take(data)
        elif to_end:
            while data := await reader.read(65536):
                take(data)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as end:
        raise Incomplete("body") from end
    return b"".join(parts)


def head_text(start, headers):
    return (start + "\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers) + "\r\n").encode("latin-1")


REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


def answer(status, body=b"", headers=()):
    fields = list(headers) + [("Content-Length", str(len(body)))]
    return head_text(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", fields) + body


def json_answer(status, value):
    return answer(status, json.dumps(value).encode(), [("Content-Type", "application/json")])


class Record:
    """What was sent, answered and run, in order, with the seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


class Server:
    """An HTTP/1.1 server with one request at a time on each connection."""

    def __init__(self, ip):
        self.ip = ip
        self.port = 0
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                start, headers = head
                method, target, _ = start.split(" ", 2)
                if not await self.handle(method, target, headers, reader, writer):
                    break
        except (Incomplete, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, reader, writer):
        """Answers one request; false if the connection ends."""
        raise NotImplementedError


class Topic:
    def __init__(self):
        self.records = []
        self.first = 0
        self.newest = {}
        self.changed = asyncio.Condition()

    @property
    def end(self):
        return self.first + len(self.records)


class StoreEntrance(Server):
    """An address of the store. Each gateway gets its own, so that the store can turn it away."""

    def __init__(self, ip, store):
        super().__init__(ip)
        self.store = store
        # Fault: until then, no call gets an answer, and none is carried out.
        self.silent_until = 0

    async def handle(self, method, target, headers, reader, writer):
        body = await read_body(reader, headers)
        if time.monotonic() < self.silent_until:
            await asyncio.sleep(60)
            return False
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        await asyncio.sleep(0.004)
        reply = await self.store.call(url.path, query, json.loads(body) if body else {})
        # A read that waited into a disruption isn't answered either.
        if time.monotonic() < self.silent_until:
            await asyncio.sleep(60)
            return False
        writer.write(reply)
        await writer.drain()
        return True


class Store:
    """The platform's store: keyed topics and groups."""

    def __init__(self):
        self.topics = {}
        self.groups = {}

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def put(self, name, key, value):
        """Appends a record; value None removes the key. Returns when it is acknowledged."""
        topic = self.topic(name)
        data = b"" if value is None else value
        topic.records.append(bytes([len(key)]) + key.encode() + data)
        if value is None:
            topic.newest.pop(key, None)
        else:
            topic.newest[key] = data
        async with topic.changed:
            topic.changed.notify_all()

    async def call(self, path, query, body):
        if path == "/-/log-read":
            return await self.read(self.topic(query["topic"]), query)
        if path == "/-/log-newest":
            return self.list_newest(self.topic(query["topic"]), query.get("after", ""))
        if path == "/-/log-join":
            return self.join(body)
        if path == "/-/log-leave":
            self.groups.get(body["group"], {}).pop("members", {}).pop(body["member"], None)
            return json_answer(200, {})
        if path == "/-/log-owners":
            return self.owners(query["group"])
        return json_answer(404, {})

    async def read(self, topic, query):
        start, wait = int(query["from"]), int(query.get("wait_ms", 0)) / 1000
        if start < topic.first:
            return json_answer(410, {"first": topic.first})
        until = time.monotonic() + wait
        while start >= topic.end and (left := until - time.monotonic()) > 0:
            try:
                async with topic.changed:
                    await asyncio.wait_for(topic.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        out = struct.pack(">QQ", topic.end, topic.first)
        for item in topic.records[max(0, start - topic.first):]:
            out += struct.pack(">I", len(item)) + item
        return answer(200, out, [("Content-Type", "application/octet-stream")])

    def list_newest(self, topic, after):
        keys = sorted(key for key in topic.newest if key > after)
        items = [{"key": key, "value": base64.b64encode(topic.newest[key]).decode(), "offset": 0}
                 for key in keys[:500]]
        return json_answer(200, {"items": items, "has_more": len(keys) > 500, "end": topic.end})

    def members(self, name):
        """The members of a group whose time has not run out, in order of their arrival."""
        group = self.groups.setdefault(name, {"generation": 0, "members": {}})
        members = group.setdefault("members", {})
        now = time.monotonic()
        gone = [member for member, until in members.items() if until < now]
        for member in gone:
            del members[member]
        if gone:
            group["generation"] += 1
        return group, members

    def join(self, body):
        group, members = self.members(body["group"])
        if body["member"] not in members:
            group["generation"] += 1
        members[body["member"]] = time.monotonic() + body["ttl_ms"] / 1000
        holds = next(iter(members)) == body["member"]
        parts = [[topic, 0, 0] for topic in body["topics"]] if holds else []
        return json_answer(200, {"generation": group["generation"], "ttl_ms": body["ttl_ms"],
                                 "parts": parts})

    def owners(self, name):
        _, members = self.members(name)
        holder = next(iter(members), None)
        rows = [["rattancart-duty", 0, holder, 0]] if holder else []
        return json_answer(200, {"parts": rows})


class Endpoint(Server):
    """What engines and desks have in common: their entry in the list, and 421 for other ids."""

    service = ""

    def __init__(self, ip, name, zone, record):
        super().__init__(ip)
        self.name = name
        self.zone = zone
        self.record = record
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.runs = []

    def entry(self):
        self.beats += 1
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 192, "state": self.state, "cold_left_ms": 0,
                "sequence": self.beats, "born": self.born}

    async def handle(self, method, target, headers, reader, writer):
        expected = headers.get("X-Expect-Instance")
        if expected and expected != self.name:
            await read_body(reader, headers)
            writer.write(answer(421, b"", [("X-Instance-Id", self.name),
                                           ("X-Attempt-Id", headers.get("X-Attempt-Id", ""))]))
            await writer.drain()
            return True
        return await self.work(method, target, headers, reader, writer)

    def ran(self, headers, what):
        self.runs.append(headers.get("X-Attempt-Id", ""))
        self.record.add(f"run      {headers.get('X-Attempt-Id')} at {self.name}: {what}")


class Engine(Endpoint):
    """A model engine that holds a range of layers and answers with streams of events."""

    service = "huvo11a"

    def __init__(self, ip, name, zone, record, kind="h100", event_s=0.02):
        super().__init__(ip, name, zone, record)
        self.kind = kind
        self.event_s = event_s
        self.held = (0, 0)
        self.orders = 0
        self.fence = 0
        self.running = 0
        # Fault: called with the headers of a request; a coroutine that answers it instead.
        self.fault = None

    def entry(self):
        entry = super().entry()
        entry["route_kind"] = self.kind
        entry["stage"] = "both"
        entry["models"] = [{"name": "daka510000", "version": 1, "adapters": []}]
        entry["layers"] = {"from": self.held[0], "target": self.held[1], "version": 1}
        return entry

    def report(self):
        size = next(kind["size_mb"] for kind in KINDS if kind["name"] == self.kind)
        count = self.held[1] - self.held[0]
        total = max(0.0, size - count * 1750.0) * 1e6 / (590000.0 / LAYERS) if count else 0
        return {"stage": "both", "models": [{"name": "daka510000", "version": 1, "adapters": []}],
                "layers": {"from": self.held[0], "target": self.held[1], "version": 1},
                "busy": False, "sequence": self.orders, "waiting": 0, "running": self.running,
                "kv_used": 0, "kv_total": int(total), "handles": 0, "pace": 1.0, "stalled": [],
                "route_kind": self.kind, "born": self.born}

    async def work(self, method, target, headers, reader, writer):
        if target == "/-/report":
            writer.write(json_answer(200, self.report()))
        elif target == "/-/order":
            writer.write(self.order(json.loads(await read_body(reader, headers))))
        else:
            return await self.stream(headers, reader, writer)
        await writer.drain()
        return True

    def order(self, body):
        if body.get("fencing_token", 0) < self.fence:
            return json_answer(412, {})
        if body.get("expect", self.orders) != self.orders:
            return json_answer(409, {})
        self.fence = body.get("fencing_token", self.fence)
        if (body["from"], body["target"]) == self.held:
            return json_answer(200, {})
        self.orders += 1
        self.held = (body["from"], body["target"])
        return json_answer(202, {})

    def holds_path(self, headers):
        """The engine at fault if the path of a request isn't one of layers that are held."""
        hops = headers.get("X-Hop-Count")
        for hop in hops.split(",") if hops else [f"{self.address}=0-{LAYERS}"]:
            address, _, span = hop.partition("=")
            begin, end = (int(part) for part in span.split("-"))
            engine = self.peers.get(address)
            if not engine or begin < engine.held[0] or end > engine.held[1]:
                return address
        return None

    peers = {}

    def stamp(self, headers):
        return f"3e1b.07.{self.name}.{headers.get('X-Attempt-Id')}"

    async def stream(self, headers, reader, writer):
        await read_body(reader, headers)
        if at_fault := self.holds_path(headers):
            writer.write(answer(421, b"", [("X-Attempt-Id", headers.get("X-Attempt-Id", "")),
                                           ("At-Server", at_fault)]))
            await writer.drain()
            return True
        if self.fault and (coroutine := self.fault(self, headers, writer)):
            return await coroutine
        self.ran(headers, "a sound stream")
        await self.send_stream(headers, writer, [])
        return True

    async def send_stream(self, headers, writer, extra, stamped=True):
        """A whole stream of events, with further header fields."""
        fields = [("X-Attempt-Id", headers.get("X-Attempt-Id", ""))]
        if stamped:
            fields.append(("X-Response-Stamp", self.stamp(headers)))
        fields += [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")] + extra
        writer.write(head_text("HTTP/1.1 200 OK", fields))
        self.running += 1
        try:
            for event in events_of(headers):
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                await asyncio.sleep(self.event_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1


def events_of(headers):
    """The events that a request's answer consists of, after its Last-Event-Id."""
    count = int(headers.get("X-Token-Counts").split(",")[1])
    first = int(headers.get("Last-Event-Id") or 0) + 1
    return [f"id: {n}\ndata: token {n} of {headers.get('X-Attempt-Id')}\n\n".encode()
            for n in range(first, count + 1)]


class Desk(Endpoint):
    """A server of the plain service."""

    service = "wuno96b"

    def __init__(self, ip, name, zone, record, work_s=0.015):
        super().__init__(ip, name, zone, record)
        self.work_s = work_s
        # Fault: as for engines.
        self.fault = None

    async def work(self, method, target, headers, reader, writer):
        body = await read_body(reader, headers)
        if target == "/healthz":
            writer.write(answer(200, b"", [("X-Instance-Id", self.name)]))
            await writer.drain()
            return True
        if self.fault and (coroutine := self.fault(self, method, target, headers, body, writer)):
            return await coroutine
        self.ran(headers, f"{method} {target} with {len(body)} bytes")
        await asyncio.sleep(self.work_s)
        writer.write(self.sound_answer(headers))
        await writer.drain()
        return True

    def sound_answer(self, headers, extra=()):
        name = headers.get("X-Attempt-Id", "")
        return answer(200, desk_body(name),
                      [("X-Attempt-Id", name), ("X-Response-Stamp", f"3e1b.07.{self.name}.{name}"),
                       ("Content-Type", "application/octet-stream")] + list(extra))


def desk_body(name):
    return (f"booking {name} " * 60).encode()[:800]


def route(name, prefix, kind, service, **fields):
    base = {"name": name, "host": HOST, "path_prefix": prefix, "route_kind": kind,
            "service": service, "timeout_ms": 20000 if kind == "streaming" else 600,
            "goal_ms": 500 if kind == "streaming" else 100, "priority": 1, "max_attempts": 2,
            "public": False}
    if kind == "streaming":
        base.update({"sticky": True, "resumable": True, "gap_target_ms": 200})
    base.update(fields)
    return base


def config(version, routes=None, tenants=None, limits=None):
    engine = {"slots": 192, "kv_capacity": 100000, "kv_token_bytes": 590000,
              "link_mbps": 480000.0, "stride": 2,
              "models": [{"name": "daka510000", "pace": 1.0, "load_s": 14.0, "warm_s": 1.0}],
              "step_ms": 0.85, "per_seq_ms": 0.00382, "context_per_k": 0.00512,
              "read_per_s": 196000.0, "pairs_per_m": 0.166, "chunk": 512, "report_lag_ms": 200.0,
              "loads_per_s": 0.0, "loads_at_once": 6, "delays": [],
              "usual": {"prompt": 772, "answer": 174}, "layers": LAYERS, "layer_mb": 1750.0,
              "activation_bytes": 29500, "pipe_mbps": 11000.0, "kinds": KINDS}
    return {
        "version": version,
        "routes": routes or [
            route("r-brief", "/brief/", "streaming", Engine.service),
            route("r-book", "/book/", "non_idempotent", Desk.service, max_attempts=1),
            route("r-look", "/look/", "idempotent", Desk.service),
        ],
        "services": [
            {"name": Engine.service, "health_path": "/healthz", "max_conns": 978,
             "protocol": "h1", "tls": False, "engine": engine},
            {"name": Desk.service, "health_path": "/healthz", "max_conns": 110,
             "protocol": "h1", "tls": False},
        ],
        "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                             "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}] if tenants is None
                   else tenants,
    }


class Reply:
    """What a consumer got for one request."""

    def __init__(self):
        self.status = 0
        self.headers = Headers()
        self.body = b""
        # Whether the answer was whole by the rules of HTTP.
        self.complete = False
        self.error = ""

    def describe(self):
        return (f"{self.status or '-'} {'complete' if self.complete else 'incomplete'} "
                f"{len(self.body)} bytes {self.error}".rstrip())


class Channel:
    """A consumer's connection to a gateway."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.reader = self.writer = None

    async def open(self):
        ip, port = self.gateway.front.split(":")
        self.reader, self.writer = await asyncio.open_connection(ip, int(port))

    def close(self):
        if self.writer:
            self.writer.transport.abort()

    async def ask(self, record, name, method, path, fields=(), body=b"", deadline_ms=600,
                  on_data=None, key=KEY):
        reply = Reply()
        headers = [("Host", HOST), ("X-Attempt-Id", name), ("X-Deadline-Ms", str(deadline_ms)),
                   ("Authorization", "Token " + key)] + list(fields)
        if body or method == "POST":
            headers.append(("Content-Length", str(len(body))))
        record.add(f"send     {name} {method} {path} to {self.gateway.name}")
        try:
            if not self.writer:
                await self.open()
            self.writer.write(head_text(f"{method} {path} HTTP/1.1", headers) + body)
            head = await read_head(self.reader)
            if not head:
                raise Incomplete("no answer")
            reply.status = int(head[0].split(" ")[1])
            reply.headers = head[1]
            parts = []

            def take(data):
                parts.append(data)
                reply.body = b"".join(parts)
                if on_data:
                    on_data(data)

            await read_body(self.reader, head[1], to_end=True, on_data=take)
            reply.complete = True
        except (Incomplete, ConnectionError, OSError) as failure:
            reply.error = str(failure)
        record.add(f"answered {name} {reply.describe()}")
        return reply


def stream_fields(count, prompt=760):
    prefix = f"{random.getrandbits(32):x}:40,{random.getrandbits(32):x}:{prompt - 40}"
    return [("X-Model", "daka510000"), ("X-Token-Counts", f"{prompt},{count}"),
            ("X-Prompt-Prefix", prefix)]


class Gateway:
    def __init__(self, name, ip, zone, zones, entrance, folder):
        self.name = name
        self.ip = ip
        self.folder = folder
        self.front, self.ready = f"{ip}:8227", f"{ip}:8220"
        self.settings = os.path.join(folder, name + ".yaml")
        self.process = None
        self.output = None
        self.entrance = entrance
        self.values = {"node_name": name, "zone": zone, "listen.front": self.front,
                       "listen.ready": self.ready, "ip": ip, "internal_ports.0": "7340",
                       "platform.address": entrance.address,
                       **{"bounds." + key: str(value) for key, value in BOUNDS.items()}}
        self.zones = zones

    def render(self):
        with open(os.path.join(ROOT, "deploy", "gateway.yaml"), encoding="utf-8") as file:
            text = file.read()
        text = re.sub(r"\{\{#zones\}\}.*?\{\{/zones\}\}",
                      ",".join(f'"{zone}"' for zone in self.zones), text)
        text = re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda m: self.values[m.group(1)], text)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    async def start(self):
        self.render()
        self.output = open(os.path.join(self.folder, self.name + ".log"), "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["RATTANCART_NODE_FILE"] = self.settings
        self.process = await asyncio.create_subprocess_exec(
            GATEWAY, cwd=ROOT, env=environment, stdout=self.output, stderr=self.output)

    def signal(self, number):
        self.process.send_signal(number)

    async def is_ready(self):
        # deploy/wire.toml maps the platform's GET /-/readyz to this path.
        ip, port = self.ready.split(":")
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(head_text("GET /readyz HTTP/1.1",
                                   [("Host", self.ready), ("Connection", "close")]))
            head = await read_head(reader)
            writer.close()
            return bool(head) and head[0].split(" ")[1] == "200"
        except (OSError, Incomplete):
            return False

    async def stop(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()
        if self.output:
            self.output.close()


class Site:
    """A small deployment: one store, engines, desks and gateways, each at its own address."""

    def __init__(self, folder, engines=4, desks=3, gateways=1, zones=("karratha",)):
        self.folder = folder
        self.temporary = tempfile.mkdtemp(prefix="rattancart-review-")
        self.record = Record(folder)
        self.zones = zones
        # Two numbers of the loopback network, so that runs beside each other don't collide.
        self.net = f"127.{random.randint(60, 250)}.{random.randint(1, 250)}"
        self.store = Store()
        self.entrances = [StoreEntrance(f"{self.net}.{1 + n}", self.store)
                          for n in range(gateways)]
        self.engines = [Engine(f"{self.net}.{10 + n}", f"i-{n:02d}e4b2c9", zones[n % len(zones)],
                               self.record) for n in range(engines)]
        self.desks = [Desk(f"{self.net}.{60 + n}", f"i-{n:02d}d7a1f3", zones[n % len(zones)],
                           self.record) for n in range(desks)]
        self.gateways = []
        self.gateway_count = gateways
        self.beat = None
        self.version = 0

    async def put_config(self, **fields):
        self.version += 7
        await self.store.put("keyed.op", "config",
                             json.dumps(config(self.version, **fields)).encode())
        self.record.add(f"config   version {self.version}")

    async def write_entries(self):
        for endpoint in self.engines + self.desks:
            if endpoint.state:
                await self.store.put("keyed.servers", endpoint.name,
                                     json.dumps(endpoint.entry()).encode())

    async def beats(self):
        while True:
            await asyncio.sleep(1.2)
            await self.write_entries()

    async def start(self):
        if not os.access(GATEWAY, os.X_OK):
            raise CannotRun("target/bin/rattancart-gateway is not built")
        for entrance in self.entrances:
            await entrance.listen()
        for endpoint in self.engines + self.desks:
            await endpoint.listen()
        Engine.peers = {engine.address: engine for engine in self.engines}
        await self.put_config()
        await self.write_entries()
        self.beat = asyncio.create_task(self.beats())
        for number in range(self.gateway_count):
            gateway = Gateway(f"edge-{number + 1}", f"{self.net}.{100 + number}",
                              self.zones[number % len(self.zones)], self.zones,
                              self.entrances[number], self.temporary)
            self.gateways.append(gateway)
            await gateway.start()
        await self.until(self.serves, 30, "the gateways to serve")

    async def serves(self):
        for gateway in self.gateways:
            if not await gateway.is_ready():
                return False
        for gateway in self.gateways:
            channel = Channel(gateway)
            name = f"warm{random.getrandbits(40):010x}"
            fields = stream_fields(3)
            reply = await channel.ask(self.record, name, "POST", "/brief/1", fields,
                                      deadline_ms=5000) if self.engines else None
            channel.close()
            if reply and (reply.status != 200 or not reply.complete):
                return False
        return True

    async def until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.2)
        raise CannotRun(f"gave up waiting for {what}")

    async def stop(self):
        if self.beat:
            self.beat.cancel()
        for gateway in self.gateways:
            await gateway.stop()
        for server in self.entrances + self.engines + self.desks:
            server.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder, play, **options):
    """Plays a case: exits with 1 if it returns broken rules, 0 if none, 2 if it could not run."""

    async def run():
        site = Site(folder, **options)
        # run.sh ends a case that takes too long; its gateways must end with it.
        playing = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
        try:
            await asyncio.wait_for(site.start(), 60)
            broken = await asyncio.wait_for(play(site), 90)
            for line in broken:
                site.record.add("BROKEN   " + line)
            print(f"{len(broken)} breaks" + "".join("\n  " + line for line in broken[:10]))
            return 1 if broken else 0
        except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError) as reason:
            site.record.add(f"the case could not run: {reason!r}")
            print(f"could not run: {reason!r}")
            return 2
        finally:
            await site.stop()

    sys.exit(asyncio.run(run()))
