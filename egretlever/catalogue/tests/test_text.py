"""Guards the INI text: round trips, and a finding for every fault."""

import pathlib

import hypothesis
import pytest

from egretlever.catalogue import (
    check_catalogue,
    normalise_catalogue,
    parse_catalogue,
    render_catalogue,
)
from egretlever.testing import builders, strategies

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
GOOD = """
[rank urgent]
priority = 0
[rank normal]
priority = 1
[service ordering]
owner = sales
rank = urgent
[route swatch]
path = /swatches
methods = POST
service = ordering
order = true
[route browse]
path = /fabrics
service = ordering
"""


def list_findings(text):
    result = parse_catalogue(text, "c.ini")
    return [str(finding) for finding in result.failure()]


@hypothesis.given(strategies.draw_catalogue())
def test_rendered_text_parses_into_an_equal_catalogue(catalogue):
    text = render_catalogue(catalogue)
    parsed = parse_catalogue(text, "c.ini").unwrap()
    assert parsed == normalise_catalogue(catalogue)
    assert check_catalogue(catalogue, "c") == ()
    assert render_catalogue(parsed) == text


@pytest.mark.parametrize("name", ["kapra", "sablat"])
def test_examples_are_valid(name):
    text = (EXAMPLES / f"{name}.ini").read_text(encoding="utf-8")
    catalogue = parse_catalogue(text, name).unwrap()
    again = parse_catalogue(render_catalogue(catalogue), name).unwrap()
    assert again == catalogue
    # Sablat counts internal lookups but gives them no weight.
    worths = {rank.name: rank.worth for rank in catalogue.ranks}
    assert worths.get("lookup", 0) == 0


@pytest.mark.parametrize(
    ("old", "new", "finding"),
    [
        ("priority = 1", "priority = 0", "[rank normal] priority: 0 is the"),
        ("priority = 1", "priority = 16", "above the maximum of 15"),
        ("priority = 1", "priority =", "[rank normal] priority: has no value"),
        ("priority = 1", "priority = 1\nworth = inf", "not a finite number"),
        (
            "priority = 1",
            "priority = 1\nminimum_share = 0.96",
            "add up to 1.01",
        ),
        ("owner = sales", "owner = a b", "[service ordering] owner: 'a b' is"),
        ("owner = sales", "", "[service ordering] owner: is missing"),
        ("owner = sales", "owner = s\ncolour = red", "colour: is unknown"),
        ("owner = sales", "owner = s\nfloor_share = 1", "leaves no margin"),
        ("owner = sales", "owner = s\norder_mode = lax", "is none of strict"),
        ("rank = urgent", "rank = gone", "ordering] rank: rank 'gone' does"),
        ("/fabrics", "/fabrics\nrank = gone", "browse] rank: rank 'gone' does"),
        ("/fabrics\nservice = ordering", "/f\nservice = no", "'no' does not"),
        ("/fabrics", "/swatches/\nmethods = POST", "same requests as route"),
        ("/fabrics", "/a?b", "is not a path of characters"),
        ("/fabrics", "/a//b", "is not a path of characters"),
        ("/fabrics", "/a\n  /b", "is not a path of characters"),
        ("/fabrics", "fabrics", "does not start with '/'"),
        ("/fabrics", "/f\nhost = A.example", "neither * nor a host"),
        ("/fabrics", "/f\nhost = a.example:80", "neither * nor a host"),
        ("/fabrics", "/f\nhost = *.example", "neither * nor a host"),
        ("/fabrics", "/f\nmethods = get", "'get' is not a method"),
        ("/fabrics", "/f\nmethods = GET, GET", "GET is given twice"),
        ("/fabrics", "/f\nworth = -0.5", "is negative; -1 stands"),
        ("methods = POST", "methods = GET, POST", "GET can't be an order"),
        ("methods = POST\n", "", "an order route names methods"),
        ("[route browse]", "[route a b]", "[route a b]: needs a name"),
        ("[route browse]", "[route]", "[route ]: needs a name"),
        ("[route browse]", "[route  swatch]", "[route swatch]: is given 2"),
        ("[route browse]", "[path browse]", "[path browse]: is unknown; known"),
        ("[route browse]", "[route swatch]", "is given again in line"),
        ("[rank urgent]", "text\n[rank urgent]", "stands before any section"),
    ],
)
def test_each_fault_is_found_with_its_place(old, new, finding):
    assert old in GOOD
    findings = list_findings(GOOD.replace(old, new))
    assert any(finding in line for line in findings), findings


def test_all_findings_are_reported_together():
    text = (
        GOOD.replace("priority = 1", "priority = 0")
        .replace("owner = sales", "owner = s\nfloor_share = 1\ncolour = red")
        .replace("/fabrics\nservice = ordering", "/fabrics\nservice = gone")
    )
    findings = list_findings(text)
    assert len(findings) == 4
    assert all(line.startswith("c.ini [") for line in findings)


def test_a_value_that_could_not_be_parsed_is_reported_once():
    """A missing priority must not count as a duplicate of priority 0."""
    findings = list_findings(
        GOOD.replace("priority = 1", "").replace("rank = urgent", "")
    )
    assert [line.partition(": ")[2] for line in findings] == ["is missing"] * 2


def test_every_repeated_section_and_key_is_reported():
    """A parser that stops at the first duplicate hides the others."""
    findings = list_findings(
        GOOD
        + "path = /again\n[rank normal]\npriority = 1\n[route swatch]\nhost = *"
    )
    repeated = [line.split(": ")[0] for line in findings if "again" in line]
    assert repeated == [
        "c.ini [route browse] path",
        "c.ini [rank normal]",
        "c.ini [rank normal] priority",
        "c.ini [route swatch]",
    ]


def test_an_empty_text_names_each_missing_kind():
    assert len(list_findings("")) == 3


def test_a_value_that_would_inject_text_is_rejected():
    catalogue = builders.build_catalogue()
    assert check_catalogue(catalogue, "c") == ()
    catalogue.services[0].owner = "sales\nfloor_share = 0"
    assert check_catalogue(catalogue, "c")
