jujubequay_program(jjq-forwarding-bench
    SOURCES bench/forwarding_bench.cpp
    DEPENDS jujubequay_datapath benchmark::benchmark)
