"""Tests of patches between settings documents."""

import dataclasses

from hypothesis import given, seed
from hypothesis import strategies as st

from fescueshunt.core import document, patch
from fescueshunt_wire import codec

NAMES = st.lists(st.sampled_from("abcdef"), unique=True, max_size=5)


def entries(entry_type, **fields):
    def build(names, numbers):
        return tuple(
            entry_type(name, **dict.fromkeys(fields, number))
            for name, number in zip(names, numbers, strict=False)
        )

    return st.builds(
        build, NAMES, st.lists(st.integers(1, 3), min_size=5, max_size=5)
    )


DOCUMENT = st.builds(
    document.Document,
    groups=entries(document.Group, slots=1, connections=1),
    draining_hosts=NAMES.map(tuple),
)


def history(last: int) -> tuple[document.Revision, ...]:
    entry = document.Revision(0, b"o" * 16, "x", "x", "x", "x", 1.0)
    first = max(last - document.MAX_HISTORY_ENTRIES, 0) + 1
    return tuple(
        dataclasses.replace(entry, revision=number)
        for number in range(first, last + 1)
    )


@seed(1)
@given(DOCUMENT, DOCUMENT, st.integers(1, 60), st.integers(1, 20))
def test_applied_patch_equals_newer_document(old, new, base, more):
    before = dataclasses.replace(old, revision=base, history=history(base))
    last = base + more
    after = dataclasses.replace(new, revision=last, history=history(last))
    difference = patch.diff(before, after)
    if difference is not None:
        assert patch.apply(before, difference) == after
    remaining = [g.name for g in before.groups if after.group(g.name)]
    added = [g.name for g in after.groups if not before.group(g.name)]
    in_order = [group.name for group in after.groups] == remaining + added
    assert (difference is not None) == in_order


def test_a_patch_of_one_entry_is_small():
    upstream = document.Upstream("u", "z", "127.0.0.1:1")
    before = document.Document(
        revision=7,
        databases=tuple(
            document.Database(f"d{n}", "g", (upstream,) * 3)
            for n in range(1000)
        ),
        history=history(7),
    )
    changed = dataclasses.replace(before.databases[500], group="h")
    databases = (
        *before.databases[:500],
        changed,
        *before.databases[501:],
    )
    after = dataclasses.replace(
        before, revision=8, databases=databases, history=history(8)
    )
    difference = patch.diff(before, after)
    assert patch.apply(before, difference) == after
    data = codec.encode((codec.Envelope(0, difference),))
    assert len(data) * 50 < len(codec.encode_document(after))
