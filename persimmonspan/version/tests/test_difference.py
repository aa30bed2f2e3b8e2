"""Tests of the difference, application and merge of documents."""

import hypothesis
import pytest
from hypothesis import strategies

from persimmonspan import errors
from persimmonspan.version import difference

_names = strategies.sampled_from(["a", "b", "c", "d"])
_scalar = strategies.sampled_from([0, 1, True, 1.0, None, "x", ""])


def _named_items(values):
    return strategies.dictionaries(_names, values,
                                   max_size=4).map(lambda items: [{
                                       "name": name,
                                       "v": value
                                   } for name, value in items.items()])


_documents = strategies.recursive(
    _scalar | strategies.lists(_names, max_size=4) |
    strategies.lists(_scalar, max_size=3),
    lambda values: strategies.dictionaries(_names, values, max_size=4
                                          ) | _named_items(values),
    max_leaves=12)
_settings = hypothesis.settings(max_examples=400,
                                deadline=None,
                                database=None,
                                derandomize=True)


@_settings
@hypothesis.given(_documents, _documents)
def test_applying_the_difference_to_the_base_gives_the_new_document(base, new):
    edits = difference.decode(
        difference.encode(difference.compute_edits(base, new)))
    assert difference.is_same(difference.apply(base, edits), new)


@_settings
@hypothesis.given(_documents, _documents)
def test_merge_of_one_change_or_equal_changes_gives_that_change(base, new):
    assert difference.is_same(difference.merge(base, new, base), new)
    assert difference.is_same(difference.merge(base, base, new), new)
    assert difference.is_same(difference.merge(base, new, new), new)


_flat_objects = strategies.dictionaries(_names, strategies.integers(0, 3))


@_settings
@hypothesis.given(_flat_objects, _flat_objects, _flat_objects)
def test_merge_applies_both_changes_or_reports_the_conflicts(
        base, ours, theirs):
    # In flat objects, exactly the fields that both sides change to different
    # values conflict.
    conflicting = {
        name for name in base | ours | theirs if
        base.get(name) != ours.get(name) != theirs.get(name) != base.get(name)
    }
    try:
        merged = difference.merge(base, ours, theirs)
    except difference.MergeConflictError as error:
        assert {item.path for item in error.conflicts} == conflicting
        return
    assert not conflicting
    for name in base | ours | theirs:
        changed = ours if ours.get(name) != base.get(name) else theirs
        assert merged.get(name) == changed.get(name)


def test_removal_of_a_changed_item_is_a_conflict():
    base = [{"name": "a", "v": 1}]
    with pytest.raises(difference.MergeConflictError) as caught:
        difference.merge(base, [], [{"name": "a", "v": 2}])
    assert str(caught.value) == "a.v: yours is removed, accepted is 2"


def test_edit_of_a_missing_part_is_an_error():
    with pytest.raises(errors.ConfigurationError):
        difference.apply({"a": []},
                         [difference.Edit("set", ("a", "x", "v"), 1)])
