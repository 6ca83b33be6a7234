import unittest

from bendwind_node.storage.tests.loss_machine import LossMachine


class LossOfTwoMachine(LossMachine):
    tolerated_losses = 2


LossOfTwoFuzzTest = LossOfTwoMachine.TestCase

if __name__ == "__main__":
    unittest.main()
