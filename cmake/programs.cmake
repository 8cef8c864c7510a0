jujubequay_program(quic-bench
    SOURCES bench/quic_bench.cpp
    DEPENDS jujubequay_quic)
