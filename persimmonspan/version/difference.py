"""Difference, application and three-way merge of configuration documents.

A configuration document is one JSON object with `inventory` and `rules`. The
identity of a list item is its `name`, or the item itself if it is a string;
items are matched by identity. A list with other items, with items of both kinds
or with a repeated identity is compared as one value. A difference is a list of
edits, each with a path of field names and item identities:

    ["set", path, value]     set a field, or add or replace an item at the end
    ["remove", path]         remove a field or an item
    ["order", path, names]   set the order of the items of a list

`apply(base, compute_edits(base, new)) == new`, including the order of items.
Two differences from one base conflict if they contain unequal edits of which
one has the path of the other or of a part of it. The order of a list does not
conflict with edits of its items.

>>> base = {"rules": {"leaving": ["a"]}}
>>> ours = {"rules": {"leaving": ["a", "b"]}}
>>> theirs = {"rules": {"leaving": ["a", "c"]}}
>>> merge(base, ours, theirs)
{'rules': {'leaving': ['a', 'c', 'b']}}

References:
    S. Khanna, K. Kunal, B. Pierce, "A formal investigation of diff3", 2007.
"""

import typing

import msgspec

from persimmonspan import decoding
from persimmonspan import errors

Json = typing.Any
Path = tuple[str, ...]


class Edit(typing.NamedTuple):
    """One edit; `value` is the new value or the identities in their order."""

    kind: typing.Literal["set", "remove", "order"]
    path: Path
    value: Json = None


class Conflict(typing.NamedTuple):
    """Two different edits of the same part."""

    path: str
    ours: str
    theirs: str

    def __str__(self) -> str:
        return f"{self.path}: yours is {self.ours}, accepted is {self.theirs}"


class MergeConflictError(errors.ConfigurationError):
    """Two changes edit the same parts of a document differently."""

    def __init__(self, conflicts: list[Conflict]) -> None:
        super().__init__(errors.Code.CONFLICT, "\n".join(map(str, conflicts)))
        self.conflicts = conflicts


def compute_edits(base: Json, new: Json) -> list[Edit]:
    """Returns the edits that turn `base` into `new`."""
    return _compute_edits((), base, new)


def apply(document: Json, edits: list[Edit]) -> Json:
    """Returns a document with edits applied; does not modify the argument.

    Raises:
        errors.ConfigurationError: An edit names a part that does not exist.
    """
    for edit in edits:
        document = _apply_edit(document, edit, edit.path)
    return document


def merge(base: Json, ours: Json, theirs: Json) -> Json:
    """Applies the edits between `base` and `ours` to `theirs`.

    Raises:
        MergeConflictError: Both sides edit the same parts differently.
    """
    our_edits = compute_edits(base, ours)
    their_edits = compute_edits(base, theirs)
    conflicts = [
        Conflict(_format_path(max(mine.path, other.path, key=len)),
                 _format_edit(mine), _format_edit(other))
        for mine in our_edits
        for other in their_edits
        if _is_conflict(mine, other)
    ]
    if conflicts:
        raise MergeConflictError(conflicts)
    encoded_their_edits = [_encode_canonical(edit) for edit in their_edits]
    return apply(theirs, [
        edit for edit in our_edits
        if _encode_canonical(edit) not in encoded_their_edits
    ])


def encode(edits: list[Edit]) -> str:
    """Returns the JSON form of a difference."""
    return msgspec.json.encode(edits).decode()


_decoder = decoding.JsonDecoder(list[Edit])


def decode(value: str | bytes) -> list[Edit]:
    """Returns a difference from its JSON form.

    Raises:
        errors.ConfigurationError: The JSON is not a list of edits.
    """
    try:
        return _decoder.decode(value)
    except msgspec.DecodeError as error:
        raise errors.ConfigurationError(errors.Code.BAD_REQUEST,
                                        f"difference: {error}") from error


