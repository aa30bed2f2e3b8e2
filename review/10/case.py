"""A check whose engines go dark when they begin to run it comes again."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

import world as stand_ins  # noqa: E402  pylint: disable=wrong-import-position

# Shorter than srv_crash with how = "dark" takes: one engine at a time.
DARK_S = 2.0
STABILITY_S = 3.0
MAX_RETRIES = 3
TIMES = 13


async def case(world, trouble):
    await world.start(engines=6, desks=3, daemons=3)
    crashes, tasks = [], set()

    def began(replica, request_id, body):
        if trouble and b"poison" in body:
            asyncio.get_running_loop().call_soon(crash, replica, request_id)

    def crash(replica, request_id):
        replica.go_dark(f"it begins to run {request_id}")
        crashes.append(world.record.now())
        tasks.add(asyncio.create_task(replica.restart(DARK_S)))

    world.on_begin = began
    answers = []
    for number in range(TIMES):
        answer = await stand_ins.ask(world, world.daemons[number % 3],
                                     stand_ins.CHECK, f"poison-{number:04}",
                                     b"events=12;poison", 6000)
        answers.append(answer)
        await asyncio.sleep(0.5)
    arrivals = [item[0] for item in world.arrivals if "poison" in item[1]]
    world.record.add("the request reached replicas", len(arrivals),
                     "times and crashed", len(crashes))
    if not trouble:
        return [
            f"request {number} got no complete answer"
            for number, answer in enumerate(answers)
            if not answer.is_complete
        ]
    if len(crashes) < 3:
        return []
    late = [at_s for at_s in arrivals[1:] if at_s > crashes[2] + STABILITY_S]
    world.record.add("retries later than 3 s after its third crash:", len(late))
    if len(late) > MAX_RETRIES:
        return [
            f"BUDGET: {len(late)} retries of a request later than "
            f"{STABILITY_S:g} s after it had crashed its third replica; "
            f"{len(crashes)} crashes"
        ]
    return []


stand_ins.run(case, HERE)
