jujubequay_program(jjq-soak SOURCES soak/jjq_soak.cpp DEPENDS jujubequay_consensus_testing)
