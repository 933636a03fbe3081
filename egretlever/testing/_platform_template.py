"""Renders settings templates the way the platform does."""

import json
import re
from collections.abc import Mapping
from typing import Any

_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+)\}\}")


def render_template(text: str, fields: Mapping[str, Any]) -> str:
    """Fill in a template; tables that are not sections are written as JSON.

    Parameters
    ----------
    text : str
        Template with values and sections, which are not nested.
    fields : mapping of str to object
        Fields of the platform's settings, as plain tables.
    """

    def fill_section(found: re.Match[str]) -> str:
        table = _find(fields, found[1])
        last = len(table) - 1
        return "".join(
            found[2]
            .replace("{{@}}", key)
            .replace("{{.}}", _format(value))
            .replace("{{,}}", "," if number < last else "")
            for number, (key, value) in enumerate(table.items())
        )

    text = _SECTION.sub(fill_section, text)
    return _VALUE.sub(lambda found: _format(_find(fields, found[1])), text)


def _find(fields: Any, name: str) -> Any:
    for part in name.split("."):
        fields = fields[int(part)] if part.isdecimal() else fields[part]
    return fields


def _format(value: Any) -> str:
    if isinstance(value, dict):
        return json.dumps(value, separators=(",", ":"))
    if isinstance(value, list):
        return ",".join(map(_format, value))
    return value if isinstance(value, str) else json.dumps(value)
