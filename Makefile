# Every command a maintainer needs; VENV names the environment to use.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
PROTOS = $(wildcard figstream/rpc/*.proto)

.PHONY: demo test format lint types unit bench soak binary proto

demo: $(VENV)/.installed
	$(BIN)/python -m figstream demo

test: lint types unit

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: $(VENV)/.installed
	$(BIN)/mypy

unit: $(VENV)/.installed
	$(BIN)/python -m pytest

bench: $(VENV)/.installed
	$(BIN)/python -m bench

# Fresh seeds, for some minutes; SEEDS says how many.
SEEDS ?= 8
soak: $(VENV)/.installed
	PYTHONPATH=.:platform $(BIN)/python -m soak --count $(SEEDS)

binary: $(VENV)/.installed
	mkdir -p dist
	$(BIN)/shiv --quiet --compressed -e figstream.main:main -o dist/figstream \
	  -r requirements.txt .

proto: $(VENV)/.installed
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. \
	  --grpc_python_out=. $(PROTOS)

$(VENV)/.installed: requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements-dev.txt
	touch $@
