"""Writes docs/measures.md from the JSON files of the benchmarks.

Run ``make bench`` first, then ``python -m benchmarks._pages``.
"""

import json
import pathlib
from typing import Any

_RESULTS = pathlib.Path("build/bench")
_PAGE = pathlib.Path("docs/measures.md")
_PLOTS = pathlib.Path("docs/plots")
_PAGE_HEADER = """# Measures

Written by `python -m benchmarks._pages` from the results of `make bench`. Each
section names its command and seed. Targets come from `docs/design.md`, section
1.3, and stay when a figure falls short; a row without a target is measured for
comparison. Times of decisions are virtual time; times of the path, of
propagation and of processor use are real time on one machine.
"""


def format_measure(measure: dict[str, Any]) -> str:
    """Format one measure as a row of a table."""
    target = verdict = ""
    if measure["target"] is not None and measure["bound"]:
        target = f"{measure['bound']} {measure['target']:g}"
    if measure["met"] is not None:
        verdict = "met" if measure["met"] else "**missed**"
    value = "never" if measure["value"] is None else f"{measure['value']:.4g}"
    return (
        f"| {measure['name']} | {value} | {measure['unit']} "
        f"| {target} | {verdict} |"
    )


def format_section(result: dict[str, Any]) -> str:
    """Format the results of one benchmark as a section."""
    title = result["title"]
    lines = [
        f"## {title}",
        "",
        f"`python -m benchmarks.{title} --seed {result['seed']}`",
        "",
    ]
    plot = _PLOTS / f"{title}.svg"
    if plot.exists():
        lines += [f"![{title}](plots/{title}.svg)", ""]
    lines += [
        "| measure | value | unit | target | |",
        "| --- | ---: | --- | --- | --- |",
    ]
    lines += [format_measure(measure) for measure in result["measures"]]
    return "\n".join(lines) + "\n"


def main() -> None:
    """Write the page from all results."""
    sections = [
        format_section(json.loads(path.read_text(encoding="utf-8")))
        for path in sorted(_RESULTS.glob("*.json"))
    ]
    _PAGE.write_text("\n".join([_PAGE_HEADER, *sections]), encoding="utf-8")


if __name__ == "__main__":
    main()
