# `make demo` and `make test` set up what they need in a virtual environment of their own
VENV ?= .venv-dev
SHELL := /bin/bash
# numbers of tests that run in parallel: without child processes, and with them (tests/processes.py)
WORKERS ?= auto
PROCESS_WORKERS ?= 3
PYTHON := $(abspath $(VENV))/bin/python
export PATH := $(abspath $(VENV))/bin:$(PATH)

$(VENV)/ready: requirements-dev.txt requirements-tools.txt requirements-fleet.txt requirements.txt
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

$(VENV)/tools: requirements-tools.txt requirements-fleet.txt requirements.txt
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --quiet --disable-pip-version-check -r requirements-tools.txt
	touch $@

test: $(VENV)/ready
	ruff check .
	ruff format --check .
	mypy
	@tests/passes.sh $(WORKERS) $(PROCESS_WORKERS)

# runs the tests against the compiled modules, as deployed (tests/compiled_form.py); fails if they were not compiled
test-compiled: $(VENV)/ready
	python3 deploy/build.py
	python3 deploy/test_tree.py
	$(COMPILED) python -c 'from myrtlecourse import policy; assert not policy.__file__.endswith(".py"), "not compiled"'
	@$(COMPILED) tests/passes.sh $(WORKERS) $(PROCESS_WORKERS) --import-mode=append

# child processes of the tests find the compiled package too
test-compiled: COMPILED = PYTHONSAFEPATH=1 PYTHONPATH="$(CURDIR)/build/compiled-tests:$(CURDIR)"

# runs two real routers under load while a cache server dies and others are replaced; fails if a rule was
# broken
demo: $(VENV)/tools
	@python -m myrtlecourse fleet demo/demo.toml --load demo/load.toml --html demo-report.html

.PHONY: test test-compiled demo
