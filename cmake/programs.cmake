jujubequay_program(jjq-forwarding-bench
    SOURCES bench/forwarding_bench.cpp
    DEPENDS jujubequay_datapath benchmark::benchmark)

jujubequay_program(jjq-soak SOURCES soak/jjq_soak.cpp DEPENDS jujubequay_consensus_testing)

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

jujubequay_program(quic-bench
    SOURCES bench/quic_bench.cpp
    DEPENDS jujubequay_quic)

jujubequay_program(jjq-settings-page SOURCES apps/jjq_settings_page.cpp DEPENDS jujubequay_daemon)
jujubequay_program(jjq-keygen SOURCES apps/jjq_keygen.cpp DEPENDS jujubequay_daemon)
jujubequay_program(jjq-backend SOURCES apps/jjq_backend.cpp DEPENDS jujubequay_daemon)
jujubequay_program(control-stream-bench SOURCES bench/control_stream_bench.cpp DEPENDS jujubequay_daemon)

jujubequay_fuzz(message-frame-fuzz SOURCES fuzz/message_frame_fuzz.cpp DEPENDS jujubequay_wire)
jujubequay_fuzz(http2-session-fuzz SOURCES fuzz/http2_session_fuzz.cpp DEPENDS jujubequay_net)
