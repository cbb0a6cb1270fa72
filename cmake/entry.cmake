jayhold_library(jayhold_entry
  UNITS AdminApi BackendCallOptions ApiError CallSignature CallerApi CallerChecks ClusterRecords CompletionFormat
    CompletionRequest CompletionWriter ConfigurationIndex ConnectionLog CustomerIdentity DecodeRelay EngineClient EngineError EngineMessages
    EngineMonitor EntryDaemon DrainWait EntryDaemonDrain EntrySettings ForwardApi ForwardChecks OrphanDetector LatencyHistogram LostOwners
    Metrics ModelArrival ModelRequest ModelRequestFallback ModelRequestLog ModelRequestReservations ModelRequestTasks ModelRequestVersion RequestTimeouts ModelService ModelServicePlacement ModelServiceReplicas ModelServiceSpeeds ModelServiceTimer NativeProtocols PassThroughReader PassThroughWriter PlacementApi PlacementQuery PlacementReport PlainBalancer PlainRoute
    PlainService PlainServiceAttempts PlainServiceCrashes PlainServiceLog PlainServicePlacement PlainServiceSpeeds PromptDigest RecentDurations RequestStateMachine RoleBalancer RouterHttpSettings RouterSamples RouteTable RouterDaemon RunId ServiceTable ServiceTablePauses ServiceTableSpeeds SpeedReporter StatusReport TokenEventReader PlainServiceWaiting PlainWaiting
    TokenSequence
  LINK jayhold_cluster jayhold_decision jayhold_operator jayhold_http)

jayhold_test(entry_rules_test
  SOURCES test/correctness/DrainWaitTest.cpp test/error/EntrySettingsTest.cpp test/error/CallerChecksTest.cpp
    test/correctness/EngineMessagesTest.cpp test/correctness/RecentDurationsTest.cpp test/correctness/RouteTableTest.cpp test/correctness/TokenRelayTest.cpp
  LINK jayhold_entry)

jayhold_test(entry_request_test
  SOURCES test/correctness/EndedAttemptsTest.cpp test/correctness/ModelRequestTest.cpp test/correctness/OutcomeLogTest.cpp test/correctness/PlacementApiTest.cpp test/correctness/VersionGuardTest.cpp test/correctness/PlainBalancerTest.cpp
    test/correctness/PlainServiceTest.cpp test/correctness/PlainWaitingTest.cpp test/correctness/PlainSlotWaitTest.cpp test/correctness/RoleBalancerTest.cpp
  LINK jayhold_entry)

jayhold_test(entry_daemon_test
  SOURCES test/correctness/EntryDaemonTest.cpp
  LINK jayhold_entry jayhold_standins)

jayhold_test(backend_pause_test
  SOURCES test/correctness/BackendPausesTest.cpp test/correctness/PausedBackendTest.cpp test/correctness/PausedReplicaTest.cpp
    test/correctness/PausePropertyTest.cpp test/correctness/PausedShardPropertyTest.cpp
  LINK jayhold_entry)

jayhold_test(speed_report_test
  SOURCES test/correctness/SpeedMessageTest.cpp test/correctness/UnevenPlainServersTest.cpp
  LINK jayhold_entry)
