import unittest

from bendwind_node.storage.tests.loss_machine import LossMachine


class LossOfOneMachine(LossMachine):
    tolerated_losses = 1


LossOfOneFuzzTest = LossOfOneMachine.TestCase

if __name__ == "__main__":
    unittest.main()
