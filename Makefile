# The project's tasks. `make run` without BALANCER_CONFIG starts the embedded sample on loopback (README.md).
.PHONY: build test lint run run-fleet ask bench fuzz loopback-rate service-days levels-on-sockets fleet-sizes keys-rate power-return store-sizes soak soak-mutants

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DORCHIDGW_TESTS=OFF
	cmake --build build -j4

test:
	bash tests/run_all.sh

lint:
	bash tests/lint.sh

run: build
	if [ -n "$$BALANCER_CONFIG" ]; then exec build/orchidgw; else exec build/orchidgw_sample run; fi

# Three controllers that share each whole, with stand-in engines: one is killed, and its parts move (docs/fleet.md).
run-fleet: build
	exec build/orchidgw_sample fleet

# A query to the sample that `make run` started: make ask Q='select * from sales_3.orders'
Q ?= select * from sales_3.orders
ask:
	build/orchidgw_sample ask "$(Q)"

# Long measurements, outside the tests (docs/limits.md).
bench:
	cmake -B build-bench -DCMAKE_BUILD_TYPE=Release -DORCHIDGW_TESTS=OFF -DORCHIDGW_BENCH=ON
	cmake --build build-bench -j4 --target orchidgw_limits_bench
	build-bench/bench/orchidgw_limits_bench

# Rough days in simulated time, with and without reduced service levels (docs/service-levels.md).
service-days:
	cmake -B build-bench -DCMAKE_BUILD_TYPE=Release -DORCHIDGW_TESTS=OFF -DORCHIDGW_BENCH=ON
	cmake --build build-bench -j4 --target orchidgw_service_days
	build-bench/bench/orchidgw_service_days

# Rough days on real sockets with stand-in engines, with and without levels; two and a half minutes.
levels-on-sockets:
	cmake -B build-rate -DCMAKE_BUILD_TYPE=Release
	cmake --build build-rate -j4 --target orchidgw_levels_days
	build-rate/tests/orchidgw_levels_days

# Requests a second and CPU a request on loopback: BEFORE=path/of/an/earlier/orchidgw against this one, in turn.
loopback-rate:
	cmake -B build-rate -DCMAKE_BUILD_TYPE=Release
	cmake --build build-rate -j4 --target orchidgw_loopback_rate
	build-rate/tests/orchidgw_loopback_rate $(BEFORE) build-rate/orchidgw

# How fast a fleet's budgets follow who lives: on loopback (5, 20, 100 processes), and simulated (300, 2,000).
fleet-sizes:
	cmake -B build-rate -DCMAKE_BUILD_TYPE=Release -DORCHIDGW_BENCH=ON
	cmake --build build-rate -j4 --target orchidgw_fleet_sizes_on_loopback orchidgw_fleet_sizes
	build-rate/tests/orchidgw_fleet_sizes_on_loopback
	build-rate/bench/orchidgw_fleet_sizes

# What it costs to promise a key before it is sent, on loopback; two and a half minutes.
keys-rate:
	cmake -B build-rate -DCMAKE_BUILD_TYPE=Release
	cmake --build build-rate -j4 --target orchidgw_keys_rate
	build-rate/tests/orchidgw_keys_rate

# How service comes back after power was lost to all, on loopback; two minutes.
power-return:
	cmake -B build-rate -DCMAKE_BUILD_TYPE=Release
	cmake --build build-rate -j4 --target orchidgw_power_return
	build-rate/tests/orchidgw_power_return

# Records a second on the disk, and how long a log takes to be found again.
store-sizes:
	cmake -B build-bench -DCMAKE_BUILD_TYPE=Release -DORCHIDGW_TESTS=OFF -DORCHIDGW_BENCH=ON
	cmake --build build-bench -j4 --target orchidgw_store_sizes
	build-bench/bench/orchidgw_store_sizes

fuzz:
	bash tests/fuzz.sh 2000000

# Two dozen controllers under random overlapping faults, judged by the rules: make soak SEEDS=1-20 SECONDS=20
SEEDS ?= 1-10
SECONDS ?= 20
soak:
	cmake -B build-rate -DCMAKE_BUILD_TYPE=Release
	cmake --build build-rate -j4 --target orchidgw_soak_tests
	ORCHIDGW_SOAK_SEEDS=$(SEEDS) ORCHIDGW_SOAK_SECONDS=$(SECONDS) build-rate/tests/orchidgw_soak_tests

# The soak beside load, with faults put into the program on purpose: each has to be caught. Some five minutes.
soak-mutants:
	cmake -B build-rate -DCMAKE_BUILD_TYPE=Release
	cmake --build build-rate -j4 --target orchidgw_soak_tests
	bash tests/soak/mutants.sh . build-rate/tests/orchidgw_soak_tests
