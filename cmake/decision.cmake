jayhold_library(jayhold_decision
  UNITS Admission PlacementExplanation PlacementObstacle PlacementTrace AnsweredRequests CrashEvidence CrashHistory CrashAttribution CrashCopies Deadlines Dispatch DecodeEndHistogram Estimates ReservationAccounting SlotMemory LengthModel LoadReports Placement PrefillChoice PrefixCacheView PromptPartBlocking PromptPartCrashes QueuedRequests ReplicaEvents ReplicaHealth ReplicaIndex RequestEvents ReplicaPauses
    RequestLifecycle RequestQueue RequestTimers RetryDelay RetryRules RoleBalance ServingTime SilentAttempts ServerReplacement ServerSpeed SlotHeadroom SpeedEstimates SpeedReference Shard TimerQueue UndecidedCrashes VersionBinding WorkAverage CallerCost Displacement RequestRanks ReturnPromises
  LINK jayhold_operator)

jayhold_test(decision_test
  SOURCES test/correctness/CallCrashPropertyTest.cpp test/correctness/CallCrashesTest.cpp test/correctness/CrashTest.cpp test/correctness/CrashCopyPropertyTest.cpp test/correctness/CrashCopyTest.cpp test/correctness/DrainTest.cpp test/correctness/FairnessTest.cpp test/correctness/FallbackTest.cpp test/correctness/ForwardShardTest.cpp test/correctness/LoadReportTest.cpp test/correctness/HeadroomTest.cpp test/correctness/LimitedReplicaTest.cpp test/correctness/OverloadTest.cpp test/correctness/PlacementTest.cpp test/correctness/PromptPartCrashesTest.cpp test/correctness/PromptPartBlockingTest.cpp test/correctness/RetryTest.cpp test/correctness/RetryWaitTest.cpp test/correctness/RetryWaitLimitsTest.cpp test/correctness/RoleBalanceTest.cpp test/correctness/SilentAttemptsTest.cpp test/correctness/SlotEstimateTest.cpp test/correctness/SlotMemoryTest.cpp test/correctness/StreamVersionTest.cpp test/correctness/VersionGoneTest.cpp test/correctness/RestartedEngineTest.cpp test/correctness/StreamVersionPropertyTest.cpp test/correctness/ShardModel.cpp test/correctness/ShardModelReplacements.cpp test/correctness/ShardPropertyTest.cpp test/correctness/ReplacementTest.cpp test/correctness/ReplicaRemovalTest.cpp test/correctness/SimultaneousCrashesTest.cpp
    test/correctness/ShardTest.cpp
  LINK jayhold_decision)
if(JAYHOLD_TESTS)
  # Some faults appeared only after more than a thousand random sequences.
  # 2000 sequences take about 2 s.
  set_tests_properties(decision_test PROPERTIES ENVIRONMENT "RC_PARAMS=${JAYHOLD_RC_PARAMS} max_success=2000")
endif()

# Tests of their own, because KNOWN-RED.txt lists whole tests.
jayhold_test(burst_memory_test
  SOURCES test/correctness/BurstMemoryTest.cpp
  LINK jayhold_decision)
jayhold_test(fleet_crash_test
  SOURCES test/correctness/CrashFleet.cpp test/correctness/FleetCrashTest.cpp
  LINK jayhold_decision)
jayhold_test(server_speed_test
  SOURCES test/correctness/ServerSpeedTest.cpp test/correctness/UnevenEnginesTest.cpp
  LINK jayhold_decision)
jayhold_test(caller_cost_test
  SOURCES test/correctness/CallerCostTest.cpp test/correctness/RankTest.cpp test/correctness/ReturnDelayTest.cpp test/correctness/FullQueueTest.cpp
  LINK jayhold_decision)
jayhold_test(placement_explanation_test
  SOURCES test/correctness/PlacementExplanationTest.cpp
  LINK jayhold_decision)
