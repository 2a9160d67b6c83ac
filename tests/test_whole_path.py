# SPDX-License-Identifier: BSD-3-Clause
"""The whole path with real processes."""

import json


def test_one_file_is_applied_and_requests_are_served(mesh, operator):
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
