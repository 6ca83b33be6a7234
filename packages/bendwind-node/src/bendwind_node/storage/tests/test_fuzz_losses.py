import unittest

from bendwind_node.storage.tests.loss_machine import LossMachine


class OneLossMachine(LossMachine):
    borne = 1


LossOfOneFuzzTest = OneLossMachine.TestCase

if __name__ == "__main__":
    unittest.main()
