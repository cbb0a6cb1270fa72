add_library(jayhold_platform STATIC platform/BackendCalls.cpp platform/CallerMessages.cpp platform/CustomerFormats.cpp platform/Formats.cpp
  platform/Headers.cpp platform/HttpObjectStore.cpp platform/NumberField.cpp platform/Parts.cpp platform/RetryDelayFormat.cpp platform/SettingsFile.cpp platform/StoredItemText.cpp)
target_include_directories(jayhold_platform PUBLIC ${PROJECT_SOURCE_DIR}/platform)
target_link_libraries(jayhold_platform PUBLIC jayhold_entry)

jayhold_test(platform_formats_test
  SOURCES test/error/PlatformFormatsTest.cpp test/error/RetryDelayFormatTest.cpp
  LINK jayhold_platform)

jayhold_test(router_daemon_test
  SOURCES test/correctness/ObjectCallsTest.cpp test/correctness/BlockedPartsRouterTest.cpp test/correctness/RouterDaemonTest.cpp test/correctness/ShortDeadlineTest.cpp
    test/correctness/StoreHistoryTest.cpp test/FakeBackendServer.cpp test/FakeObjectStore.cpp
  LINK jayhold_platform)

jayhold_test(simultaneous_crashes_router_test
  SOURCES test/correctness/SimultaneousCrashesRouterTest.cpp test/FakeBackendServer.cpp test/FakeObjectStore.cpp
  LINK jayhold_platform)

jayhold_test(stream_version_router_test
  SOURCES test/correctness/StreamVersionRouterTest.cpp test/FakeBackendServer.cpp test/FakeObjectStore.cpp
  LINK jayhold_platform)

jayhold_test(retry_budget_test
  SOURCES test/correctness/FleetRetryTest.cpp test/correctness/ResendTest.cpp test/correctness/RetryBudgetTest.cpp
  LINK jayhold_platform)

jayhold_test(odd_entries_test
  SOURCES test/error/OddEntriesTest.cpp test/error/OddEntriesRouterTest.cpp test/FakeBackendServer.cpp test/FakeObjectStore.cpp
  LINK jayhold_platform)

# A test of its own, because KNOWN-RED.txt lists whole tests.
jayhold_test(named_limit_test
  SOURCES test/correctness/NamedLimitTest.cpp test/FakeBackendServer.cpp test/FakeObjectStore.cpp
  LINK jayhold_platform)

jayhold_test(crashing_call_test
  SOURCES test/correctness/CrashDecisionTest.cpp test/correctness/CrashingCallTest.cpp test/FakeBackendServer.cpp test/FakeObjectStore.cpp
  LINK jayhold_platform)

jayhold_test(silent_backend_test
  SOURCES test/correctness/RunningAnswerTest.cpp test/correctness/SilentBackendTest.cpp test/correctness/SilentEndTest.cpp test/FakeBackendServer.cpp test/FakeObjectStore.cpp
  LINK jayhold_platform)

jayhold_test(backend_answer_test
  SOURCES test/correctness/LargeBodyTest.cpp test/correctness/LostEndTest.cpp test/correctness/RepeatedRefusalTest.cpp test/correctness/SlotReservationTest.cpp test/correctness/StreamErrorTest.cpp test/error/BrokenAnswerRouterTest.cpp test/error/BrokenStoreAnswerTest.cpp test/error/EndlessBackendTest.cpp test/error/TruncatedBackendAnswerTest.cpp test/FakeBackendServer.cpp test/FakeObjectStore.cpp
  LINK jayhold_platform)

jayhold_test(server_notice_test
  SOURCES test/correctness/ServerNoticeTest.cpp test/FakeBackendServer.cpp test/FakeObjectStore.cpp
  LINK jayhold_platform)

jayhold_test(leaving_server_test
  SOURCES test/correctness/LeavingPropertyTest.cpp test/correctness/LeavingServerTest.cpp test/FakeBackendServer.cpp test/FakeObjectStore.cpp
  LINK jayhold_platform)

jayhold_test(pause_router_test
  SOURCES test/correctness/PauseNoticeTest.cpp test/correctness/PauseRouterTest.cpp test/FakeBackendServer.cpp test/FakeObjectStore.cpp
  LINK jayhold_platform)

jayhold_test(late_request_test
  SOURCES test/correctness/LateRequestTest.cpp test/FakeBackendServer.cpp test/FakeObjectStore.cpp
  LINK jayhold_platform)

jayhold_test(version_router_test
  SOURCES test/correctness/VersionRouterTest.cpp test/FakeBackendServer.cpp test/FakeObjectStore.cpp
  LINK jayhold_platform)

jayhold_test(customer_key_test
  SOURCES test/correctness/CustomerKeyTest.cpp test/FakeBackendServer.cpp test/FakeObjectStore.cpp
  LINK jayhold_platform)

jayhold_test(quota_router_test
  SOURCES test/correctness/QuotaRouterTest.cpp test/FakeBackendServer.cpp test/FakeObjectStore.cpp
  LINK jayhold_platform)
