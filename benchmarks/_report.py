"""Measures of a benchmark, printed as a table and written as JSON."""

import dataclasses
import enum
import json
import math
import pathlib
from collections.abc import Callable, Sequence
from typing import Annotated

import typer


class Bound(enum.Enum):
    """Whether a target is an upper or a lower bound of the measured value."""

    AT_MOST = "<="
    AT_LEAST = ">="
    NONE = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Measure:
    """One measured value with its target.

    Parameters
    ----------
    name : str
        What was measured, with the variant or size.
    value : float
        Measured value.
    unit : str
        Unit of the value.
    target : float, optional
        Target from the design, never derived from the value.
    bound : Bound, default=Bound.NONE
        Whether the target is an upper or a lower bound.
    """

    name: str
    value: float
    unit: str
    target: float | None = None
    bound: Bound = Bound.NONE

    @property
    def met(self) -> bool | None:
        """Whether the target is met, None without a target."""
        if self.target is None or self.bound is Bound.NONE:
            return None
        if self.bound is Bound.AT_MOST:
            return self.value <= self.target
        return self.value >= self.target


def print_table(title: str, seed: int, measures: Sequence[Measure]) -> None:
    """Print measures as a table."""
    print(f"{title} (seed {seed})")
    width = max(len(measure.name) for measure in measures)
    for measure in measures:
        target = ""
        if measure.met is not None:
            verdict = "met" if measure.met else "MISSED"
            target = f"  {measure.bound.value} {measure.target:g}  {verdict}"
        print(
            f"  {measure.name:<{width}}  {measure.value:>12.4g}"
            f" {measure.unit}{target}"
        )


def write_json(
    path: pathlib.Path, title: str, seed: int, measures: Sequence[Measure]
) -> None:
    """Write measures as JSON."""
    content = {
        "title": title,
        "seed": seed,
        "measures": [
            {
                "name": measure.name,
                # JSON has no infinity; null stands for "never".
                "value": measure.value
                if math.isfinite(measure.value)
                else None,
                "unit": measure.unit,
                "target": measure.target,
                "bound": measure.bound.value,
                "met": measure.met,
            }
            for measure in measures
        ],
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(content, indent=2) + "\n", encoding="utf-8")


def run_benchmark(title: str, run: Callable[[int], list[Measure]]) -> None:
    """Run a benchmark as a command with the options --seed and --json."""

    def command(
        seed: Annotated[int, typer.Option(help="Seed of the run.")] = 1,
        json_path: Annotated[
            pathlib.Path | None, typer.Option("--json", help="JSON file.")
        ] = None,
    ) -> None:
        measures = run(seed)
        print_table(title, seed, measures)
        if json_path is not None:
            write_json(json_path, title, seed, measures)

    typer.run(command)
