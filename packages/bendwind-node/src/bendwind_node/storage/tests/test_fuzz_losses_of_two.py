import unittest

from bendwind_node.storage.tests.loss_machine import LossMachine


class TwoLossesMachine(LossMachine):
    borne = 2


LossOfTwoFuzzTest = TwoLossesMachine.TestCase

if __name__ == "__main__":
    unittest.main()
