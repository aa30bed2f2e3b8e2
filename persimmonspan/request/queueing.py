"""Queue of requests: order, ageing, fair sharing and refusal under overload.

Requests wait in lanes. A lane belongs to a service, workspace and kind, and is
first in, first out. Lanes of the short and of the long class are ordered
separately by a score: worth per expected work, multiplied by a factor for
ageing, which grows as the time to start runs out, and by a factor for fairness,
which falls when the workspace recently got more than its share. Other
workspaces can thus use an unused share, and a workspace with many requests
cannot starve one with few.

A request that starts after its latest start would probably not end by its
deadline, so it is refused at that time. It is refused on arrival if its lane is
longer than the number of requests that the lane can start by then at its recent
rate. A calendar of short intervals holds the latest starts, so that no event
scans the queue.

References:
    Demers, Keshav, Shenker, "Analysis and Simulation of a Fair Queueing
    Algorithm", SIGCOMM 1989.
    Brown, "Calendar Queues", Communications of the ACM 31, 1988.
"""

import bisect
import collections
import enum
import math
import random
import typing

import immutables

from persimmonspan.process import load_view
from persimmonspan.request import events

LaneKey = tuple[str, str, str]  # Service, workspace, kind.


class Group(enum.Enum):
    """Class of requests whose lanes are ordered together."""

    SHORT = 0
    LONG = 1


OrderKey = tuple[str, Group]

_CALENDAR_BUCKET_S = 0.1
_RATE_DECAY_S = 10.0
# Requests that a lane may hold at any rate, so that an idle lane does not
# refuse its first requests.
_MIN_LANE_CAPACITY = 4
# A lane may be longer by this factor than its recent rate allows: rates are
# measured over a short time, and load peaks end.
_LANE_SLACK_FACTOR = 1.5
_USAGE_DECAY_S = 30.0
_FAIRNESS_EXPONENT = 1.0
_FAIRNESS_FLOOR = 0.05
_WORK_EXPONENT = 0.7
_AGEING_FACTOR = 1.0
_RETRY_AFTER_RANGE_S = (1.0, 60.0)
_RETRY_JITTER = 0.25


class QueuedRequest(typing.NamedTuple):
    """A request that waits or runs, and what the scheduler predicts of it."""

    arrived: events.Arrived
    arrived_s: float
    latest_start_s: float
    is_long: bool
    profile: load_view.Profile
    work: float
    worth: float
    tried_targets: tuple[str, ...] = ()
    is_not_run: bool = True  # No attempt can have run.
    slot: int = 0
    is_repeat: bool = False  # The caller repeats a failed request.

    @property
    def lane_key(self) -> LaneKey:
        """Returns the lane of the request."""
        arrived = self.arrived
        return arrived.service, arrived.workspace, arrived.kind

    @property
    def order_key(self) -> OrderKey:
        """Returns the service and group in which its lane is ordered."""
        return (self.arrived.service,
                Group.LONG if self.is_long else Group.SHORT)


class Lane(typing.NamedTuple):
    """Waiting requests by slot; the first is at `head`."""

    items: immutables.Map[int, str] = immutables.Map()
    head: int = 0
    tail: int = 0


class DecayingAmount(typing.NamedTuple):
    """An amount that decays exponentially."""

    amount: float = 0.0
    at_s: float = 0.0

    def value_at(self, now_s: float, decay_s: float) -> float:
        """Returns the amount at `now_s`."""
        return self.amount * math.exp((self.at_s - now_s) / decay_s)


class Queue(typing.NamedTuple):
    """Waiting requests, and recent rates and usage of dispatched ones."""

    requests: immutables.Map[str, QueuedRequest] = immutables.Map()
    lanes: immutables.Map[LaneKey, Lane] = immutables.Map()
    ranked_lanes: immutables.Map[OrderKey, tuple[tuple[float, LaneKey],
                                                 ...]] = immutables.Map()
    calendar: immutables.Map[int, tuple[str, ...]] = immutables.Map()
    next_calendar_bucket: int | None = None
    rates: immutables.Map[LaneKey, DecayingAmount] = immutables.Map()
    usage: immutables.Map[tuple[str, str], DecayingAmount] = immutables.Map()
    shares: immutables.Map[str, float] = immutables.Map()


