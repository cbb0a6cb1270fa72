jayhold_library(jayhold_cluster
  UNITS BackOff CallBudget ClusterCore ClusterDocuments ClusterGossip ClusterNode ConfigurationApply
    GossipMessage InstanceList Membership MembershipOwners MembershipTargets PlatformStore
    RecordDriver RecordMessages RecordPartition RecordRules RecordService RecordTable Rendezvous
    VersionedCopy
  LINK jayhold_http jayhold_operator)

jayhold_test(cluster_node_test
  SOURCES test/correctness/ClusterNodeTest.cpp test/FakePlatform.cpp
  LINK jayhold_cluster)

jayhold_test(cluster_record_test
  SOURCES test/correctness/RecordPartitionTest.cpp test/RecordWorld.cpp
  LINK jayhold_cluster)
