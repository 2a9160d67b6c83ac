# SPDX-License-Identifier: BSD-3-Clause
"""End-to-end test with real processes, from applying a configuration to serving requests."""

import json


def test_configuration_is_applied_and_requests_are_served(mesh, operator):
    assert mesh.request("GET", "/checklists/1")[0] == 503
    code, answer = operator.apply(1)
    assert (code, answer["answer"]) == (0, "applied")
    assert answer["in_force"] == answer["required"] == 9
    for number, (method, path) in enumerate([("GET", "/checklists/1"), ("POST", "/sightings"), ("PUT", "/media/1")]):
        status, text = mesh.request(method, path, b"x" if method != "GET" else b"", entry=number)
        assert status == 200
        assert json.loads(text)["path"] == path
    status, text = mesh.request("GET", "/nowhere")
    assert (status, json.loads(text)["outcome"]) == (404, "not-run")
    assert set(mesh.stop()) == {0}
