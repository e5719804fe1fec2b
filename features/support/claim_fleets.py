"""Simulates claims through several entry hosts and one platform, on virtual time."""

import asyncio
import random
from dataclasses import dataclass

from returns.result import Failure, Success

from features.support.fleets import FakePlatform
from sassafrasgrade.answers import RunRecord
from sassafrasgrade.claims import ClaimController, create_claim
from sassafrasgrade.errors import PlatformUnavailable
from sassafrasgrade.platforms import Versioned
from sassafrasgrade.systems.claims import ClaimVerdict
from sassafrasgrade.tools.standins.clusters import ClusterPlan

LINK_DELAY_S = 0.001
# Time that the platform takes for each call, and that the call takes on its way.
CALL_S = 0.002
DELAY_S = 0.002
# Name of the entry host that all others ask to write their claims.
WRITER = "entry-4"
SERVICE_S = 0.01
DEADLINE_S = 2.0
# Claims that a caller makes for a request until one is granted.
ATTEMPTS = 4


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer instead of waiting."""

    def __init__(self):
        super().__init__()
        self._virtual_s = 1000.0
        self._wait = self._selector.select
        self._selector.select = self._skip

    def time(self):
        """Returns the virtual time in seconds."""
        return self._virtual_s

    def _skip(self, timeout):
        self._virtual_s += max(0.0, timeout or 0.0)
        return self._wait(0)


async def pause(seconds):
    """Waits for a time of the loop's clock."""
    loop = asyncio.get_running_loop()
    future = loop.create_future()
    loop.call_later(seconds, future.set_result, None)
    await future


class LoopTimers:
    """Timer service with the clock of a loop."""

    def __init__(self, loop):
        self.now = self.wall_time = loop.time


class BusyPlatform(FakePlatform):
    """Platform that handles one call after another, and is down for a time.

    Args:
        timers: ``LoopTimers``.
        call_s: Time that each call takes, in seconds.
        down_from: Clock at which it starts to refuse calls.
        down_until: Clock at which it answers again.
    """

    def __init__(self, timers, call_s, down_from, down_until):
        super().__init__(timers, random.Random(1))
        self._call_s = call_s
        self._down_from, self._down_until = down_from, down_until
        self._free_at = 0.0

    async def handle(self, method, *arguments):
        """Handles a call when its turn has come."""
        now = self._timers.now()
        self._free_at = max(now, self._free_at) + self._call_s
        await pause(self._free_at - now)
        if self._down_from <= self._timers.now() < self._down_until:
            return Failure(PlatformUnavailable("it is down", ""))
        return await method(*arguments)

    async def list_values(self, prefix):
        """Lists the values under a prefix."""
        return Success(
            {
                key: Versioned(value, revision)
                for key, (value, revision, _) in self.values_by_key.items()
                if key.startswith(prefix)
            }
        )


class PlatformPath:
    """The platform as one entry host reaches it.

    Args:
        platform: ``BusyPlatform``.
        delay_s: Time that a call takes on its way, there and back, in seconds.
    """

    def __init__(self, platform, delay_s):
        self._platform = platform
        self._delay_s = delay_s

    def __getattr__(self, name):
        method = getattr(self._platform, name)

        async def call(*arguments):
            await pause(self._delay_s / 2)
            answer = await self._platform.handle(method, *arguments)
            await pause(self._delay_s / 2)
            return answer

        return call


class DirectLinks:
    """Links of one entry host to all others, of which one is the writer."""

    def __init__(self, name, controllers_by_name):
        self._name = name
        self._controllers_by_name = controllers_by_name

    def live_names_by_data_centre(self):
        """Lists the writer only, so that it is chosen for all shards."""
        return {"all": [WRITER]}

    def send(self, name, message):
        """Sends a request to another entry host."""
        self._call_later(self._serve, name, message)
        return True

    def answer(self, name, message):
        """Answers a request of another entry host."""
        self._call_later(self._controllers_by_name[name].handle_reply, message)

    def _serve(self, name, message):
        serving = self._controllers_by_name[name].serve(message, self._name)
        asyncio.ensure_future(serving)

    def _call_later(self, *call):
        asyncio.get_running_loop().call_later(LINK_DELAY_S, *call)


@dataclass(frozen=True)
class ClaimOutcome:
    """Last verdict on a request; times in seconds from the start."""

    began_at: float
    verdict: ClaimVerdict


class ClaimFleet:
    """Entry hosts that claim a key for each request of a steady load.

    Attributes:
        outcomes: ``ClaimOutcome`` of each request.
        longest_wait_s: Longest time until one claim was decided, in seconds.

    Args:
        rate: Requests a second.
        writer_delay_s: Time that a call of the writer to the platform takes on its
            way, in seconds.
        outage: Start and end of the platform's outage, in seconds from the start.
        duration_s: Duration of the load.
    """

    def __init__(self, rate, writer_delay_s, outage, duration_s):
        self.outcomes = []
        self.longest_wait_s = 0.0
        self._rate = rate
        self._duration_s = duration_s
        self._loop = VirtualTimeLoop()
        self._begin = self._loop.time()
        self._timers = LoopTimers(self._loop)
        plan = ClusterPlan("authority")
        self._route = plan.configuration.routes_by_name["payments-deposit"]
        hosts = [plan.settings(host) for host in plan.entry_hosts]
        down_from, down_until = (self._begin + time_s for time_s in outage)
        platform = BusyPlatform(self._timers, CALL_S, down_from, down_until)
        controllers = {}
        for settings in hosts:
            name = settings.host_name
            delay_s = writer_delay_s if name == WRITER else DELAY_S
            controllers[name] = ClaimController(
                settings,
                self._timers,
                PlatformPath(platform, delay_s),
                DirectLinks(name, controllers),
            )
        self._controllers = list(controllers.values())

    def run(self):
        """Runs the load until every claim is decided."""
        try:
            self._loop.run_until_complete(self._run())
        finally:
            for task in asyncio.all_tasks(self._loop):
                task.cancel()
            self._loop.run_until_complete(pause(0.0))
            self._loop.close()

    async def _run(self):
        count = int(self._duration_s * self._rate)
        await asyncio.gather(*(self._charge(number) for number in range(count)))

    async def _charge(self, number):
        await pause(number / self._rate)
        controller = self._controllers[number % len(self._controllers)]
        first_at = self._timers.now()
        for _ in range(ATTEMPTS):
            verdict = await self._claim_once(controller, f"key-{number}")
            if verdict is ClaimVerdict.GRANTED:
                break
        self.outcomes.append(ClaimOutcome(first_at - self._begin, verdict))

    async def _claim_once(self, controller, key):
        claim = create_claim(self._route, key)
        began_at = self._timers.now()
        verdict, _ = await controller.claim(claim, DEADLINE_S)
        self.longest_wait_s = max(self.longest_wait_s, self._timers.now() - began_at)
        if verdict is ClaimVerdict.GRANTED:
            await pause(SERVICE_S)
            controller.settle(claim, RunRecord(has_run=True), None)
        return verdict

    def granted_share(self, from_s):
        """Returns the share of the claims since a time that were granted."""
        verdicts = [one.verdict for one in self.outcomes if one.began_at >= from_s]
        return verdicts.count(ClaimVerdict.GRANTED) / len(verdicts)
