"""Runs all benchmarks and writes their results as JSON to build/bench."""

import importlib
import pathlib
import pkgutil

import benchmarks
from benchmarks._report import print_table, write_json

SEED = 1


def main() -> None:
    """Run all benchmark modules that have a ``run`` function."""
    for module_info in pkgutil.iter_modules(benchmarks.__path__):
        if module_info.name.startswith("_"):
            continue
        module = importlib.import_module(f"benchmarks.{module_info.name}")
        if not hasattr(module, "run"):
            continue
        measures = module.run(SEED)
        print_table(module_info.name, SEED, measures)
        path = pathlib.Path("build/bench") / f"{module_info.name}.json"
        write_json(path, module_info.name, SEED, measures)


if __name__ == "__main__":
    main()
