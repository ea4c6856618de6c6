PYTHON ?= python3.11
VENV ?= .venv
RUN = $(VENV)/bin/python
# pipefail keeps the exit code of a command whose output is piped to tee.
SHELL = /bin/bash
.SHELLFLAGS = -o pipefail -c

.PHONY: demo test faults soak bench bench-long bench-control report lint format binary clean

$(VENV)/.installed: requirements-dev.lock
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements-dev.lock
	touch $@

demo: $(VENV)/.installed
	$(RUN) -m bench.demo

test: $(VENV)/.installed
	$(RUN) -m tests

faults: $(VENV)/.installed
	$(RUN) -m bench.faults

soak: $(VENV)/.installed
	$(RUN) -m bench.soak --seed $$(date +%s) --seeds 1000 --minutes 5

bench: $(VENV)/.installed
	mkdir -p reports
	$(RUN) -m bench.policy | tee reports/policy.jsonl

bench-long: $(VENV)/.installed
	mkdir -p reports
	$(RUN) -m bench.policy --long | tee reports/policy-long.jsonl

bench-control: $(VENV)/.installed
	mkdir -p reports
	$(RUN) -m bench.control | tee reports/control.jsonl

report: $(VENV)/.installed
	$(RUN) -m bench.report

format: $(VENV)/.installed
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

lint: $(VENV)/.installed
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

binary: $(VENV)/.installed
	packaging/build-binary $(VENV)/bin/python dist/laurelrock

clean:
	rm -rf build dist reports
