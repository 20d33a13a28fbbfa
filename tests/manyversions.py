#!/usr/bin/env python3
"""Stores a configuration version every 250 ms and sends SIGHUP to processes, until it is ended.

Usage: manyversions.py CONFIGURATION STORE PID...
The versions change time-outs, limits of connections and bodies, and the keys of a second organisation.
"""
import json
import os
import signal
import sys
import time
import urllib.request

PERIOD_S = 0.25


def changed(configuration, number):
    out = json.loads(json.dumps(configuration))
    is_odd = number % 2 == 1
    out["Version"] = configuration["Version"] + number
    out["Limits"].update(IdleTimeoutMs=60 if is_odd else 15000, MaxBodyBytes=1 << (16 if is_odd else 20))
    for route in out["Routes"]:
        if route["Kind"] == "streaming":
            route["TimeoutMs"] = 8000 if is_odd else 12000
    out["Tenants"].append(dict(out["Tenants"][0], Name="org-b", ApiKeys=[f"key-{number}"] if is_odd else []))
    return json.dumps(out).encode()


def main(path, store, *processes):
    with open(path, encoding="utf-8") as file:
        configuration = json.load(file)
    number = 0
    while True:
        number += 1
        urllib.request.urlopen(f"http://{store}/configure", changed(configuration, number))
        time.sleep(PERIOD_S / 2)
        for process in processes:
            os.kill(int(process), signal.SIGHUP)
        time.sleep(PERIOD_S / 2)


main(*sys.argv[1:])
