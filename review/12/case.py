"""A stream goes on elsewhere while the replica before still generates it."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import world as stand_ins  # pylint: disable=wrong-import-position

PATIENCE_S = 7.2  # Four times the objective of 1,800 ms.
EVENTS = 100  # 10 s at 0.1 s an event.
RESET_AT = 20  # Event after which the answer is lost.
WINDOW_S = 4.0
SHORT_PER_S = 30
MAX_LOST_SHARE = 0.05
MAX_OVERLAP_S = 0.4


class Engine(stand_ins.Engine):
    """Notes when it begins and ends to work on each request."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.work = []  # Id, first event, begin and end of each run.

    async def _generate(self, request, writer, closed, begin, backup):
        run = [request.id, begin, time.monotonic(), None]
        self.work.append(run)
        try:
            await super()._generate(request, writer, closed, begin, backup)
        finally:
            run[3] = time.monotonic()


async def case(world, is_trouble):
    engines = [
        Engine(world, f"i-engine{number}", "redatores", 24)
        for number in range(3)
    ]
    await world.start(stand_ins.configuration(), engines)

    def ask(number, path, prompt, events, **fields):
        headers = [("X-Model", "m"), ("X-Token-Usage", f"{prompt},{events * 4}"),
                   ("X-Prefix-Hash",
                    f"5c1e07a2:79,{number + 16:08x}:{prompt - 79}")]
        return asyncio.create_task(
            world.ask(world.daemons[number % 3], f"{path}/{events}",
                      headers=headers, **fields))

    draft = ask(0, "/long", 3079, EVENTS, patience_s=PATIENCE_S)
    await asyncio.sleep(0.5)
    began_s = time.monotonic()
    first = next(engine for engine in engines if engine.running)
    draft_id = next(iter(first.running))
    # Most replicas drop a request when its connection closes; this one loses
    # the answer of a request that it runs.
    first.drops_on_close = False
    if is_trouble:
        first.cut_at[draft_id] = RESET_AT
    tasks = []
    while time.monotonic() < began_s + WINDOW_S:
        tasks.append(
            ask(len(tasks) + 1, "/short", 400, 4, deadline_ms=6000,
                patience_s=6.0))
        await asyncio.sleep(1 / SHORT_PER_S)
    answers = await asyncio.gather(*tasks, draft)
    await asyncio.sleep(1)
    ran = sum(run[2] < began_s + WINDOW_S for run in first.work)
    world.record.write("dose", replica=first.name, ran=ran,
                       lost=int(is_trouble),
                       is_within=is_trouble / ran <= MAX_LOST_SHARE)
    if is_trouble / ran > MAX_LOST_SHARE:
        raise RuntimeError("too few requests beside the one that is lost")
    broken = False
    runs = [(engine.name, *run) for engine in engines for run in engine.work]
    for name, request_id, after, begin_s, _ in runs:
        for other, other_id, _, other_begin_s, end_s in runs:
            if (after and other_id == request_id and other != name and
                    other_begin_s < begin_s and
                    end_s > begin_s + MAX_OVERLAP_S):
                broken = True
                world.record.write(
                    "TWICE: goes on while the replica before works on it",
                    id=request_id, before=other, after=name,
                    after_event=after,
                    both_worked_s=round(end_s - begin_s, 2))
    world.record.write("answers", count=len(answers),
                       complete=sum(item.is_complete for item in answers))
    return broken


if __name__ == "__main__":
    stand_ins.run(case, FOLDER)
