"""Consumers that book through all gateways, and the check of the rule on engines that leave."""

import asyncio

from standins import BOUNDS, call, now

DRAIN_S = BOUNDS["drain_ms"] / 1000


class Attempt:
    def __init__(self, gateway, ident):
        self.gateway, self.ident, self.sent = gateway, ident, now()
        self.answered, self.result = None, None


class Bookings:
    """Ten bookings a second at each gateway, until they are stopped."""

    def __init__(self, site):
        self.site = site
        self.attempts = []
        self.stopped = False
        self.task = asyncio.create_task(self.run())

    async def run(self):
        tasks, number = [], 0
        while not self.stopped:
            for gateway in self.site.gateways:
                number += 1
                tasks.append(asyncio.create_task(self.book(gateway, f"{number:016x}")))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)

    async def book(self, gateway, ident):
        attempt = Attempt(gateway, ident)
        self.attempts.append(attempt)
        attempt.result = await call(gateway.front, "POST", "/book/1", ident, 600)
        attempt.answered = now()
        leaving = " Server-Leaving" if attempt.result.headers.get("Server-Leaving") else ""
        self.site.record.add(f"{gateway.name} answers {ident}: {attempt.result.status}{leaving}")

    async def stop(self):
        self.stopped = True
        await self.task

    def late_at(self, desk):
        """Bookings that reached the desk from a gateway and were sent later than drain_ms after
        that gateway had passed on an answer with Server-Leaving."""
        ran, late = set(desk.ran), []
        for gateway in self.site.gateways:
            mine = [each for each in self.attempts if each.gateway is gateway]
            told = [each.answered for each in mine if each.result.headers.get("Server-Leaving")]
            self.site.record.add(f"{gateway.name} passed on {len(told)} answers with Server-Leaving")
            if told:
                late += [each for each in mine
                         if each.sent > min(told) + DRAIN_S and each.ident in ran]
        return late
