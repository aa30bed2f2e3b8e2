"""A planned stop, and checks that two engines preempt for some seconds."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

import world as stand_ins  # noqa: E402  pylint: disable=wrong-import-position

GRACE_S = 8.0
# Clients abandon a check after a gap of 4 x 1,500 ms.
PREEMPTED_S = 3.0
CHECKS = 24
EVENTS = 14
ENGINES_PREEMPTING = 2


async def case(world, trouble):
    await world.start(engines=6, desks=3, daemons=3)
    stopped = world.daemons[0]
    names = [f"check-{number:04}" for number in range(CHECKS)]
    clients = [
        asyncio.create_task(
            stand_ins.ask(world, stopped, stand_ins.CHECK, name,
                          f"events={EVENTS};".encode(), 6000)) for name in names
    ]
    while sum(run.events >= 3
              for engine in world.engines
              for run in engine.runs.values()) < CHECKS:
        await asyncio.sleep(0.01)
    stop_s = world.record.now()
    if trouble:
        stopped.process.send_signal(signal.SIGTERM)
        world.record.add("SIGTERM to", stopped.name)
        engines = sorted(world.engines,
                         key=lambda item: -len(item.runs))[:ENGINES_PREEMPTING]
        for engine in engines:
            for name in list(engine.runs):
                engine.preempted[name] = asyncio.Event()
                world.record.add("replica", engine.id, "preempts", name)
        await asyncio.sleep(PREEMPTED_S)
        for engine in engines:
            for name, event in engine.preempted.items():
                event.set()
                world.record.add("replica", engine.id, "goes on with", name)
            engine.preempted.clear()
    answers = await asyncio.gather(*clients)
    cut = [
        name for name, answer in zip(names, answers) if not answer.is_complete
    ]
    world.record.add("cut at", stopped.name, ":", cut)
    if not trouble:
        return ["requests were cut without a disruption"] if cut else []
    if cut and world.record.now() < stop_s + GRACE_S + 1:
        return [
            f"LOST: {len(cut)} requests of {stopped.name}, which were passed "
            "on, ended without a complete answer after its SIGTERM; no replica "
            f"broke off, and {PREEMPTED_S:g} s of silence are no reason"
        ]
    return []


stand_ins.run(case, HERE)
