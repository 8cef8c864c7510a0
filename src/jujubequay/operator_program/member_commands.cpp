#include "command_context.h"

namespace Jujubequay {

namespace pb = jujubequay::pb;

Result<void> listMembers(const Arguments &arguments)
{
    OnlineCommand command(
        {"jjq members list", "Lists the control hosts.", {{"jjq members list --settings jjq.toml", "Shows voters, learners and repair state."}}});
    BOOST_LEAF_CHECK(command.parse(arguments));
    BOOST_LEAF_AUTO(status, command.connection().status({}));
    TextTable table("control hosts", {"host", "address", "role", "reachable", "repair", "disk"});
    toml::array list;
    for (const pb::ControlHostStatus &host : status.control_hosts()) {
        const std::string role = host.leader() ? "leader" : host.voter() ? "voter" : "learner";
        table.add({host.host(), host.address(), role, host.reachable() ? "yes" : "no", host.repair(), host.disk_id()});
        list.push_back(toml::table{{"host", host.host()},
                                   {"address", host.address()},
                                   {"role", role},
                                   {"reachable", host.reachable()},
                                   {"repair", host.repair()},
                                   {"disk", host.disk_id()}});
    }
    if (command.format() == OutputFormat::Json) {
        printJson(toml::table{{"control_hosts", list}});
    } else {
        table.print();
    }
    return {};
}

Result<void> addMember(const Arguments &arguments)
{
    OnlineCommand command({"jjq members add",
                           "Adds a control host. It becomes a voter once it has caught up.",
                           {{"jjq members add --settings jjq.toml --host control-b --address 127.0.0.12:7400 --disk 8f0c...",
                             "Adds control-b with the disk that \"jjq-control --initialise\" printed."}}});
    auto &parser = command.parser();
    TCLAP::ValueArg<std::string> host("", "host", "common name of the host's certificate", true, "", "NAME", parser);
    TCLAP::ValueArg<std::string> address("", "address", "address of the control host", true, "", "IP:PORT", parser);
    TCLAP::ValueArg<std::string> disk("", "disk", "disk identity", true, "", "ID", parser);
    BOOST_LEAF_CHECK(command.parse(arguments));
    if (!parseHostAddress(address.getValue())) {
        return fail(ResultCode::BadCommandLine, fmt::format("--address: \"{}\" is not an IPv4 address and port", address.getValue()));
    }
    pb::Command message;
    pb::ChangeMembership &change = *message.mutable_membership();
    change.set_host(host.getValue());
    change.set_address(address.getValue());
    change.set_disk_id(disk.getValue());
    return command.execute(std::move(message));
}

Result<void> removeMember(const Arguments &arguments)
{
    OnlineCommand command({"jjq members remove",
                           "Removes a control host, for example before its replacement is added.",
                           {{"jjq members remove --settings jjq.toml --host control-b", "Removes control-b."}}});
    TCLAP::ValueArg<std::string> host("", "host", "name of the control host", true, "", "NAME", command.parser());
    BOOST_LEAF_CHECK(command.parse(arguments));
    pb::Command message;
    message.mutable_membership()->set_remove(true);
    message.mutable_membership()->set_host(host.getValue());
    return command.execute(std::move(message));
}

}
