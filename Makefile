# One virtual environment holds everything; its stamp file is the set-up.
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint format bench capacity

$(STAMP): requirements.lock requirements-dev.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock -r requirements-dev.lock
	$(BIN)/pip install -q --no-deps -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m ferryledge.demo

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check src
	$(BIN)/ruff check src
	$(BIN)/flake8 --select H --ignore H404,H405 src
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff check --fix src
	$(BIN)/ruff format src

bench: $(STAMP)
	$(BIN)/python -m ferryledge.bench

capacity: $(STAMP)
	$(BIN)/python -m ferryledge.capacity measure > docs/capacity.jsonl
	$(BIN)/python -m ferryledge.capacity page docs/capacity.jsonl
	cat docs/capacity.jsonl
