"""Tests what a server says about itself in its answers."""

import pytest

from egretlever.home import ServerSignals
from egretlever.platform import decode_signals


def decode(**fields):
    named = {
        name.replace("_", "-").encode(): value for name, value in fields.items()
    }
    return decode_signals(named.get)


@pytest.mark.parametrize(
    ("text", "limit"), [("5", 5.0), ("0.25", 0.25), (" 1e1 ", 10.0), ("0", 0.0)]
)
def test_limit_is_a_decimal_number(text, limit):
    assert decode(server_limit=text) == ServerSignals(limit=limit)


@pytest.mark.parametrize("text", ["", "many", "-1", "nan", "inf", "1,5", "5/s"])
def test_invalid_limit_is_no_limit(text):
    assert decode(server_limit=text) == ServerSignals()


@pytest.mark.parametrize(
    ("text", "leaving"), [("1", True), (" 1", True), ("0", False), ("", False)]
)
def test_only_the_value_1_says_that_a_server_leaves(text, leaving):
    assert decode(server_leaving=text) == ServerSignals(leaving=leaving)


def test_answer_without_signals_names_neither():
    assert decode() == ServerSignals()
