#!/usr/bin/env python3
"""Prints a day of planned work for `fleetbench run SITE FILE`: restart-series.py SEED

Most agents are restarted several times in close series, beside restarts of entries and some releases. No fault.
"""
import random, sys

seed = int(sys.argv[1])
rng = random.Random(seed)
plan = []
start = rng.uniform(6, 9)
while start < 24:
    interval = rng.uniform(0.4, 2.5)
    at_once = rng.choice([2, 3, 4, 4, 6, 8, 16])
    for series in range(rng.randint(2, 4)):
        plan.append(f'kind = "roll_term", on = "side", share = {rng.choice([0.7, 0.9, 1.0])}, x = {at_once}.0, '
                    f'gap_s = {rng.uniform(0.3, 0.8):.2f}, at = {start + series * interval:.2f}')
    if rng.random() < 0.8:
        plan.append(f'kind = "roll_term", share = {rng.choice([0.5, 1.0])}, x = {rng.choice([1, 2, 2, 3])}.0, '
                    f'gap_s = {rng.uniform(0.4, 1.2):.2f}, at = {start + rng.uniform(-0.5, 1.5):.2f}')
    if rng.random() < 0.3:
        plan.append(f'kind = "release", share = {rng.choice([0.3, 0.6])}, x = 2.0, gap_s = {rng.uniform(0.3, 1):.2f}, '
                    f'at = {start + rng.uniform(-1, 2):.2f}')
    start += rng.uniform(5, 10)
print(f'name = "restart-series-{seed}"\nslot = "trouble"\nseed = {seed}\nlength_s = 34.0\nplan = [')
print("".join(f"  {{ {step} }},\n" for step in plan) + "]\nfaults = []")
