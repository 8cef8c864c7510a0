# The fakes of the policy bench, shared by the program and its test.
add_library(policy_bench_run STATIC
    bench/metrics.cpp
    bench/network.cpp
    bench/policy_run.cpp
    bench/policy_run_flows.cpp
    bench/policy_run_requests.cpp
    bench/scenario.cpp)
target_link_libraries(policy_bench_run PUBLIC jujubequay_policy)

jujubequay_program(policy-bench SOURCES bench/policy_bench.cpp DEPENDS policy_bench_run)
jujubequay_program(policy-benchmark SOURCES bench/allocation_count.cpp bench/policy_benchmark.cpp DEPENDS jujubequay_policy benchmark::benchmark)

add_executable(policy_bench_test bench/policy_bench_test.cpp src/jujubequay/test_main.cpp)
target_link_libraries(policy_bench_test PRIVATE policy_bench_run PkgConfig::cppunit)
add_test(NAME policy_bench COMMAND policy_bench_test)
set_tests_properties(policy_bench PROPERTIES TIMEOUT 300)
