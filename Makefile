# The tasks of this repository; README.md tells what each needs.
.PHONY: build test lint format run toy submit lab demo

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release && cmake --build build -j4

test:
	bash scripts/needs
	bash scripts/test

# All linters, warnings as errors; `scripts/lint STEP` runs one of them.
lint:
	bash scripts/lint

# Rewrites what the formatters would complain of.
format:
	bash scripts/lint format

# A dispatcher of the example configuration; `make toy` in another terminal starts what it talks to.
run: build
	mkdir -p example/state
	build/stonewing serve --config example/config.json

toy:
	python3 example/toy.py serve

submit:
	python3 example/toy.py submit

# The testbed (docs/lab.md).
lab:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DSTONEWING_LAB=ON && cmake --build build -j4

# From a bare machine: installs what is needed, builds, plays a short day of faults, says where the report is.
demo:
	bash scripts/needs
	$(MAKE) --no-print-directory lab
	build/stonewing_lab run experiments/demo.toml --baselines --out build/demo
