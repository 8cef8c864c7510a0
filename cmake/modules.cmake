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

jujubequay_module(consensus
    SOURCES
        disk_log_storage.cpp
        election.cpp
        log_record.cpp
        membership.cpp
        posix_file_system.cpp
        reads.cpp
        replica.cpp
        replica_log.cpp
        replication.cpp
        snapshot_transfer.cpp
        storage_writes.cpp
    TESTS
        disk_log_storage_test.cpp
        membership_test.cpp
    DEPENDS jujubequay_wire)

jujubequay_module(control
    SOURCES
        bundle.cpp
        config_snapshot.cpp
        control_host_service.cpp
        control_services.cpp
        control_state.cpp
        lease_registry.cpp
        operation_log.cpp
        operator_request.cpp
        peer_links.cpp
        replica_driver.cpp
        report_board.cpp
        watch_server.cpp
        watch_subscriber.cpp
    TESTS
        control_host_service_test.cpp
        control_state_test.cpp
        lease_registry_test.cpp
        operator_request_test.cpp
        watch_test.cpp
    DEPENDS jujubequay_consensus)
