"""Changes parts of the configuration documents by pure functions.

Each function takes documents and returns new ones; the caller commits them
conditionally on the revision that they were derived from.

>>> add_key(_EXAMPLE, "a", "00")["workspaces"][0]["key_sha256"]
['00']
"""

import copy
import typing

from persimmonspan import errors
from persimmonspan.version import model

_EXAMPLE: model.InventoryDocument = {
    "places": [],
    "services": [],
    "workspaces": [{
        "name": "a",
        "share": 1.0,
        "key_sha256": []
    }],
    "request_kinds": []
}


class ItemChange(typing.TypedDict):
    """Puts or removes one named item of a list of a document."""

    document: typing.Literal["inventory", "rules"]
    section: typing.Literal["places", "services", "workspaces", "request_kinds",
                            "operators"]
    name: model.Name
    value: typing.NotRequired[dict[str, typing.Any] | None]


def apply_items(
    inventory: model.InventoryDocument, rules: model.RulesDocument,
    changes: list[ItemChange]
) -> tuple[model.InventoryDocument, model.RulesDocument]:
    """Returns the documents with items put, or removed if they have no value.

    Raises:
        errors.RefusalError: An item to remove does not exist.
    """
    documents: dict[str, typing.Any] = copy.deepcopy({
        "inventory": inventory,
        "rules": rules
    })
    for change in changes:
        _apply_item(documents[change["document"]], change)
    return documents["inventory"], documents["rules"]


def _apply_item(document: dict[str, typing.Any], change: ItemChange) -> None:
    items = document.setdefault(change["section"], [])
    index = next((i for i, item in enumerate(items)
                  if item.get("name") == change["name"]), None)
    value = change.get("value")
    if value is None:
        if index is None:
            raise errors.RefusalError(
                errors.Code.NOT_FOUND,
                f'{change["section"]} has no item "{change["name"]}"')
        del items[index]
    elif index is None:
        items.append({**value, "name": change["name"]})
    else:
        items[index] = {**value, "name": change["name"]}


def set_leaving(rules: model.RulesDocument,
                field: typing.Literal["leaving", "leaving_daemons"], name: str,
                is_leaving: bool) -> model.RulesDocument:
    """Returns rules that list a target or daemon as leaving, or do not.

    >>> set_leaving({}, "leaving", "engine-1", True)
    {'leaving': ['engine-1']}
    """
    names = set(rules.get(field, ())) - {name}
    if is_leaving:
        names.add(name)
    changed = typing.cast(model.RulesDocument, {**rules, field: sorted(names)})
    return changed


def add_key(inventory: model.InventoryDocument, workspace: str,
            digest: str) -> model.InventoryDocument:
    """Returns an inventory with a key added to a workspace.

    Raises:
        errors.RefusalError: The workspace does not exist.
    """
    return _replace_keys(inventory, workspace, lambda keys: [*keys, digest])


def remove_key(inventory: model.InventoryDocument, workspace: str,
               digest: str) -> model.InventoryDocument:
    """Returns an inventory with a key removed from a workspace.

    Raises:
        errors.RefusalError: The workspace or the key does not exist.
    """

    def remove_digest(keys: list[str]) -> list[str]:
        if digest not in keys:
            raise errors.RefusalError(
                errors.Code.NOT_FOUND,
                f'workspace "{workspace}" has no key with digest "{digest}"')
        return [key for key in keys if key != digest]

    return _replace_keys(inventory, workspace, remove_digest)


def _replace_keys(
    inventory: model.InventoryDocument, workspace: str,
    change_keys: typing.Callable[[list[str]], list[str]]
) -> model.InventoryDocument:
    changed = copy.deepcopy(inventory)
    for item in changed["workspaces"]:
        if item["name"] == workspace:
            item["key_sha256"] = change_keys(item["key_sha256"])
            return changed
    raise errors.RefusalError(errors.Code.NOT_FOUND,
                              f'there is no workspace "{workspace}"')
