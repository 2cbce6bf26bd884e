"""The faults of the matrix, each one with its whole course.

A fault is a coroutine that puts itself in force, sets ``scene.in_force`` and
goes on until it has ended.
"""

__all__ = ["FAULTS", "Fault", "pair"]

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from dragonflybank.bench.matrix.cell_run import Scene
from dragonflybank.bench.matrix.client import Job
from dragonflybank.bench.matrix.layout import (
    BILLED,
    FAR_REGION,
    HOME_REGION,
    TABLE,
)
from dragonflybank.config.topology import HostSpec
from dragonflybank.model.topology import VmState
from dragonflybank.model.work import Outcome

# Longer than a lease of 15 s, so that everything held lapses.
PAST_LEASES_S = 17.0
# Longer than a lease with its margin.
OUTAGE_S = 21.0
# Longer than the detection of a dead host (3 s) and the first claims after.
PAST_TAKEOVER_S = 6.0
# The store's time-out is 2 s; slower answers come after the asker gave up.
SLOW_S = 2.5
SLOW_FOR_S = 10.0
LOST_ANSWERS_S = 4.0
CUT_S = 15.0
LATE_S = 10.0
WAVE = 12
ANY_END = frozenset({Outcome.DONE, Outcome.FAILED, Outcome.NOT_RUN})


@attrs.frozen
class Fault:
    """A row of the matrix.

    Attributes:
        name: Name in test names.
        title: Words of the design page.
        strike: The course of the fault.
        two_regions: Whether the deployment needs two regions.
        spoils: Outcomes that billed work may have beside ``done``.
    """

    name: str
    title: str
    strike: Callable[[Scene], Awaitable[None]]
    two_regions: bool = False
    spoils: frozenset[Outcome] = frozenset()


def pair(first: Fault, second: Fault, *, apart_s: float = 0.0) -> Fault:
    """Returns the fault of two faults, the second one some seconds later.

    If they are apart, the second one strikes the host or worker that has
    taken over from the first one's.
    """

    async def strike(scene: Scene) -> None:
        async def second_strike() -> None:
            if apart_s:
                await asyncio.sleep(apart_s)
                scene.strike_successor()
            await second.strike(scene)

        await asyncio.gather(first.strike(scene), second_strike())

    return Fault(
        f"{first.name}_and_{second.name}",
        f"{first.title}, and {second.title}"
        + (" at the successor" if apart_s else " at once"),
        strike,
        first.two_regions or second.two_regions,
        first.spoils | second.spoils,
    )


async def _killed(scene: Scene) -> None:
    scene.world.kill(scene.host)
    scene.in_force.set()


async def _paused(scene: Scene) -> None:
    host = scene.host
    scene.world.pause(host)
    scene.in_force.set()
    await asyncio.sleep(PAST_LEASES_S)
    scene.world.wake(host)


async def _replaced(scene: Scene) -> None:
    place = scene.world.hosts[scene.host].spec
    scene.world.kill(scene.host)
    scene.in_force.set()
    number = len(scene.world.hosts)
    new = HostSpec(f"new{number}", place.region, place.failure_domain)
    await scene.world.start_host(new)
    scene.world.vmlist.remove(place.name)


async def _worker_lost(scene: Scene) -> None:
    worker = scene.worker
    await worker.set_faults(killed=True)
    scene.in_force.set()
    await asyncio.sleep(PAST_TAKEOVER_S)
    await worker.set_faults(killed=False)


async def _worker_paused(scene: Scene) -> None:
    worker = scene.worker
    await worker.set_faults(frozen=True)
    scene.in_force.set()
    await asyncio.sleep(PAST_LEASES_S)
    await worker.set_faults(frozen=False)


async def _worker_sick(scene: Scene) -> None:
    worker = scene.worker
    await worker.set_faults(fails_everything=True)
    scene.in_force.set()
    await asyncio.sleep(PAST_TAKEOVER_S)
    await worker.set_faults(fails_everything=False)


async def _store_down(scene: Scene) -> None:
    await scene.world.store.set_faults(down=True)
    scene.in_force.set()
    await asyncio.sleep(OUTAGE_S)
    await scene.world.store.set_faults(down=False)


async def _store_slow(scene: Scene) -> None:
    await scene.world.store.set_faults(delay_s=SLOW_S)
    scene.in_force.set()
    await asyncio.sleep(SLOW_FOR_S)
    await scene.world.store.set_faults(delay_s=0.0)


async def _answers_lost(scene: Scene) -> None:
    await scene.world.store.set_faults(drop_reply=True)
    scene.in_force.set()
    await asyncio.sleep(LOST_ANSWERS_S)
    await scene.world.store.set_faults(drop_reply=False)


async def _watch_silent(scene: Scene) -> None:
    await scene.world.store.set_faults(silence=True)
    scene.in_force.set()


async def _silent(scene: Scene) -> None:
    world = scene.world
    for server in (world.store, world.vmlist, *world.workers.values()):
        await server.set_faults(silence=True)
    world.relays.silence()
    scene.in_force.set()


async def _cut(scene: Scene) -> None:
    regions = {
        name: host.spec.region for name, host in scene.world.hosts.items()
    }
    scene.world.relays.is_cut = lambda one, other: (
        {regions.get(one), regions.get(other)} == {HOME_REGION, FAR_REGION}
    )
    scene.in_force.set()
    await asyncio.sleep(CUT_S)
    scene.world.relays.is_cut = lambda one, other: False


