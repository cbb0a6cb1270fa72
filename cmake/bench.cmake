set(BENCH_UNITS Arms BaselineRouter BenchOptions BoundChecks Callers ClairvoyantBound DecodeEngine Engines
  EntryInstance EventQueue Faults JsonReport KindMetrics Matrix Metrics PrefillEngine PrefixCache RequestGenerator
  Row SlotSharing SharedLink Simulation SvgPlot TableReport Workload)
list(TRANSFORM BENCH_UNITS PREPEND ${PROJECT_SOURCE_DIR}/bench/)
list(TRANSFORM BENCH_UNITS APPEND .cpp)
add_library(jayhold_bench_units STATIC ${BENCH_UNITS})
target_include_directories(jayhold_bench_units PUBLIC ${PROJECT_SOURCE_DIR}/bench)
target_link_libraries(jayhold_bench_units PUBLIC jayhold_decision)

add_executable(jayhold-bench bench/main.cpp)
target_link_libraries(jayhold-bench PRIVATE jayhold_bench_units)

jayhold_test(bench_test
  SOURCES test/correctness/BenchEngineTest.cpp test/correctness/BenchRunTest.cpp
  LINK jayhold_bench_units)

add_executable(jayhold-relay-bench bench/RelayBench.cpp bench/RelayCallers.cpp)
target_link_libraries(jayhold-relay-bench PRIVATE jayhold_entry jayhold_standins)

# Measures the cost of gossip, configuration distribution and records. The results are in
# docs/notes.
add_executable(jayhold-cluster-cost bench/ClusterCost.cpp test/GossipSimulation.cpp)
target_link_libraries(jayhold-cluster-cost PRIVATE jayhold_cluster)

add_executable(jayhold-decision-cost bench/DecisionCost.cpp)
target_link_libraries(jayhold-decision-cost PRIVATE jayhold_decision)
