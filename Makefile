VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
SCHEMAS := $(wildcard egretlever/schema/*.proto)

.PHONY: test lint format schema schema-check deploy-check demo bench soak \
  relay-soak clean

$(VENV)/.ready: requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	touch $@

test: $(VENV)/.ready
	$(BIN)/python -m pytest

lint: $(VENV)/.ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(VENV)/.ready
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

schema: $(VENV)/.ready
	$(BIN)/python -m grpc_tools.protoc -I . --python_out=. --pyi_out=. $(SCHEMAS)

schema-check: $(VENV)/.ready
	rm -rf build/schema && mkdir -p build/schema
	$(BIN)/python -m grpc_tools.protoc -I . --python_out=build/schema --pyi_out=build/schema $(SCHEMAS)
	for file in build/schema/egretlever/schema/*_pb2.py*; do \
	  cmp $$file egretlever/schema/$$(basename $$file) || exit 1; done

# Installs what deploy/system.toml installs, and starts the program with nothing
# else: without -S the interpreter would find the packages of the tests too.
deploy-check:
	rm -rf build/deps
	$(PYTHON) -m pip install --quiet --target build/deps --requirement requirements.in
	PYTHONPATH=build/deps $(PYTHON) -S -m egretlever.programs.relay --version

demo: $(VENV)/.ready
	$(BIN)/python -m examples.demo

bench: $(VENV)/.ready
	$(BIN)/python -m benchmarks

soak: $(VENV)/.ready
	$(BIN)/python -m benchmarks._soak

relay-soak: $(VENV)/.ready
	$(BIN)/python -m benchmarks._relay_soak --runs 3

clean:
	rm -rf build
