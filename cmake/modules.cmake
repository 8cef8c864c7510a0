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
        generated/request.pb.cc
    TESTS
        flow_id_test.cpp
        framing_test.cpp
        relay_header_test.cpp
    DEPENDS jujubequay_core protobuf::libprotobuf-lite PkgConfig::sodium)
target_include_directories(jujubequay_wire SYSTEM PUBLIC ${PROJECT_SOURCE_DIR}/src/jujubequay/wire/generated)

jujubequay_module(quic
    SOURCES
        quic_client.cpp
        quic_connection.cpp
        quic_event.cpp
        quic_server.cpp
        send_buffer.cpp
        tls_credentials.cpp
        tls_session.cpp
    TESTS
        quic_test.cpp
        send_buffer_test.cpp
    DEPENDS jujubequay_wire PkgConfig::ngtcp2 PkgConfig::gnutls)
