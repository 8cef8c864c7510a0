jujubequay_program(jjq-settings-page SOURCES apps/jjq_settings_page.cpp DEPENDS jujubequay_daemon)
jujubequay_program(jjq-keygen SOURCES apps/jjq_keygen.cpp DEPENDS jujubequay_daemon)
jujubequay_program(jjq-backend SOURCES apps/jjq_backend.cpp DEPENDS jujubequay_daemon)
jujubequay_program(control-stream-bench SOURCES bench/control_stream_bench.cpp DEPENDS jujubequay_daemon)

jujubequay_fuzz(message-frame-fuzz SOURCES fuzz/message_frame_fuzz.cpp DEPENDS jujubequay_wire)
