"""Tests that no module, class or function of the process keeps state of requests and settings."""

import ast
import sys
from collections import deque
from pathlib import Path

from platform_rig import World
from rig import story
from settings_rig import OTHER_CLASSES, SETTINGS, request_plan, sighup, simulate

from ramppulley import rules
from ramppulley.drill import wire  # noqa: F401 - imported so that `containers` inspects its tables too

ROUTER_SOURCES = [
    "rules.py",
    "parts.py",
    "profile.py",
    "settings_fields.py",
    "door.py",
    "service",
    "engines",
    "fronts",
    "daemon",
    "drill",
]
ROUTER_SOURCES += ["fleet", "wire"]


CACHES = "lru_cache", "cache", "cached_property", "WeakValueDictionary"
CONTAINERS = ast.Dict, ast.List, ast.Set, ast.DictComp, ast.ListComp, ast.SetComp


def sources():
    """(file, syntax tree) of each source file of a router."""
    root = Path(rules.__file__).parent
    for name in ROUTER_SOURCES:
        for file in [root / name] if name.endswith(".py") else sorted((root / name).rglob("*.py")):
            yield file.relative_to(root).as_posix(), ast.parse(file.read_text())


def test_no_function_keeps_anything_from_call_to_call_but_the_pure_draws_of_a_list():
    kept = set()
    for file, tree in sources():
        for node in ast.walk(tree):
            if isinstance(node, ast.Global | ast.Nonlocal):
                kept |= {f"{file} {name}" for name in node.names}
            elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.Lambda):
                defaults = [*node.args.defaults, *node.args.kw_defaults]
                kept |= {f"{file}:{node.lineno}" for value in defaults if isinstance(value, (*CONTAINERS, ast.Call))}
            elif (name := getattr(node, "id", getattr(node, "attr", None))) in CACHES:
                kept.add(f"{file} {name}")
    assert kept == {"parts.py WeakValueDictionary"}


def containers():
    """The repr of each container in the program's modules and classes."""
    found = {}
    for module_name, module in list(sys.modules.items()):
        if module_name.startswith("ramppulley.") and "standin" not in module_name:
            owners = [module, *(value for value in vars(module).values() if isinstance(value, type))]
            for owner in owners:
                for name, value in list(vars(owner).items()):
                    if isinstance(value, dict | list | set | deque) and not name.startswith("__"):
                        found[module_name, getattr(owner, "__name__", ""), name] = repr(value)
    return found


def test_the_tables_of_the_program_are_the_same_after_requests_and_new_settings(tmp_path):
    @story
    async def scenario():
        async with World() as world:
            before = containers()
            assert (await world.ask("a"))[0] == 200 and (await world.ask("b", req_kind="none"))[0] == 400
            await sighup(world, tmp_path, OTHER_CLASSES)
            assert (await world.ask("c", req_kind="inquiry"))[0] == 200
            simulate(SETTINGS, request_plan(1))
            assert containers() == before and ("ramppulley.rules", "ramppulley.rules", "NOTE_HANDLERS") in before

    scenario()
