"""Tests followers that read evacuated domains from the stand-in store."""

import contextlib
import time

from persimmonspan import errors
from persimmonspan.platform import program
from persimmonspan.platform import store as store_client
from persimmonspan.process import evacuated_set
from persimmonspan.process import evacuation_tracker
from persimmonspan.process import followers
from persimmonspan.process import row_store
from persimmonspan.process.tests import test_followers
from testbed import edge_store
from testbed import edge_world

# The stub of the peers is shared.
_Peers = test_followers._Peers  # pylint: disable=protected-access
_SETTLE_S = 0.6


class _Receiver:
    """Ignores configurations and targets."""

    def adopt(self, configuration):
        """Ignores a configuration."""

    def apply_directory(self, state, change):
        """Ignores targets."""

    def count(self, reason):
        """Ignores counted events."""


class _Client(store_client.Store):
    """A client whose history is lost as often as a test says."""

    losses = 0

    def changes(self, table, since, wait_s):
        """Returns changes, or says that they are lost."""
        if _Client.losses:
            _Client.losses -= 1
            raise row_store.HistoryLostError(errors.Code.STORE_UNAVAILABLE,
                                             "lost")
        return super().changes(table, since, wait_s)


def _make_tracker():
    returned, counts = [], []
    tracker = evacuation_tracker.EvacuationTracker(
        program.PLATFORM.formats.decode_evacuation, returned.append,
        counts.append)
    return tracker, returned, counts


@contextlib.contextmanager
def _following(store):
    tracker, returned, _ = _make_tracker()
    follower = followers.Followers(_Client,
                                   store.address, program.PLATFORM.formats,
                                   _Receiver(), tracker)
    follower.peers = _Peers()
    with follower.running():
        edge_world.wait_until(lambda: tracker.is_known)
        yield tracker, returned


def _wait_for(tracker, *domains):
    edge_world.wait_until(lambda: tracker.domains == frozenset(domains))


def test_rows_are_followed_without_a_change_of_the_configuration():
    with edge_store.Store().running() as store:
        store.write("op", "evacuate/a", {})
        with _following(store) as (tracker, returned):
            assert tracker.domains == {"a"}
            store.write("op", "evacuate/b", {})
            _wait_for(tracker, "a", "b")
            store.write("op", "evacuate/a", None)
            _wait_for(tracker, "b")
            store.write("op", "note", {})
            time.sleep(_SETTLE_S)
            assert tracker.domains == {"b"}
        assert returned == [frozenset(), frozenset(), frozenset({"a"})]


def test_row_that_was_removed_while_the_history_was_lost_ends():
    # Guards against a domain that stays evacuated since no change names it.
    with edge_store.Store().running() as store:
        store.write("op", "evacuate/a", {})
        with _following(store) as (tracker, _):
            store.mode = "busy"
            time.sleep(_SETTLE_S)
            _Client.losses = 1
            store.write("op", "evacuate/a", None)
            store.mode = "ok"
            _wait_for(tracker)


def test_store_that_comes_back_from_a_copy_replaces_the_set():
    with edge_store.Store().running() as store:
        copy = store.copy()
        store.write("op", "evacuate/a", {})
        with _following(store) as (tracker, _):
            assert tracker.domains == {"a"}
            store.restore(copy)
            _wait_for(tracker)
            # An older era does not come back in a digest.
            tracker.apply_peer_state(evacuated_set.State(("a",), 1000, 1))
            assert not tracker.domains
