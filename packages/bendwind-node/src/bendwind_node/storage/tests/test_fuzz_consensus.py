import unittest

from bendwind_node.storage.tests.cluster_machine import ClusterMachine


class ClusterOfThreeMachine(ClusterMachine):
    size = 3


ClusterOfThreeFuzzTest = ClusterOfThreeMachine.TestCase

if __name__ == "__main__":
    unittest.main()