def push(queue: Queue,
         item: QueuedRequest,
         now_s: float,
         is_first: bool = False) -> Queue:
    """Adds a request to its lane; `is_first`, for a retry, at the front."""
    key = item.lane_key
    lane = queue.lanes.get(key, Lane())
    slot = lane.head - 1 if is_first else lane.tail
    item = item._replace(slot=slot)
    request_id = item.arrived.request_id
    was_empty = not lane.items
    lane = Lane(lane.items.set(slot, request_id),
                slot if is_first or was_empty else lane.head,
                lane.tail if is_first and not was_empty else slot + 1)
    bucket = int(item.latest_start_s / _CALENDAR_BUCKET_S)
    current_bucket = int(now_s / _CALENDAR_BUCKET_S)
    next_bucket = queue.next_calendar_bucket
    queue = queue._replace(requests=queue.requests.set(request_id, item),
                           lanes=queue.lanes.set(key, lane),
                           calendar=queue.calendar.set(
                               max(bucket, current_bucket),
                               queue.calendar.get(max(bucket, current_bucket),
                                                  ()) + (request_id,)),
                           next_calendar_bucket=current_bucket
                           if next_bucket is None else next_bucket)
    if was_empty or is_first:
        queue = _rescore(queue, key, item, now_s)
    return queue


def remove(queue: Queue, request_id: str) -> Queue:
    """Removes a request."""
    item = queue.requests[request_id]
    key = item.lane_key
    lane = queue.lanes[key]
    items = lane.items.delete(item.slot)
    requests = queue.requests.delete(request_id)
    if not items:
        return queue._replace(requests=requests, lanes=queue.lanes.delete(key))
    head = lane.head
    while head not in items:
        head += 1
    return queue._replace(requests=requests,
                          lanes=queue.lanes.set(key,
                                                Lane(items, head, lane.tail)))


def find_next(queue: Queue, order: OrderKey, skip: int) -> QueuedRequest | None:
    """Returns the head of the best-scored lane after skipping `skip` lanes."""
    for _, key in queue.ranked_lanes.get(order, ()):
        lane = queue.lanes.get(key)
        if lane is None:
            continue
        if skip == 0:
            return queue.requests[lane.items[lane.head]]
        skip -= 1
    return None


def remove_and_rescore(queue: Queue, item: QueuedRequest,
                       now_s: float) -> Queue:
    """Removes the head of a lane and rescores the lane."""
    queue = remove(queue, item.arrived.request_id)
    lane = queue.lanes.get(item.lane_key)
    if lane is not None:
        head = queue.requests[lane.items[lane.head]]
        queue = _rescore(queue, item.lane_key, head, now_s)
    return queue


def record_dispatch(queue: Queue, item: QueuedRequest, now_s: float) -> Queue:
    """Records a dispatch in rates and usage, whether the request waited or not.
    """
    rate = queue.rates.get(item.lane_key, DecayingAmount())
    rates = queue.rates.set(
        item.lane_key,
        DecayingAmount(rate.value_at(now_s, _RATE_DECAY_S) + 1, now_s))
    return queue._replace(rates=rates,
                          usage=_charge_usage(queue, item, item.work, now_s))


def demands_by_service(queue: Queue, now_s: float) -> tuple[events.Demand, ...]:
    """Returns dispatches per second and waiting requests, by service."""
    rates: dict[str, float] = {}
    for (service, _, _), rate in queue.rates.items():
        rates[service] = (rates.get(service, 0.0) +
                          rate.value_at(now_s, _RATE_DECAY_S) / _RATE_DECAY_S)
    waiting = collections.Counter({service: 0 for service in rates})
    for (service, _, _), lane in queue.lanes.items():
        waiting[service] += len(lane.items)
    return tuple(
        events.Demand(service, round(rates.get(service, 0.0), 1), count)
        for service, count in waiting.items())


def correct_work(queue: Queue, item: QueuedRequest, work: float,
                 now_s: float) -> Queue:
    """Replaces the predicted work of a request in the usage by its real work.

    Otherwise a workspace with few observations would pay for the uncertainty of
    the prediction with its share.
    """
    return queue._replace(usage=_charge_usage(queue, item, work -
                                              item.work, now_s))


def _charge_usage(
        queue: Queue, item: QueuedRequest, work: float,
        now_s: float) -> immutables.Map[tuple[str, str], DecayingAmount]:
    service, workspace, _ = item.lane_key
    usage = queue.usage
    for name in (workspace, ""):
        used = usage.get((service, name),
                         DecayingAmount()).value_at(now_s, _USAGE_DECAY_S)
        usage = usage.set((service, name),
                          DecayingAmount(max(0.0, used + work), now_s))
    return usage


def _rescore(queue: Queue, key: LaneKey, head: QueuedRequest,
             now_s: float) -> Queue:
    order = head.order_key
    entries = [
        item for item in queue.ranked_lanes.get(order, ()) if item[1] != key
    ]
    bisect.insort(entries, (-score(queue, head, now_s), key))
    return queue._replace(
        ranked_lanes=queue.ranked_lanes.set(order, tuple(entries)))


