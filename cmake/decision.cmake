jayhold_library(jayhold_decision
  UNITS Admission Dispatch EndForecast Forecast Ledger LengthModel Placement ReplicaEvents ReplicaHealth ReplicaIndex RequestEvents
    RequestLife RequestQueue RetryDelay RetryRules Shard TimerQueue
  LINK jayhold_operator)

jayhold_test(decision_test
  SOURCES test/correctness/FairnessTest.cpp test/correctness/SeatForecastTest.cpp test/correctness/ShardTest.cpp
  LINK jayhold_decision)
