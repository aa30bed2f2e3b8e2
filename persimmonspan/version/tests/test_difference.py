"""Guards difference, application and merge of documents."""

import hypothesis
import pytest
from hypothesis import strategies

from persimmonspan import errors
from persimmonspan.version import difference

_name = strategies.sampled_from(["a", "b", "c", "d"])
_scalar = strategies.sampled_from([0, 1, True, 1.0, None, "x", ""])


def _items(values):
    return strategies.dictionaries(_name, values,
                                   max_size=4).map(lambda items: [{
                                       "name": name,
                                       "v": value
                                   } for name, value in items.items()])


_documents = strategies.recursive(
    _scalar | strategies.lists(_name, max_size=4) |
    strategies.lists(_scalar, max_size=3),
    lambda values: strategies.dictionaries(_name, values, max_size=4) | _items(
        values),
    max_leaves=12)
_settings = hypothesis.settings(max_examples=400,
                                deadline=None,
                                database=None,
                                derandomize=True)


@_settings
@hypothesis.given(_documents, _documents)
def test_difference_leads_from_one_to_the_other(base, new):
    edits = difference.decode(
        difference.encode(difference.compute_edits(base, new)))
    assert difference.is_same(difference.apply(base, edits), new)


@_settings
@hypothesis.given(_documents, _documents)
def test_merge_with_an_unchanged_side_is_the_other(base, new):
    assert difference.is_same(difference.merge(base, new, base), new)
    assert difference.is_same(difference.merge(base, base, new), new)
    assert difference.is_same(difference.merge(base, new, new), new)


_flat = strategies.dictionaries(_name, strategies.integers(0, 3))


@_settings
@hypothesis.given(_flat, _flat, _flat)
def test_merge_keeps_both_changes_or_names_the_conflict(base, ours, theirs):
    # Oracle for flat objects: a field changed on both sides must agree.
    touched = {
        name for name in base | ours | theirs if
        base.get(name) != ours.get(name) != theirs.get(name) != base.get(name)
    }
    try:
        merged = difference.merge(base, ours, theirs)
    except difference.MergeConflictError as error:
        assert {item.path for item in error.conflicts} == touched
        return
    assert not touched
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
