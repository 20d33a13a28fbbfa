#!/usr/bin/env python3
"""Guards against a build that links only where other packages happen to be installed: every header and library that the
deploy file's build and review/build.sh read comes from a package of the deploy file, or from one that those require.

Usage: buildpackages.py TREE DEPLOY_FILE, after both builds in TREE."""
import os
import re
import subprocess
import sys
import tomllib


def output(*command, folder="."):
    return subprocess.run(command, cwd=folder, check=True, capture_output=True, text=True).stdout


def required_packages(names):
    """The installed packages that `names` bring along."""
    requires, providers = {}, {}
    for line in output("dpkg-query", "-W", "-f", "${Package}\t${Provides}\t${Pre-Depends}, ${Depends}\n").splitlines():
        package, provides, depends = line.split("\t")
        bare = [re.sub(r"[ (:].*", "", each.strip()) for each in re.split("[,|]", depends)]
        requires[package] = [each for each in bare if each]
        for each in re.sub(r"\([^)]*\)", "", provides).split(","):
            providers.setdefault(each.strip(), []).append(package)
    found, waiting = set(), list(names)
    while waiting:
        package = waiting.pop()
        if package in found or package not in requires:
            waiting += [each for each in providers.get(package, []) if each not in found]
            continue
        found.add(package)
        waiting += requires[package]
    return found


def packages_of(paths):
    """By path; Debian's files stand below /usr, also where packages list them below /."""
    asked = [each for path in paths for each in (path, path.removeprefix("/usr"))]
    found = subprocess.run(["dpkg-query", "-S", *asked], capture_output=True, text=True).stdout
    owners = {}
    for line in found.splitlines():
        packages, _, path = line.rpartition(": ")
        owners[path] = {each.split(":")[0] for each in packages.split(", ")}
    return {path: owners.get(path, set()) | owners.get(path.removeprefix("/usr"), set()) for path in paths}


def headers_of_deploy_build(tree):
    build = os.path.join(tree, "target", "build-" + os.uname().machine)
    return {line.strip() for line in output("ninja", "-C", build, "-t", "deps").splitlines() if line.startswith("    /")}


def headers_of_review(tree, script):
    sources = re.findall(r"[\w/]+\.cpp", script) + output("sh", "-c", "ls review/stand/*.cc", folder=tree).split()
    rules = output("g++", "-std=c++20", "-Isrc", "-I.", "-Istandins", "-M", *sources, folder=tree)
    return {word for word in rules.replace("\\\n", " ").split() if word.startswith("/")}


def libraries_of(*texts):
    names = {name for text in texts for name in re.findall(r"-l(\w+)", text)}
    return {output("g++", f"-print-file-name=lib{name}.so").strip() for name in names} | {
        path for text in texts for path in re.findall(r"/\S+\.so\b", text)}


def main(tree, deploy_file):
    with open(deploy_file, "rb") as file:
        packages = required_packages(tomllib.load(file)["packages"])
    with open(os.path.join(tree, "review", "build.sh")) as file:
        script = file.read()
    with open(os.path.join(tree, "target", "build-" + os.uname().machine, "build.ninja")) as file:
        links = "\n".join(line for line in file if "LINK_LIBRARIES" in line)
    used = headers_of_deploy_build(tree) | headers_of_review(tree, script) | libraries_of(script, links)
    files = {os.path.realpath(path) for path in used if os.path.exists(path)}
    files = {path for path in files if not path.startswith(os.path.realpath(tree))}
    foreign = {path: owners for path, owners in packages_of(files).items() if not owners & packages}
    for path, owners in sorted(foreign.items()):
        print(f"FAILED: {path} is of {', '.join(owners) or 'no package'}, which the deploy file's packages do not bring")
    print(f"{len(files)} files, {len(packages)} packages")
    return 1 if foreign or not files else 0


sys.exit(main(sys.argv[1], sys.argv[2]))
