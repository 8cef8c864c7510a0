jujubequay_module(core
    SOURCES
        clock.cpp
        identifiers.cpp
        invariant.cpp
        log.cpp
        result_code.cpp
    TESTS
        core_test.cpp
    DEPENDS fmt::fmt PkgConfig::xxhash)

jujubequay_module(wire
    SOURCES
        digest.cpp
        flow_id.cpp
        framing.cpp
        relay_header.cpp
        generated/consensus.pb.cc
        generated/control.pb.cc
        generated/metrics.pb.cc
        generated/request.pb.cc
    TESTS
        flow_id_test.cpp
        framing_test.cpp
        relay_header_test.cpp
    DEPENDS jujubequay_core protobuf::libprotobuf-lite PkgConfig::sodium)
target_include_directories(jujubequay_wire SYSTEM PUBLIC ${PROJECT_SOURCE_DIR}/src/jujubequay/wire/generated)

jujubequay_module(net
    SOURCES
        backend_client.cpp
        certificate.cpp
        http2_callbacks.cpp
        http2_message_client.cpp
        http2_message_stream.cpp
        http2_session.cpp
        http2_stream.cpp
        keep_alive.cpp
        key_file.cpp
        message_server.cpp
        peer_identity.cpp
        tls_context.cpp
        traffic.cpp
    TESTS
        http2_session_test.cpp
        keep_alive_test.cpp
        message_stream_test.cpp
    DEPENDS jujubequay_wire asio PkgConfig::nghttp2)

jujubequay_module(daemon
    SOURCES
        agent_settings.cpp
        backend_server.cpp
        backend_settings.cpp
        balancer_settings.cpp
        call_settings.cpp
        command_line.cpp
        common_settings.cpp
        control_settings.cpp
        exit_status.cpp
        flow_secret.cpp
        load_report.cpp
        metrics.cpp
        metrics_http_server.cpp
        metrics_service.cpp
        operator_settings.cpp
        prometheus_text.cpp
        settings_documentation.cpp
        settings_reader.cpp
        signer_key.cpp
        work_queue.cpp
        work_times.cpp
    TESTS
        backend_test.cpp
        command_line_test.cpp
        key_files_test.cpp
        metrics_test.cpp
        settings_test.cpp
    DEPENDS jujubequay_net)
target_compile_definitions(daemon_test PRIVATE JUJUBEQUAY_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
