"""The store turns one gateway away for three seconds. Three seconds later, a desk is replaced as
planned: its entry is removed, it serves for drain_ms and a little longer, and then exits."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import standins as s  # noqa: E402

ROUNDS = 9
AWAY_S = 3.0
# Longer than the stable window, so that the store counts as stable when it acknowledges the removal.
LEAVES_AFTER_S = 3.05
STABLE_WINDOW_S = 3.0
DRAIN_S = s.BOUNDS["drain_ms"] / 1000
# How much longer than drain_ms a desk serves after its entry was removed.
LITTLE_LONGER_S = 0.4
DESKS_AT_ONCE = 3
CONSUMERS = 6
PAUSE_S = 0.02


async def play(site):
    gateway = site.gateways[0]
    for desk in site.desks[DESKS_AT_ONCE:]:
        desk.state = ""
        await site.store.put("keyed.servers", desk.name, None)
    broken, lost = [], []
    arrivals = []
    stop = asyncio.Event()

    original = s.Desk.work

    async def work(desk, method, target, headers, reader, writer):
        arrivals.append((time.monotonic(), desk, headers.get("X-Attempt-Id", "")))
        return await original(desk, method, target, headers, reader, writer)

    s.Desk.work = work

    async def consumer(number):
        count = 0
        channel = s.Channel(gateway)
        while not stop.is_set():
            count += 1
            name = f"c{number}-{count:05d}"
            reply = await channel.ask(site.record, name, "POST", "/book/1", body=b"crane 7")
            if reply.status == 502 or not reply.complete:
                lost.append(name)
            if not reply.complete:
                channel.close()
                channel = s.Channel(gateway)
            await asyncio.sleep(PAUSE_S)
        channel.close()

    consumers = [asyncio.create_task(consumer(n)) for n in range(CONSUMERS)]
    await asyncio.sleep(2)
    for turn in range(ROUNDS):
        if s.trouble():
            gateway.entrance.silent_until = time.monotonic() + AWAY_S
            site.record.add(f"the store turns {gateway.name} away")
        await asyncio.sleep(AWAY_S)
        back = time.monotonic()
        site.record.add(f"the store answers {gateway.name} again")
        await asyncio.sleep(LEAVES_AFTER_S)
        desk, successor = site.desks[turn], site.desks[turn + DESKS_AT_ONCE]
        successor.state = "ready"
        await site.store.put("keyed.servers", successor.name,
                             json.dumps(successor.entry()).encode())
        desk.state = ""
        await site.store.put("keyed.servers", desk.name, None)
        gone = time.monotonic()
        site.record.add(f"the entry of {desk.name} is removed")
        await asyncio.sleep(DRAIN_S + LITTLE_LONGER_S)
        desk.close()
        site.record.add(f"{desk.name} exits")
        for at, where, name in arrivals:
            # The gateway is in touch again once the store has answered it for stable_window_ms.
            in_touch = not s.trouble() or at > back + STABLE_WINDOW_S
            if where is desk and at > gone + DRAIN_S and in_touch:
                broken.append(f"DRAIN: {name} reached {desk.name} {at - gone:.3f} s after the "
                              f"store had acknowledged that it is gone")
    stop.set()
    await asyncio.gather(*consumers)
    site.record.add(f"{len(arrivals)} arrivals, {len(broken)} of them too late; {len(lost)} "
                    f"bookings ended with 502 or without an answer: {' '.join(lost)}")
    return broken


s.main(HERE, play, engines=0, desks=ROUNDS + DESKS_AT_ONCE, gateways=3)
