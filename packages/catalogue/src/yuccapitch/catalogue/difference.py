"""Differences between two declarations, each with the owner who may make it."""

from __future__ import annotations

import enum
from collections.abc import Iterator, Mapping

import pydantic

from yuccapitch.catalogue import ids, model

SHARED = "shared"


class DifferenceKind(enum.Enum):
    """How an entry differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class FieldChange(pydantic.BaseModel):
    """A changed field of an entry with its old and new value as JSON."""

    model_config = pydantic.ConfigDict(frozen=True)

    field: str
    before: pydantic.JsonValue = None
    after: pydantic.JsonValue = None


class Difference(pydantic.BaseModel):
    """A difference in one entry, and the only owner who may make it.

    The owner is None if the entry is shared.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    kind: DifferenceKind
    section: str
    entry_id: str
    owner: ids.OwnerId | None = None
    fields: tuple[FieldChange, ...] = ()

    @property
    def owner_or_shared(self) -> str:
        """Return the owner's id, or 'shared' if there is no owner."""
        return SHARED if self.owner is None else self.owner

    def __str__(self) -> str:
        fields = ", ".join(
            f"{change.field} {change.before} -> {change.after}"
            for change in self.fields
        )
        text = f"{self.kind.value} {self.section}.{self.entry_id}"
        return f"{text} ({fields})" if fields else text


def compare(
    before: model.Declaration | None, after: model.Declaration
) -> tuple[Difference, ...]:
    """Return the differences, ordered by section and then by id."""
    return tuple(_compare(before, after))


_MAPPING_SECTIONS = (
    ("owners", "owners_by_id"),
    ("regions", "regions_by_id"),
    ("failure_domains", "failure_domains_by_id"),
    ("links", "links_by_id"),
    ("instances", "instances_by_id"),
    ("services", "services_by_id"),
    ("endpoints", "endpoints_by_id"),
    ("routes", "routes_by_id"),
    ("shifts", "shifts_by_id"),
    ("drains", "drains_by_id"),
    ("client_blocks", "regions_by_client_block"),
)


def _compare(
    before: model.Declaration | None, after: model.Declaration
) -> Iterator[Difference]:
    for field in ("turns", "default_region"):
        old = None if before is None else getattr(before, field)
        yield from _compare_entry(field, "", old, getattr(after, field), None, None)
    for section, attribute in _MAPPING_SECTIONS:
        old_entries: Mapping[str, object] = (
            {} if before is None else getattr(before, attribute)
        )
        new_entries: Mapping[str, object] = getattr(after, attribute)
        changed = {
            key for key, old in old_entries.items() if old != new_entries.get(key)
        }
        changed.update(key for key in new_entries if key not in old_entries)
        for entry_id in sorted(changed):
            old, new = old_entries.get(entry_id), new_entries.get(entry_id)
            old_owner, new_owner = _owner_of(before, old), _owner_of(after, new)
            if _only_fraction_differs(old, new):
                old_owner = new_owner = _service_owner(before, old)
            yield from _compare_entry(section, entry_id, old, new, old_owner, new_owner)


def _compare_entry(
    section: str,
    entry_id: str,
    old: object,
    new: object,
    old_owner: ids.OwnerId | None,
    new_owner: ids.OwnerId | None,
) -> Iterator[Difference]:
    if old == new:
        return
    # A change of owner removes an entry of the old owner and adds one of the new
    # owner. It is reported as both and needs the permission of both.
    if old is not None and (new is None or old_owner != new_owner):
        yield Difference(
            kind=DifferenceKind.REMOVED,
            section=section,
            entry_id=entry_id,
            owner=old_owner,
        )
    if new is not None and (old is None or old_owner != new_owner):
        yield Difference(
            kind=DifferenceKind.ADDED,
            section=section,
            entry_id=entry_id,
            owner=new_owner,
        )
    if old is not None and new is not None and old_owner == new_owner:
        yield Difference(
            kind=DifferenceKind.CHANGED,
            section=section,
            entry_id=entry_id,
            owner=old_owner,
            fields=_field_changes(old, new),
        )


def _owner_of(
    declaration: model.Declaration | None, entry: object
) -> ids.OwnerId | None:
    """Return the only owner who may change the entry, or None if it is shared."""
    if isinstance(entry, model.Service | model.Endpoint | model.Route):
        return entry.owner
    if (
        declaration is not None
        and isinstance(entry, model.Drain)
        and entry.kind is model.DrainKind.ENDPOINT
    ):
        endpoint = declaration.endpoints_by_id.get(ids.EndpointId(entry.target))
        return None if endpoint is None else endpoint.owner
    return None


def _only_fraction_differs(old: object, new: object) -> bool:
    # The cap protects the target's endpoints, so it remains shared. Within the cap, the
    # service's owner decides which fraction of its own traffic is shifted.
    return (
        isinstance(old, model.Shift)
        and isinstance(new, model.Shift)
        and old != new
        and old == new.model_copy(update={"fraction": old.fraction})
    )


def _service_owner(
    declaration: model.Declaration | None, entry: object
) -> ids.OwnerId | None:
    if declaration is None or not isinstance(entry, model.Shift):
        return None
    service = declaration.services_by_id.get(entry.service)
    return None if service is None else service.owner


def _field_changes(old: object, new: object) -> tuple[FieldChange, ...]:
    if not isinstance(old, pydantic.BaseModel) or not isinstance(
        new, pydantic.BaseModel
    ):
        return (FieldChange(field="value", before=str(old), after=str(new)),)
    before, after = old.model_dump(mode="json"), new.model_dump(mode="json")
    return tuple(
        FieldChange(field=field, before=before[field], after=after[field])
        for field in before
        if before[field] != after[field]
    )
