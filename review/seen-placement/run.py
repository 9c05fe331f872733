"""The store returns from a copy in which the group of placement owners has an earlier generation."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from standins import ModelEngine, call, config, now, run

GROUP = "rattancart-east"
COPY_AGE_S = 4.0  # The copy is some seconds old.
AWAY_S = 1.0  # The store is away for a moment.
BACK_S = 3.0  # A crashed engine is back, empty, after so long.
RECOVER_S = 12.0  # recover_s


async def brief(site, gateway, number, results):
    ident = f"{number:016x}"
    sent = now()
    headers = [("X-Model", "m0"), ("X-Token-Counts", "600,20"),
               ("X-Prompt-Prefix", f"0a11ce00:40,{number:08x}:560")]
    result = await call(gateway.front, "POST", "/brief/1", ident, 20000, headers, b"x" * 50)
    results.append((sent, result.status == 200 and result.complete))
    site.record.add(f"{gateway.name} answers {ident}: {result.status}, {result.events} events")


async def owners(site):
    names = []
    for gateway in site.gateways:
        if (await gateway.state()).get("owns_placement"):
            names.append(gateway.name)
    return names


async def drill(site, engines):
    """The store returns from a copy; meanwhile it has dealt the partitions anew."""
    site.store.copy()
    await asyncio.sleep(0.5)
    group = site.store.groups[GROUP]
    group.rebalance()
    site.record.add(f"store: all partitions are dealt anew; generation {group.generation}, "
                    f"holder {group.holder}")
    await asyncio.sleep(COPY_AGE_S - 0.5)
    if site.trouble:
        site.store.away = True
        site.record.add("store: away")
        await asyncio.sleep(AWAY_S)
        site.store.return_from_copy()
        # What the operator and the engines wrote is written again.
        site.store.put("keyed.op", "config", config(7))
        for engine in engines:
            engine.write_entry()
    await asyncio.sleep(4)
    site.record.add(f"owners: {await owners(site)}")


async def scenario(site):
    engines = []
    for _ in range(6):  # One of six crashes at a time: share 0.17.
        engines.append(await site.add(ModelEngine(site.store, site.record, "east")))
    site.store.put("keyed.op", "config", config(7))
    for _ in range(3):
        await site.add_gateway()
        await asyncio.sleep(0.15)  # All machines start within 0.3 s of each other.
    await site.ready()
    await site.until("all engines hold the model",
                     lambda: all(each.held == (0, 80) for each in engines), 20)
    await asyncio.sleep(5)
    results, tasks = [], []
    end = now() + 3600

    async def load():
        number = 0
        while now() < end:
            for gateway in site.gateways:
                number += 1
                tasks.append(asyncio.create_task(brief(site, gateway, number, results)))
            await asyncio.sleep(0.25)

    loading = asyncio.create_task(load())
    site.record.add(f"owners: {await owners(site)}")
    await drill(site, engines)
    # Engines crash one after the other, each a few seconds after the one before is back.
    for engine in engines:
        site.record.add(f"engine {engine.ident} crashes")
        engine.crash()
        await asyncio.sleep(BACK_S)
        await engine.start()
        site.record.add(f"engine {engine.ident} is back, empty")
        await asyncio.sleep(2)
    back_at = now()
    await asyncio.sleep(RECOVER_S + 8)
    site.record.add(f"owners: {await owners(site)}")
    end = now()
    await loading
    await asyncio.gather(*tasks)
    late = [served for sent, served in results if sent > back_at + RECOVER_S]
    site.record.add(f"{sum(late)} of {len(late)} requests served that were sent later than "
                    f"{RECOVER_S} s after the last engine was back")
    if 4 * sum(late) >= len(late):
        return None
    return (f"RECOVER: {sum(late)} of {len(late)} requests served that were sent later than "
            f"{RECOVER_S} s after everything was back")


run(__file__, scenario)
