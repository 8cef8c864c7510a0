jujubequay_program(jjq-forwarding-bench
    SOURCES bench/forwarding_bench.cpp
    DEPENDS jujubequay_datapath benchmark::benchmark)

jujubequay_program(jjq-soak SOURCES soak/jjq_soak.cpp DEPENDS jujubequay_consensus_testing)
