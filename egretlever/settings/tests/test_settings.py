"""Guards against programs that start with invalid settings files."""

import pytest
from returns.pipeline import is_successful

from egretlever.schema import settings_pb2
from egretlever.settings import parse_address, parse_settings, read_settings

VALID = """
[backend]
server = ordering-1
service = ordering
listen = 127.0.0.1:9001
node_admin = [::1]:9002
control = 127.0.0.1:9003
"""


def parse(text):
    return parse_settings(
        text, "backend.ini", settings_pb2.BackendStandInSettings
    )


def list_findings(text):
    return [str(finding) for finding in parse(text).failure()]


def test_defaults_are_read_from_the_schema():
    settings = parse(VALID).unwrap()
    assert settings.backend.slots == 4
    assert settings.backend.service_time_s == 0.01


def test_all_findings_are_reported_together():
    text = VALID.replace("9001", "0") + "slots = many\ncolour = red\n[extra]\n"
    findings = list_findings(text)
    assert len(findings) == 4
    assert any("[backend] slots: 'many'" in line for line in findings)
    assert any("[backend] colour: is unknown" in line for line in findings)
    assert any("[extra]: is unknown" in line for line in findings)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (VALID + "slots = 0", "below the minimum of 1"),
        (VALID + "slots = nan", "not an integer"),
        (VALID + "service_time_s = nan", "below the minimum"),
        (VALID + "slots = 1\nslots = 2", "is given again in line"),
        ("server = x", "stands before any section"),
        (VALID + "a line without a value", "can't be parsed"),
        (VALID.replace("ordering-1", "a b"), "is not a name"),
        ("", "is missing"),
    ],
)
def test_invalid_text_is_a_finding(text, message):
    assert any(message in line for line in list_findings(text))


def test_misnamed_section_has_two_findings():
    # Each required key of the section had a finding besides.
    findings = list_findings(VALID.replace("[backend]", "[backand]"))
    assert findings == [
        "backend.ini [backand]: is unknown; known: backend",
        "backend.ini [backend]: is missing",
    ]


def test_missing_file_is_a_finding(tmp_path):
    result = read_settings(tmp_path / "no.ini", settings_pb2.NodeSettings)
    assert not is_successful(result)
    assert "can't be read" in str(result.failure()[0])


@pytest.mark.parametrize("text", ["127.0.0.1", "localhost:1", "1.2.3.4:70000"])
def test_invalid_addresses_are_rejected(text):
    with pytest.raises(ValueError, match="IP number|port"):
        parse_address(text)
