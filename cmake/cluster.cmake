jayhold_library(jayhold_cluster
  UNITS BackOff CallBudget ClusterCore ClusterDocuments ClusterGossip ClusterNode ConfigurationApply
    GossipMessage InstanceList Lease LeaseKeeper Membership MembershipOwners MembershipTargets OrderGate PlatformStore
    RecordDriver RecordMessages RecordPartition RecordRules RecordService RecordTable Rendezvous
    VersionedCopy
  LINK jayhold_http jayhold_operator)

jayhold_test(cluster_node_test
  SOURCES test/correctness/ClusterNodeTest.cpp test/FakePlatform.cpp
  LINK jayhold_cluster)

jayhold_test(cluster_record_test
  SOURCES test/correctness/RecordPartitionTest.cpp test/RecordWorld.cpp
  LINK jayhold_cluster)

jayhold_test(cluster_membership_test
  SOURCES test/correctness/MembershipTest.cpp test/correctness/ConfigurationSpreadTest.cpp test/GossipWorld.cpp
  LINK jayhold_cluster)

jayhold_test(cluster_lease_test
  SOURCES test/correctness/LeaseTest.cpp test/correctness/PlatformLimitsTest.cpp
  LINK jayhold_cluster)

# Measures the cost of gossip, configuration spread and records; the figures are in docs/notes.
add_executable(jayhold-cluster-cost bench/ClusterCost.cpp test/GossipWorld.cpp)
target_link_libraries(jayhold-cluster-cost PRIVATE jayhold_cluster)
