"""Tests of the size of JSON documents."""

from __future__ import annotations

import json

import hypothesis
from hypothesis import strategies as st

from yuccapitch.platform import json_size

DOCUMENTS = st.recursive(
    st.none() | st.integers() | st.text(max_size=5),
    lambda values: st.lists(values) | st.dictionaries(st.text(max_size=5), values),
)


def count(document: object) -> int:
    if isinstance(document, dict):
        return 1 + sum(map(count, document.values()))
    if isinstance(document, list):
        return 1 + sum(map(count, document))
    return 1


@hypothesis.given(DOCUMENTS)
def test_count_values_is_at_least_the_number_of_values(document: object) -> None:
    content = json.dumps(document).encode()
    assert json_size.count_values(content) >= count(document)


def test_count_values_is_close_to_that_of_a_usual_document() -> None:
    content = b'{"resources":[{"name":"a","limits":[1,2,3]},{"name":"b","limits":[]}]}'
    assert json_size.count_values(content) == 12
