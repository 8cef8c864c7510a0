jujubequay_module(core
    SOURCES
        clock.cpp
        identifiers.cpp
        invariant.cpp
        log.cpp
        result_code.cpp
    TESTS
        core_test.cpp
    DEPENDS jujubequay_fmt PkgConfig::xxhash)

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

jujubequay_module(policy
    SOURCES
        admission_queue.cpp
        flow_choice.cpp
        redirect.cpp
        least_loaded.cpp
        load_estimate.cpp
        outlier_detector.cpp
        placement.cpp
        retry.cpp
        held_request_queue.cpp
        packet_queue.cpp
    TESTS
        admission_queue_test.cpp
        balance_test.cpp
        outlier_detector_test.cpp
        placement_test.cpp
        held_request_queue_test.cpp
        packet_queue_test.cpp
    DEPENDS jujubequay_core)

jujubequay_module(consensus
    SOURCES
        disk_log_storage.cpp
        election.cpp
        log_record.cpp
        membership.cpp
        posix_file_system.cpp
        quorum.cpp
        reads.cpp
        replica.cpp
        replica_log.cpp
        replication.cpp
        snapshot_transfer.cpp
        storage_writes.cpp
    TESTS
        disk_log_storage_test.cpp
        membership_test.cpp
        quorum_test.cpp
        replica_test.cpp
    DEPENDS jujubequay_wire)

# Fakes for tests and soak runs; not part of the installed library.
jujubequay_module(consensus_testing
    SOURCES
        fake_cluster.cpp
        fake_disk.cpp
        fake_network.cpp
        safety_checker.cpp
        random_run.cpp
        run_label.cpp
    TESTS
        disk_faults_test.cpp
        fault_matrix_test.cpp
        random_run_test.cpp
    DEPENDS jujubequay_consensus)

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

jujubequay_module(net
    SOURCES
        accept_loop.cpp
        backend_client.cpp
        certificate.cpp
        http1_server.cpp
        http2_callbacks.cpp
        http2_message_client.cpp
        http2_message_stream.cpp
        http2_session.cpp
        http2_stream.cpp
        keep_alive.cpp
        key_file.cpp
        message_server.cpp
        peer_identity.cpp
        periodic_timer.cpp
        tls_context.cpp
        traffic.cpp
    TESTS
        backend_client_test.cpp
        http1_server_test.cpp
        http2_session_test.cpp
        keep_alive_test.cpp
        message_stream_test.cpp
    DEPENDS jujubequay_wire asio PkgConfig::nghttp2 http_parser)

jujubequay_module(control
    SOURCES
        bundle.cpp
        config_snapshot.cpp
        control_host_service.cpp
        control_services.cpp
        control_state.cpp
        flow_record_set.cpp
        flow_record_store.cpp
        join_service.cpp
        known_hosts_reconciler.cpp
        lease_registry.cpp
        membership_reconciler.cpp
        message_account.cpp
        operation_log.cpp
        operator_request.cpp
        peer_links.cpp
        replica_driver.cpp
        report_store.cpp
        route_table.cpp
        watch_server.cpp
        watched_servers.cpp
        watch_subscriber.cpp
    TESTS
        control_host_service_test.cpp
        control_random_test.cpp
        control_state_test.cpp
        flow_record_store_test.cpp
        lease_registry_test.cpp
        known_hosts_reconciler_test.cpp
        membership_reconciler_test.cpp
        message_account_test.cpp
        operator_request_test.cpp
        replacement_random_test.cpp
        route_table_test.cpp
        watch_test.cpp
    DEPENDS jujubequay_consensus)
target_link_libraries(control_test PRIVATE jujubequay_consensus_testing)

jujubequay_module(flow
    SOURCES
        agent_ingress.cpp
        forwarder.cpp
        initial_packet_table.cpp
        peer_loads.cpp
        packet.cpp
        return_paths.cpp
        request_table.cpp
    TESTS
        agent_ingress_test.cpp
        forwarder_test.cpp
        initial_packet_table_test.cpp
        peer_loads_test.cpp
        request_table_test.cpp
        return_paths_test.cpp
    DEPENDS jujubequay_policy jujubequay_wire PkgConfig::ngtcp2)

