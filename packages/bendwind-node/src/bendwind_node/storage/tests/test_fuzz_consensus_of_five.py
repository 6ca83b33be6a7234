import unittest

from bendwind_node.storage.tests.cluster_machine import ClusterMachine


class ClusterOfFiveMachine(ClusterMachine):
    size = 5


ClusterOfFiveFuzzTest = ClusterOfFiveMachine.TestCase

if __name__ == "__main__":
    unittest.main()
