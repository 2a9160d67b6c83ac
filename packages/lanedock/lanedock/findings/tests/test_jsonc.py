# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the parser for JSON with comments."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lanedock.errors import ErrorCode
from lanedock.findings import FindingsError, read_text


def test_comments_and_trailing_commas_do_not_change_positions():
    document = read_text('{ // one\n  /* two\n */ "a": "// no comment", "b": [1, 2,],\n}', "f")
    assert document.value == {"a": "// no comment", "b": [1, 2]}
    place = document.place("/b/1")
    assert (place.line, place.column) == (3, 36)
    assert document.place("/b/7/x").line == 3


@pytest.mark.parametrize(
    ("text", "code", "line", "column"),
    [
        ('{"a": 1,\n "a": 2}', ErrorCode.DUPLICATE_KEY, 2, 2),
        ('{"a": 1,\n  b}', ErrorCode.NOT_JSON, 2, 3),
        ('{"a": NaN}', ErrorCode.NOT_JSON, 0, 0),
        ("[" * 100_000, ErrorCode.NOT_JSON, 0, 0),
        ("", ErrorCode.NOT_JSON, 1, 1),
    ],
)
def test_invalid_text_gives_a_finding_with_its_position(text, code, line, column):
    with pytest.raises(FindingsError) as caught:
        read_text(text, "f")
    (finding,) = caught.value.findings
    assert (finding.code, finding.place.line, finding.place.column) == (code, line, column)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.text(alphabet='{}[]",:/*\n\\ 1ae', max_size=60))
def test_any_text_is_parsed_or_raises_findings_error(text):
    try:
        read_text(text, "f")
    except FindingsError as exc:
        assert exc.findings
