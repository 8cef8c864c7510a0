#include "command_context.h"

#include <jujubequay/daemon/flow_secret.h>
#include <jujubequay/daemon/signer_key.h>

namespace Jujubequay {

namespace pb = jujubequay::pb;

Result<void> listKeys(const Arguments &arguments)
{
    OnlineCommand command({"jjq keys list", "Lists signers and flow keys.", {{"jjq keys list --settings jjq.toml", "Shows no secrets."}}});
    BOOST_LEAF_CHECK(command.parse(arguments));
    BOOST_LEAF_AUTO(status, command.connection().status({}));
    TextTable signers("signers", {"service", "signer", "public key"});
    TextTable keys("flow keys", {"number", "state"});
    toml::array signerList;
    toml::array keyList;
    for (const pb::SignerEntry &signer : status.signers()) {
        signers.add({signer.service(), signer.signer(), toHex(signer.public_key())});
        signerList.push_back(toml::table{{"service", signer.service()}, {"signer", signer.signer()}, {"public_key", toHex(signer.public_key())}});
    }
    for (const pb::FlowKeyEntry &key : status.flow_keys()) {
        keys.add({std::to_string(key.number()), key.active() ? "active" : "valid"});
        keyList.push_back(toml::table{{"number", toJsonInteger(key.number())}, {"active", key.active()}});
    }
    if (command.format() == OutputFormat::Json) {
        printJson(toml::table{{"signers", signerList}, {"flow_keys", keyList}});
    } else {
        signers.print();
        keys.print();
    }
    return {};
}

Result<void> addSigner(const Arguments &arguments)
{
    OnlineCommand command({"jjq keys signer-add",
                           "Lets a signer sign bundles of a service, or of every service (\"*\"). Replaces the signer's earlier key.",
                           {{"jjq keys signer-add --settings jjq.toml --service inspect-desk --signer amina --public-key amina.signer.pub", "Adds amina."}}});
    auto &parser = command.parser();
    TCLAP::ValueArg<std::string> service("", "service", "service name or *", true, "", "NAME", parser);
    TCLAP::ValueArg<std::string> signer("", "signer", "name of the signer", true, "", "NAME", parser);
    TCLAP::ValueArg<std::string> file("", "public-key", "public key file of the signer", true, "", "FILE", parser);
    BOOST_LEAF_CHECK(command.parse(arguments));
    BOOST_LEAF_AUTO(key, loadSignerPublicKey(file.getValue()));
    pb::Command message;
    message.mutable_set_signer()->set_service(service.getValue());
    message.mutable_set_signer()->set_signer(signer.getValue());
    message.mutable_set_signer()->set_public_key({key.begin(), key.end()});
    return command.execute(std::move(message));
}

Result<void> removeSigner(const Arguments &arguments)
{
    OnlineCommand command({"jjq keys signer-remove",
                           "Removes a signer. Bundles in force stay in force; other bundles need another signature.",
                           {{"jjq keys signer-remove --settings jjq.toml --service inspect-desk --signer amina", "Removes amina."}}});
    TCLAP::ValueArg<std::string> service("", "service", "service name or *", true, "", "NAME", command.parser());
    TCLAP::ValueArg<std::string> signer("", "signer", "name of the signer", true, "", "NAME", command.parser());
    BOOST_LEAF_CHECK(command.parse(arguments));
    pb::Command message;
    message.mutable_set_signer()->set_service(service.getValue());
    message.mutable_set_signer()->set_signer(signer.getValue());
    return command.execute(std::move(message));
}

Result<void> addFlowKey(const Arguments &arguments)
{
    OnlineCommand command({"jjq keys flow-add",
                           "Adds a flow key. The first key can be activated at once with --activate, later keys once every host has them.",
                           {{"jjq keys flow-add --settings jjq.toml --number 1 --secret flow-1.secret", "Adds key 1."},
                            {"jjq keys flow-add --settings jjq.toml --number 0 --secret flow-0.secret --activate", "Adds the first key."}}});
    TCLAP::ValueArg<std::uint32_t> number("", "number", "0 to 7", true, 0, "NUMBER", command.parser());
    TCLAP::ValueArg<std::string> secret("", "secret", "secret file, from \"jjq-keygen flow-secret\"", true, "", "FILE", command.parser());
    TCLAP::SwitchArg activate("", "activate", "activate the key at once; only for the first key", command.parser());
    BOOST_LEAF_CHECK(command.parse(arguments));
    BOOST_LEAF_AUTO(bytes, loadFlowSecret(secret.getValue()));
    pb::Command message;
    message.mutable_add_flow_key()->set_number(number.getValue());
    message.mutable_add_flow_key()->set_secret({bytes.begin(), bytes.end()});
    message.mutable_add_flow_key()->set_activate(activate.getValue());
    return command.execute(std::move(message));
}

Result<void> activateFlowKey(const Arguments &arguments)
{
    OnlineCommand command({"jjq keys flow-activate",
                           "Makes new flow identifiers use a key. Refused while a connected host does not have the key.",
                           {{"jjq keys flow-activate --settings jjq.toml --number 1", "Activates key 1."}}});
    TCLAP::ValueArg<std::uint32_t> number("", "number", "0 to 7", true, 0, "NUMBER", command.parser());
    BOOST_LEAF_CHECK(command.parse(arguments));
    pb::Command message;
    message.mutable_activate_flow_key()->set_number(number.getValue());
    return command.execute(std::move(message));
}

Result<void> retireFlowKey(const Arguments &arguments)
{
    OnlineCommand command({"jjq keys flow-retire",
                           "Removes a flow key. Refused while open flows use it.",
                           {{"jjq keys flow-retire --settings jjq.toml --number 0", "Retires key 0."}}});
    TCLAP::ValueArg<std::uint32_t> number("", "number", "0 to 7", true, 0, "NUMBER", command.parser());
    BOOST_LEAF_CHECK(command.parse(arguments));
    pb::Command message;
    message.mutable_retire_flow_key()->set_number(number.getValue());
    return command.execute(std::move(message));
}

Result<void> generateSignerKey(const Arguments &arguments)
{
    OfflineCommand command({"jjq keygen",
                            "Creates a signer key file (mode 0600), and the public key in a .pub file in the same directory.",
                            {{"jjq keygen --out amina.signer", "Writes amina.signer and amina.signer.pub."}}});
    TCLAP::ValueArg<std::string> out("", "out", "new key file", true, "", "FILE", command.parser());
    BOOST_LEAF_CHECK(command.parse(arguments));
    BOOST_LEAF_AUTO(key, SignerKey::create(out.getValue()));
    const std::string publicKey(key.publicKey().begin(), key.publicKey().end());
    if (command.format() == OutputFormat::Json) {
        printJson(toml::table{{"public_key", toHex(publicKey)}});
    } else {
        fmt::print("public key {}\n", toHex(publicKey));
    }
    return {};
}

}