jujubequay_module(steering
    SOURCES
        agent_flow_acceptance.cpp
        agent_flow_records.cpp
        agent_flow_restoration.cpp
        agent_load.cpp
        agent_owner_lookup.cpp
        agent_registrars.cpp
        agent_steering.cpp
        balancer_steering.cpp
        flow_ownership.cpp
        flow_recorder.cpp
        segment.cpp
        server_directory.cpp
        steer_message.cpp
    TESTS
        agent_steering_test.cpp
        balancer_steering_test.cpp
        flow_recorder_test.cpp
        server_directory_test.cpp
        steer_message_test.cpp
        steering_random_callers.cpp
        steering_random_events.cpp
        steering_random_hosts.cpp
        steering_random_run.cpp
        steering_random_servers.cpp
        steering_random_test.cpp
    DEPENDS jujubequay_control jujubequay_policy)

jujubequay_module(client
    SOURCES
        answer_reader.cpp
        caller.cpp
        caller_flow.cpp
        spraying_socket.cpp
    TESTS
        answer_reader_test.cpp
        caller_test.cpp
    DEPENDS jujubequay_quic jujubequay_policy asio)
target_link_libraries(client_test PRIVATE jujubequay_agent)

jujubequay_module(datapath
    SOURCES
        balancer_path.cpp
        datagram_batch.cpp
        udp_socket.cpp
    TESTS
        balancer_path_test.cpp
    DEPENDS jujubequay_flow asio)

jujubequay_module(agent
    SOURCES
        request_broker.cpp
        request_broker_answers.cpp
    TESTS
        request_broker_test.cpp
    DEPENDS jujubequay_flow)

jujubequay_module(service
    SOURCES
        agent_path.cpp
        announce_client.cpp
        announcer.cpp
        config_watcher.cpp
    TESTS
        agent_path_test.cpp
        announcer_test.cpp
    DEPENDS jujubequay_agent jujubequay_control jujubequay_datapath jujubequay_net jujubequay_quic)

jujubequay_module(daemon
    SOURCES
        agent_settings.cpp
        backend_server.cpp
        backend_settings.cpp
        balancer_settings.cpp
        call_run.cpp
        call_settings.cpp
        call_summary.cpp
        command_line.cpp
        common_settings.cpp
        control_settings.cpp
        exit_status.cpp
        flow_secret.cpp
        load_reporter.cpp
        metrics.cpp
        metrics_http_server.cpp
        metrics_service.cpp
        operator_settings.cpp
        process_services.cpp
        prometheus_text.cpp
        settings_documentation.cpp
        settings_reader.cpp
        signer_key.cpp
        steering_settings.cpp
        work_queue.cpp
        work_times.cpp
    TESTS
        backend_test.cpp
        call_run_test.cpp
        command_line_test.cpp
        key_files_test.cpp
        metrics_test.cpp
        settings_test.cpp
    DEPENDS jujubequay_net jujubequay_client)
target_link_libraries(daemon_test PRIVATE jujubequay_agent)
target_compile_definitions(daemon_test PRIVATE JUJUBEQUAY_SOURCE_DIR="${PROJECT_SOURCE_DIR}")

jujubequay_module(control_program
    SOURCES
        control_process.cpp
    DEPENDS jujubequay_control jujubequay_daemon)

jujubequay_module(steering_program
    SOURCES
        agent_traffic.cpp
        announcement_check.cpp
        balancer_traffic.cpp
        discovery.cpp
        flow_record_files.cpp
        packet_report.cpp
        route_control_process.cpp
        server_announcements.cpp
        server_probe.cpp
        settings_watcher.cpp
        steering_agent_process.cpp
        steering_balancer_process.cpp
        traffic_loop.cpp
    TESTS
        announcement_check_test.cpp
        flow_record_files_test.cpp
        packet_report_test.cpp
        server_announcements_test.cpp
        server_end_random_test.cpp
        server_probe_test.cpp
        steering_agent_process_test.cpp
    DEPENDS jujubequay_daemon jujubequay_datapath jujubequay_service jujubequay_steering)

jujubequay_module(operator_program
    SOURCES
        bundle_commands.cpp
        command_context.cpp
        control_connection.cpp
        key_commands.cpp
        member_commands.cpp
        operator_program.cpp
        output.cpp
        roll_commands.cpp
        status_command.cpp
    TESTS
        operator_program_test.cpp
    DEPENDS jujubequay_control jujubequay_daemon)

jujubequay_module(balancer_program
    SOURCES
        balancer_process.cpp
        forwarding_table_builder.cpp
    TESTS
        forwarding_table_builder_test.cpp
    DEPENDS jujubequay_daemon jujubequay_service)

jujubequay_module(agent_program
    SOURCES
        agent_process.cpp
        backend_adapter.cpp
    TESTS
        agent_process_test.cpp
        backend_adapter_test.cpp
    DEPENDS jujubequay_daemon jujubequay_service)
