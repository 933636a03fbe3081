"""Draws plots from the JSON files of the benchmarks.

Run ``python -m benchmarks._plots`` after the benchmarks. To add a plot, add its
function to `PLOTS` under the name of its file.
"""

import json
import pathlib
from collections.abc import Callable, Mapping, Sequence
from typing import Annotated, Any

import matplotlib as mpl
import typer
from matplotlib.figure import Figure

Measures = list[dict[str, Any]]
Plot = Callable[[Mapping[str, Measures]], Figure]

_MEDIAN_SUFFIX = ", median"
_P99_SUFFIX = ", 99th percentile"
_TICKS_S = (0.1, 0.3, 1.0, 3.0, 10.0, 30.0)
_STYLE: dict[Any, Any] = {
    # Text is not converted to paths, which keeps the file small. A fixed salt
    # of ids makes the output reproducible.
    "svg.fonttype": "none",
    "svg.hashsalt": "egretlever",
    "font.size": 8,
}


def read_results(folder: pathlib.Path) -> dict[str, Measures]:
    """Read the measures of all benchmarks, by title."""
    results = {}
    for path in sorted(folder.glob("*.json")):
        content = json.loads(path.read_text(encoding="utf-8"))
        results[content["title"]] = content["measures"]
    return results


def plot_detection(results: Mapping[str, Measures]) -> Figure:
    """Draw medians and 99th percentiles of detection with their targets."""
    measures = {
        item["name"]: item
        for item in results["detection"]
        if item["target"] is not None and item["unit"] == "s"
    }
    names = [
        n.removesuffix(_MEDIAN_SUFFIX)
        for n in measures
        if n.endswith(_MEDIAN_SUFFIX)
    ]
    figure = Figure(
        figsize=(7.0, 0.17 * len(names) + 0.9), layout="constrained"
    )
    axes = figure.subplots()
    rows = list(range(len(names)))
    for suffix, marker, label in (
        (_MEDIAN_SUFFIX, "o", "median"),
        (_P99_SUFFIX, "s", "99th percentile"),
    ):
        found = [measures[name + suffix] for name in names]
        values = [item["value"] for item in found]
        targets = [item["target"] for item in found]
        (points,) = axes.plot(values, rows, marker, markersize=4, label=label)
        axes.plot(
            targets,
            rows,
            "|",
            color=points.get_color(),
            markersize=8,
            label=f"target of the {label}",
        )
    axes.set_xscale("log")
    axes.set_xticks(_TICKS_S, [f"{tick:g}" for tick in _TICKS_S])
    axes.minorticks_off()
    axes.set_yticks(rows, names)
    axes.invert_yaxis()
    axes.grid(axis="x", linewidth=0.3)
    axes.set_xlabel("detection time in seconds")
    figure.legend(loc="outside upper center", ncols=4, fontsize=7)
    return figure


def draw_bars(
    names: Sequence[str],
    series: Mapping[str, Sequence[float]],
    label: str,
) -> Figure:
    """Draw groups of horizontal bars.

    Parameters
    ----------
    names : sequence of str
        Name of each group.
    series : mapping of str to sequence of float
        Values of each series, one for each group.
    label : str
        Label of the axis of values.

    Returns
    -------
    Figure
        Figure with the bars.
    """
    height = 0.8 / len(series)
    figure = Figure(
        figsize=(7.0, 0.14 * len(names) * len(series) + 1.0),
        layout="constrained",
    )
    axes = figure.subplots()
    for number, (name, values) in enumerate(series.items()):
        rows = [row + number * height for row in range(len(names))]
        axes.barh(rows, values, height, label=name)
    axes.set_yticks([row + 0.4 for row in range(len(names))], names)
    axes.invert_yaxis()
    axes.grid(axis="x", linewidth=0.3)
    axes.set_xlabel(label)
    figure.legend(loc="outside upper center", ncols=4, fontsize=7)
    return figure


def plot_floods(results: Mapping[str, Measures]) -> Figure:
    """Draw the on-time share of each rank with and without floods."""
    values = {item["name"]: item["value"] for item in results["floods"]}
    cases = [
        f"{fleet}, {flood}"
        for fleet in ("kapra", "sablat")
        for flood in ("no flood", "lowest", "highest")
    ]
    ranks = ("urgent", "normal", "background")
    names = [f"{case}, {rank}" for case in cases for rank in ranks]
    series = {
        policy: [
            values[f"{case}, {policy}: {rank} on time"]
            for case in cases
            for rank in ranks
        ]
        for policy in ("egretlever", "(a) round robin", "(b) least outstanding")
    }
    return draw_bars(names, series, "share of requests on time")


def plot_latency(results: Mapping[str, Measures]) -> Figure:
    """Draw direct and proxied latency, and their paired difference."""
    values = {item["name"]: item["value"] for item in results["latency"]}
    names = ("direct", "through the node", "paired difference")
    series = {
        quantile: [values[f"GET of 1 KB, {name}, {quantile}"] for name in names]
        for quantile in ("median", "p99")
    }
    return draw_bars(names, series, "milliseconds of a GET of 1 KB")


PLOTS: dict[str, Plot] = {
    "detection": plot_detection,
    "floods": plot_floods,
    "latency": plot_latency,
}


def write_plot(figure: Figure, path: pathlib.Path) -> None:
    """Write a figure as SVG without a date, to be reproducible."""
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, format="svg", metadata={"Date": None})


def main(
    results: Annotated[
        pathlib.Path, typer.Option(help="Folder of the JSON files.")
    ] = pathlib.Path("build/bench"),
    output: Annotated[
        pathlib.Path, typer.Option(help="Folder of the plots.")
    ] = pathlib.Path("docs/plots"),
) -> None:
    """Draw the plots of all benchmarks that have results."""
    found = read_results(results)
    with mpl.rc_context(_STYLE):
        for name, plot in PLOTS.items():
            if name in found:
                write_plot(plot(found), output / f"{name}.svg")


if __name__ == "__main__":
    typer.run(main)
