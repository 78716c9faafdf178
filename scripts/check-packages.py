#!/usr/bin/env python3
"""Checks that deploy/system.toml names every Debian package whose headers the deployed targets include.

Reads the header dependencies that ninja recorded in ./build for the objects of packages/ and platform/, maps each
header outside the repository to its Debian package, and accepts the listed packages with all that they depend on.
"""
import os
import re
import subprocess
import sys
import tomllib

ROOT = os.path.realpath(os.path.join(os.path.dirname(__file__), ".."))


def run(*words):
    return subprocess.run(words, capture_output=True, text=True).stdout


def included_headers(build):
    """Returns the headers outside the repository that the deployed objects include."""
    headers = set()
    deployed = False
    for line in run("ninja", "-C", build, "-t", "deps").splitlines():
        if line and not line[0].isspace():
            deployed = line.startswith(("packages/", "platform/"))
        elif deployed and line.strip():
            path = os.path.realpath(os.path.join(build, line.strip()))
            if not path.startswith(ROOT + os.sep):
                headers.add(path)
    return headers


def packages_of(headers):
    """Returns a map from package name to one of its headers, and the headers of no package."""
    found = {}
    known = set()
    ordered = sorted(headers)
    for i in range(0, len(ordered), 200):
        for line in run("dpkg", "-S", *ordered[i : i + 200]).splitlines():
            package, _, path = line.partition(": ")
            known.add(path)
            found.setdefault(package.split(":")[0], path)
    return found, headers - known


def with_dependencies(names):
    """Returns the packages and all that they depend on, as installed here."""
    todo, seen = list(names), set()
    while todo:
        name = todo.pop()
        if name in seen:
            continue
        seen.add(name)
        fields = run("dpkg-query", "-W", "-f", "${Depends},${Pre-Depends}", name)
        for part in re.split(r"[,|]", fields):
            word = part.split("(")[0].split(":")[0].strip()
            if word:
                todo.append(word)
    return seen


def main():
    build = os.path.join(ROOT, sys.argv[1] if len(sys.argv) > 1 else "build")
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        listed = tomllib.load(file)["packages"]
    headers = included_headers(build)
    if not headers:
        sys.exit("check-packages: no recorded dependencies; build first")
    needed, unknown = packages_of(headers)
    allowed = with_dependencies(listed)
    missing = {name: header for name, header in needed.items() if name not in allowed}
    for name, header in sorted(missing.items()):
        print(f"deploy/system.toml lacks {name} ({header})")
    for header in sorted(unknown):
        print(f"header of no Debian package: {header}")
    return 1 if missing or unknown else 0


if __name__ == "__main__":
    sys.exit(main())