async def _list_late(scene: Scene) -> None:
    """A worker leaves and says so at once, the list much later."""
    world, worker = scene.world, scene.worker
    world.vmlist.lag_s = LATE_S
    world.vmlist.set_state(worker.name, VmState.LEAVING)
    await worker.set_faults(leaving=True)
    scene.in_force.set()
    await asyncio.sleep(LATE_S)
    await worker.set_faults(leaving=False)
    world.vmlist.lag_s = 0.0
    world.vmlist.set_state(worker.name, VmState.LIVE)


async def _race(scene: Scene) -> None:
    """Three operators apply changes of the same path at once."""
    scene.in_force.set()
    hosts = scene.world.live()
    names = [f"race{n}-{len(scene.world.records())}" for n in range(3)]

    async def one(number: int) -> int:
        name, host = names[number], hosts[number % len(hosts)]
        text = f"stage {name}: set class.{TABLE}.priority = {number + 20}"
        await scene.calls.query(text, name, host=host)
        await staged.wait()
        reply = await scene.calls.query(f"apply {name}", name, host=host)
        return reply["code"]

    staged = asyncio.Barrier(len(names))
    codes = await asyncio.gather(*(one(number) for number in range(3)))
    scene.check(sorted(codes) == [0, 208, 208], f"race ended with {codes}")


async def _wave(scene: Scene) -> None:
    """A dozen jobs are submitted and cancelled at once."""
    scene.in_force.set()
    jobs = [
        Job(f"wave-{n}", (BILLED, TABLE)[n % 2], ANY_END, run_s=3.0)
        for n in range(WAVE)
    ]

    async def one(job: Job) -> None:
        await scene.calls.submit(job)
        await scene.calls.cancel(job)
        await scene.calls.wait(job)

    await asyncio.gather(*(one(job) for job in jobs))


async def _sizes_off(scene: Scene) -> None:
    """Tasks need much more memory and time than declared."""
    scene.in_force.set()
    over = {"memory_mb": 7000}
    jobs = (
        Job("huge-table", TABLE, run_s=2.0, load=over),
        Job(
            "huge-billed",
            BILLED,
            frozenset({Outcome.FAILED}) | scene.fault.spoils,
            run_s=2.0,
            load=over,
        ),
        Job("long-table", TABLE, run_s=12.0, load={"cores": 8}),
    )
    await asyncio.gather(*(scene.calls.job(job) for job in jobs))


async def _never(scene: Scene) -> None:
    """Jobs that no worker of the cell can hold."""
    scene.in_force.set()
    jobs = (
        Job(
            f"never-{wc}",
            wc,
            frozenset({Outcome.NOT_RUN}),
            resources={"cores": 1000, "memory_mb": 1e6},
        )
        for wc in (BILLED, TABLE)
    )
    await asyncio.gather(*(scene.calls.job(job) for job in jobs))


_UNKNOWN = frozenset({Outcome.UNKNOWN})
_FAILED = frozenset({Outcome.FAILED})

KILLED = Fault("killed", "process killed", _killed)
PAUSED = Fault("paused", "process paused past its leases and woken", _paused)
REPLACED = Fault("replaced", "scheduler host replaced", _replaced)
WORKER_LOST = Fault("worker_lost", "worker lost", _worker_lost, spoils=_UNKNOWN)
WORKER_PAUSED = Fault(
    "worker_paused",
    "worker paused past its leases and woken",
    _worker_paused,
    spoils=_UNKNOWN | _FAILED,
)
WORKER_SICK = Fault(
    "worker_sick",
    "worker fails everything it starts",
    _worker_sick,
    spoils=_FAILED,
)
STORE_DOWN = Fault("store_down", "store down long", _store_down)
STORE_SLOW = Fault("store_slow", "store slow", _store_slow)
ANSWERS_LOST = Fault(
    "answer_lost", "store effect with the answer lost", _answers_lost
)
WATCH_SILENT = Fault("watch_silent", "watch gone silent", _watch_silent)
LIST_LATE = Fault("list_late", "VM list late", _list_late)
SILENT = Fault(
    "silent", "connections silent for good while new ones work", _silent
)
CUT = Fault("cut", "regions cut from each other", _cut, two_regions=True)
RACE = Fault("race", "operators racing", _race)
WAVE_FAULT = Fault("wave", "cancellations in waves", _wave)
SIZES = Fault("sizes", "declared sizes and run times far off", _sizes_off)
NEVER = Fault("never", "jobs that can never run", _never)

FAULTS = (
    KILLED,
    PAUSED,
    REPLACED,
    WORKER_LOST,
    WORKER_PAUSED,
    WORKER_SICK,
    STORE_DOWN,
    STORE_SLOW,
    ANSWERS_LOST,
    WATCH_SILENT,
    LIST_LATE,
    SILENT,
    CUT,
    RACE,
    WAVE_FAULT,
    SIZES,
    NEVER,
    pair(KILLED, KILLED, apart_s=PAST_TAKEOVER_S),
    pair(PAUSED, PAUSED, apart_s=PAST_TAKEOVER_S),
    pair(KILLED, STORE_DOWN),
    pair(PAUSED, STORE_DOWN),
    pair(KILLED, ANSWERS_LOST),
    pair(PAUSED, ANSWERS_LOST),
    pair(KILLED, WORKER_LOST),
    pair(KILLED, SILENT),
    pair(PAUSED, STORE_SLOW),
    pair(CUT, STORE_DOWN),
    pair(KILLED, CUT),
)
