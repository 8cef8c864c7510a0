jujubequay_program(jjq-forwarding-bench
    SOURCES bench/forwarding_bench.cpp
    DEPENDS jujubequay_datapath benchmark::benchmark)
jujubequay_program(jjq-soak SOURCES soak/jjq_soak.cpp DEPENDS jujubequay_consensus_testing)
jujubequay_program(quic-bench
    SOURCES bench/quic_bench.cpp
    DEPENDS jujubequay_quic)
jujubequay_program(jjq-settings-page SOURCES apps/jjq_settings_page.cpp DEPENDS jujubequay_daemon)
jujubequay_program(jjq-keygen SOURCES apps/jjq_keygen.cpp DEPENDS jujubequay_daemon)
jujubequay_program(jjq-backend SOURCES apps/jjq_backend.cpp DEPENDS jujubequay_daemon)
jujubequay_program(control-stream-bench SOURCES bench/control_stream_bench.cpp DEPENDS jujubequay_daemon)
jujubequay_program(capacity-bench SOURCES bench/capacity_bench.cpp DEPENDS jujubequay_balancer_program)
jujubequay_program(jjq-balancer SOURCES apps/jjq_balancer.cpp DEPENDS jujubequay_balancer_program)
jujubequay_program(jjq-agent SOURCES apps/jjq_agent.cpp DEPENDS jujubequay_agent_program)
jujubequay_program(jjq-bench-consensus SOURCES bench/jjq_bench_consensus.cpp DEPENDS jujubequay_consensus_testing)
jujubequay_program(policy-benchmark SOURCES bench/allocation_count.cpp bench/policy_benchmark.cpp DEPENDS jujubequay_policy benchmark::benchmark)
jujubequay_program(policy-bench SOURCES bench/policy_bench.cpp DEPENDS policy_bench_run)
jujubequay_program(jjq-control SOURCES apps/jjq_control.cpp DEPENDS jujubequay_control_program)
jujubequay_program(jjq SOURCES apps/jjq.cpp DEPENDS jujubequay_operator_program)
jujubequay_program(jjq-call SOURCES apps/jjq_call.cpp DEPENDS jujubequay_daemon)

# Simulation of the policy bench, used by the program and its test.
add_library(policy_bench_run STATIC
    bench/metrics.cpp
    bench/network.cpp
    bench/policy_run.cpp
    bench/policy_run_flows.cpp
    bench/policy_run_requests.cpp
    bench/scenario.cpp)
target_link_libraries(policy_bench_run PUBLIC jujubequay_policy)

add_executable(policy_bench_test bench/policy_bench_test.cpp src/jujubequay/test_main.cpp)
target_link_libraries(policy_bench_test PRIVATE policy_bench_run PkgConfig::cppunit)
add_test(NAME policy_bench COMMAND policy_bench_test)
set_tests_properties(policy_bench PROPERTIES TIMEOUT 300)

jujubequay_program(example-placement SOURCES examples/placement.cpp DEPENDS jujubequay_policy)
jujubequay_program(example-flow-identifier SOURCES examples/flow_identifier.cpp DEPENDS jujubequay_wire)
jujubequay_program(example-admission SOURCES examples/admission.cpp DEPENDS jujubequay_policy)

jujubequay_fuzz(message-frame-fuzz SOURCES fuzz/message_frame_fuzz.cpp DEPENDS jujubequay_wire)
jujubequay_fuzz(http2-session-fuzz SOURCES fuzz/http2_session_fuzz.cpp DEPENDS jujubequay_net)
jujubequay_fuzz(quic-datagram-fuzz SOURCES fuzz/quic_datagram_fuzz.cpp DEPENDS jujubequay_quic)
jujubequay_fuzz(caller-messages-fuzz SOURCES fuzz/caller_messages_fuzz.cpp DEPENDS jujubequay_client)
jujubequay_fuzz(forwarder-fuzz SOURCES fuzz/forwarder_fuzz.cpp DEPENDS jujubequay_flow)
