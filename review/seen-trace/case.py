"""One consumer sends a request with the method TRACE and a body, while other consumers have
bookings under way on kept channels."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import standins as s  # noqa: E402

CONSUMERS = 10


async def play(site):
    for desk in site.desks:
        desk.work_s = 0.11  # the longest of the sheet
    gateway = site.gateways[0]
    channels = [s.Channel(gateway) for _ in range(CONSUMERS)]
    first = await asyncio.gather(*[
        channel.ask(site.record, f"first{n:02d}", "GET", "/look/1")
        for n, channel in enumerate(channels)])
    if any(reply.status != 200 for reply in first):
        raise s.CannotRun("the first requests on the channels were not served")

    bookings = [asyncio.create_task(channel.ask(site.record, f"book{n:02d}", "POST", "/book/1",
                                                body=b"crane %d" % n))
                for n, channel in enumerate(channels)]
    ran = set()
    for _ in range(100):
        ran = {name for desk in site.desks for name in desk.runs if name.startswith("book")}
        if len(ran) == CONSUMERS:
            break
        await asyncio.sleep(0.001)
    if len(ran) < CONSUMERS or any(booking.done() for booking in bookings):
        raise s.CannotRun(f"only {len(ran)} of the bookings were under way at once")

    other = s.Channel(gateway)
    body = b"abc" if s.trouble() else b""
    replies = (await asyncio.gather(other.ask(site.record, "trace", "TRACE", "/look/1", body=body),
                                    *bookings))[1:]
    other.close()
    await asyncio.sleep(0.5)
    ended = gateway.process.returncode
    site.record.add("the gateway's process " + ("runs" if ended is None else f"ended with {ended}"))
    lost = [f"book{n:02d}" for n, reply in enumerate(replies)
            if not reply.complete and f"book{n:02d}" in ran]
    # More than three break the rule.
    if len(lost) <= 3:
        return []
    return [f"LOST: {name} ran at a desk and its kept channel was closed without an answer"
            for name in lost]


s.main(HERE, play, engines=0, desks=3, gateways=1)
