"""Settings of an edge daemon, as its platform provides them."""

import typing


class RetryBudget(typing.NamedTuple):
    """Limit on the retries that all daemons together send to a service.

    In each window of `window_s`, the number of retries is at most `ratio` times
    the number of requests in the window, plus `burst`.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    burst: float = 50.0


class EdgeSettings(typing.NamedTuple):
    """Addresses and limits of one daemon."""

    name: str
    failure_domain: str
    listen_address: str
    readiness_address: str
    peer_address: str
    store_address: str
    grace_s: float = 8.0
    stability_s: float = 3.0
    retry: RetryBudget = RetryBudget()
    memory_mb: float = 150.0
    max_fds: int = 1024  # Descriptors that this process may open.
    # Times in which changes in the store must take effect.
    drain_s: float = 2.0
    configuration_apply_s: float = 2.0
    link_bits_per_s: float = 1e12  # More than any link: no limit.
    evacuation_s: float = 5.0  # Like `drain_s`, for a failure domain.
    # In any one second, a cold target gets at most its rate times the factor,
    # plus the tolerance.
    cold_overrun: float = 1.5
    cold_tolerance: float = 5.0
    # Extra attempts at targets that operators accept to shorten slow responses,
    # as a share of the requests of a service; 0: none.
    hedge_share: float = 0.0
