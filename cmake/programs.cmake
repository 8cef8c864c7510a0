jujubequay_program(policy-bench
    SOURCES
        bench/metrics.cpp
        bench/network.cpp
        bench/policy_bench.cpp
        bench/policy_run.cpp
        bench/policy_run_flows.cpp
        bench/policy_run_requests.cpp
        bench/scenario.cpp
    DEPENDS jujubequay_policy)
