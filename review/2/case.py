"""The operator takes the only tenant, and with it the only key, out of the configuration."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import standins as s  # noqa: E402

NEVER_HELD = "zz81kqm3vb0dwe72hyxl"
REQUESTS = 10


async def play(site):
    broken = []

    async def send(phase, key):
        replies = []
        for number in range(REQUESTS):
            channel = s.Channel(site.gateways[number % len(site.gateways)])
            name = f"{phase}{number:02d}"
            replies.append((name, await channel.ask(site.record, name, "POST", "/book/1",
                                                    body=b"crane 7", key=key)))
            channel.close()
        return replies

    for name, reply in await send("before-held-", s.KEY):
        if reply.status != 200:
            raise s.CannotRun(f"{name} was not served before the disruption: {reply.describe()}")
    for name, reply in await send("before-never-", NEVER_HELD):
        if reply.status != 401:
            raise s.CannotRun(f"{name} was not refused before the disruption: {reply.describe()}")

    # A new version in any case; only with the trouble does it hold no tenant any more.
    if s.trouble():
        await site.put_config(tenants=[])
    else:
        await site.put_config()
    # config_apply_ms after the acknowledgement, and a second more.
    await asyncio.sleep(s.BOUNDS["config_apply_ms"] / 1000 + 1)

    await send("after-held-", s.KEY)
    await send("after-never-", NEVER_HELD)
    for desk in site.desks:
        for name in desk.runs:
            if name.startswith("after-never-"):
                broken.append(f"ROUTE: {name} ran at {desk.name}; no configuration held its key")
            if s.trouble() and name.startswith("after-held-"):
                broken.append(f"CONFIG: {name} ran at {desk.name} with a key that the version in "
                              f"force since 3 s does not hold")
    return broken


s.main(HERE, play, engines=0, desks=3, gateways=2)