def rescore_lanes(queue: Queue, now_s: float) -> Queue:
    """Scores all lanes that are not empty; called at ticks only."""
    if not queue.lanes:
        if queue.ranked_lanes:
            return queue._replace(ranked_lanes=immutables.Map())
        return queue
    entries: dict[OrderKey, list[tuple[float, LaneKey]]] = {}
    for key, lane in queue.lanes.items():
        head = queue.requests[lane.items[lane.head]]
        entries.setdefault(head.order_key, []).append(
            (-score(queue, head, now_s), key))
    return queue._replace(ranked_lanes=immutables.Map({
        key: tuple(sorted(value)) for key, value in entries.items()
    }))


def score(queue: Queue, item: QueuedRequest, now_s: float) -> float:
    """Returns the score of a request; higher scores go first."""
    time_s = max(_CALENDAR_BUCKET_S, item.latest_start_s - item.arrived_s)
    waited = min(1.0, (now_s - item.arrived_s) / time_s)
    density = item.worth / item.work**_WORK_EXPONENT
    ageing = 1 + _AGEING_FACTOR * waited * waited
    return density * ageing * _fairness(queue, item.lane_key, now_s)


def _fairness(queue: Queue, key: LaneKey, now_s: float) -> float:
    service, workspace, _ = key
    total = queue.usage.get((service, ""))
    if total is None:
        return 1.0
    used = queue.usage.get((service, workspace), DecayingAmount())
    all_shares = sum(queue.shares.values()) or 1.0
    share = queue.shares.get(workspace, 1.0) / all_shares
    used_share = used.value_at(now_s, _USAGE_DECAY_S) / max(
        1e-9, total.value_at(now_s, _USAGE_DECAY_S))
    return (1 + _FAIRNESS_FLOOR) / (used_share / share +
                                    _FAIRNESS_FLOOR)**_FAIRNESS_EXPONENT


def is_lane_too_long(queue: Queue, item: QueuedRequest, now_s: float) -> bool:
    """Returns whether the lane of a request is too long for a timely start."""
    lane = queue.lanes.get(item.lane_key)
    if lane is None or len(lane.items) < _MIN_LANE_CAPACITY:
        return False
    return len(lane.items) > max_waiting(
        _rate_per_s(queue, item.lane_key, now_s), item, now_s)


def max_waiting(rate_per_s: float, item: QueuedRequest, now_s: float) -> float:
    """Returns before how many waiting requests one still starts in time.

    Args:
        rate_per_s: Rate at which the requests before it start.
        item: The request.
        now_s: Time.
    """
    return _MIN_LANE_CAPACITY + _LANE_SLACK_FACTOR * rate_per_s * (
        item.latest_start_s - now_s)


def _rate_per_s(queue: Queue, key: LaneKey, now_s: float) -> float:
    return queue.rates.get(key, DecayingAmount()).value_at(
        now_s, _RATE_DECAY_S) / _RATE_DECAY_S


def rates_per_s(queue: Queue, now_s: float) -> dict[LaneKey, float]:
    """Returns the recent rate of dispatches of each lane."""
    return {key: _rate_per_s(queue, key, now_s) for key in queue.rates}


def scale_rates(queue: Queue, service: str, factor: float) -> Queue:
    """Scales the rates of a service whose capacity changed at once."""
    return queue._replace(rates=immutables.Map({
        key:
            rate._replace(amount=factor *
                          rate.amount) if key[0] == service else rate
        for key, rate in queue.rates.items()
    }))


def retry_after_s(queue: Queue, item: QueuedRequest, now_s: float,
                  rng: random.Random) -> float:
    """Returns the time until the lane probably has room, with jitter."""
    lane = queue.lanes.get(item.lane_key)
    waiting = len(lane.items) if lane else 0
    rate = queue.rates.get(item.lane_key, DecayingAmount()).value_at(
        now_s, _RATE_DECAY_S) / _RATE_DECAY_S
    wait_s = (waiting + 1) / rate if rate > 0 else _RETRY_AFTER_RANGE_S[1]
    min_s, max_s = _RETRY_AFTER_RANGE_S
    jitter = 1 + _RETRY_JITTER * (2 * rng.random() - 1)
    return min(max_s, max(min_s, wait_s)) * jitter


def remove_expired(queue: Queue,
                   now_s: float) -> tuple[Queue, list[QueuedRequest]]:
    """Removes and returns the requests whose latest start has passed."""
    if queue.next_calendar_bucket is None:
        return queue, []
    current_bucket = int(now_s / _CALENDAR_BUCKET_S)
    expired_items: list[QueuedRequest] = []
    calendar = queue.calendar
    for bucket in range(queue.next_calendar_bucket, current_bucket):
        for request_id in calendar.get(bucket, ()):
            item = queue.requests.get(request_id)
            if item is not None and item.latest_start_s <= now_s:
                expired_items.append(item)
                queue = remove(queue, request_id)
        if bucket in calendar:
            calendar = calendar.delete(bucket)
    next_bucket = current_bucket if queue.requests else None
    return queue._replace(
        calendar=calendar if next_bucket else immutables.Map(),
        next_calendar_bucket=next_bucket), expired_items