def is_same(left: Json, right: Json) -> bool:
    """Returns whether two JSON values are equal; 1, 1.0 and true differ.

    >>> is_same({"a": 1, "b": 2}, {"b": 2, "a": 1}), is_same(1, True)
    (True, False)
    """
    return _encode_canonical(left) == _encode_canonical(right)


def _encode_canonical(value: Json) -> bytes:
    return msgspec.json.encode(value, order="deterministic")


def _item_identity(item: Json) -> str | None:
    if isinstance(item, str):
        return item
    if isinstance(item, dict) and isinstance(item.get("name"), str):
        return item["name"]
    return None


def _items_by_identity(value: Json) -> dict[str, Json] | None:
    """Returns a list's items by identity; None if it is compared as a whole."""
    if not isinstance(value, list):
        return None
    items = {_item_identity(item): item for item in value}
    if None in items or len(items) != len(value):
        return None
    kinds = {isinstance(item, str) for item in value}
    return typing.cast(dict, items) if len(kinds) < 2 else None


def _has_strings(items: dict[str, Json]) -> bool:
    return any(isinstance(item, str) for item in items.values())


def _compute_edits(path: Path, base: Json, new: Json) -> list[Edit]:
    if is_same(base, new):
        return []
    if isinstance(base, dict) and isinstance(new, dict):
        return _compute_field_edits(path, base, new)
    base_items, new_items = _items_by_identity(base), _items_by_identity(new)
    if (base_items is None or new_items is None or
            _has_strings(base_items) != _has_strings(new_items)):
        return [Edit("set", path, new)]
    edits = _compute_field_edits(path, base_items, new_items)
    kept = [name for name in base_items if name in new_items]
    added = [name for name in new_items if name not in base_items]
    if kept + added != list(new_items):
        edits.append(Edit("order", path, list(new_items)))
    return edits


def _compute_field_edits(path: Path, base: dict[str, Json],
                         new: dict[str, Json]) -> list[Edit]:
    edits = [Edit("remove", (*path, name)) for name in base if name not in new]
    for name, value in new.items():
        if name not in base:
            edits.append(Edit("set", (*path, name), value))
        else:
            edits.extend(_compute_edits((*path, name), base[name], value))
    return edits


def _apply_edit(value: Json, edit: Edit, path: Path) -> Json:
    if not path:
        return _reorder_items(value,
                              edit) if edit.kind == "order" else edit.value
    is_object = isinstance(value, dict)
    parts = value if is_object else _items_by_identity(value)
    name = path[0]
    if parts is None or (name not in parts and
                         (len(path) > 1 or edit.kind != "set")):
        raise errors.ConfigurationError(
            errors.Code.CONFLICT, f"there is no part {_format_path(edit.path)}")
    parts = dict(parts)
    if len(path) == 1 and edit.kind == "remove":
        del parts[name]
    else:
        parts[name] = _apply_edit(parts.get(name), edit, path[1:])
    return parts if is_object else list(parts.values())


def _reorder_items(value: Json, edit: Edit) -> Json:
    items = _items_by_identity(value)
    if items is None:
        raise errors.ConfigurationError(
            errors.Code.CONFLICT, f"there is no list {_format_path(edit.path)}")
    ordered = [items[name] for name in edit.value if name in items]
    names = set(edit.value)
    return ordered + [item for name, item in items.items() if name not in names]


def _is_conflict(mine: Edit, other: Edit) -> bool:
    length = min(len(mine.path), len(other.path))
    if mine.path[:length] != other.path[:length] or _encode_canonical(
            mine) == _encode_canonical(other):
        return False
    # The order of a list does not conflict with edits of its items.
    shorter = min(mine, other, key=lambda edit: len(edit.path))
    return len(mine.path) == len(other.path) or shorter.kind != "order"


def _format_path(path: Path) -> str:
    return ".".join(path) or "(top level)"


def _format_edit(edit: Edit) -> str:
    if edit.kind == "remove":
        return "removed"
    text = msgspec.json.encode(edit.value).decode()
    return f"order {text}" if edit.kind == "order" else text
