"""Calls of two gateways whose requests share parts of a prompt."""

import http.client
import threading
import unittest


class PromptCalls(unittest.TestCase):
    """Base of tests with two gateways, a platform and a folder, which their setUp() creates."""

    def tearDown(self):
        self.join_calls()
        for gateway in self.gateways:
            gateway.stop()
        self.platform.close()
        self.folder.cleanup()

    def join_calls(self):
        for call in self.calls:
            call.join()

    def send(self, prompt, results):
        """Sends a request with the parts and one of its own; its status is added to the results."""
        self.number += 1
        number = self.number

        def call():
            try:
                results.append(self.gateways[number % 2].call(
                    f"/single/{number}", headers={"X-Model-Name": "m1", "X-Token-Usage": "100,20",
                                                  "X-Prompt-Prefix": f"{prompt},{number:x}:50"})[0])
            except (OSError, ValueError, http.client.HTTPException):  # broken off with its engine
                results.append(0)
        self.calls.append(threading.Thread(target=call))
        self.calls[-1].start()
