jujubequay_program(jjq-soak SOURCES soak/jjq_soak.cpp DEPENDS jujubequay_consensus_testing)
jujubequay_program(jjq-bench-consensus SOURCES bench/jjq_bench_consensus.cpp DEPENDS jujubequay_consensus_testing)
