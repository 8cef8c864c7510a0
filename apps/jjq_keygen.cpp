#include <jujubequay/daemon/command_line.h>
#include <jujubequay/daemon/flow_secret.h>
#include <jujubequay/daemon/signer_key.h>
#include <jujubequay/net/certificate.h>

using namespace Jujubequay;

namespace {

ProgramDescription description()
{
    return {"jjq-keygen",
            "Creates the keys of a jujubequay installation. KIND is authority, certificate, signer or flow-secret. Existing files are never overwritten.",
            {
                {"jjq-keygen authority --directory keys --name mwambao", "Creates keys/authority.crt and keys/authority.key."},
                {"jjq-keygen certificate --directory keys --name host-a --role control", "Issues keys/host-a.crt and keys/host-a.key for a control host."},
                {"jjq-keygen certificate --directory keys --name amina --role operator --days 90", "Issues a certificate for an operator."},
                {"jjq-keygen signer --directory keys --name amina", "Creates the signer key keys/amina.signer and its public key."},
                {"jjq-keygen flow-secret --directory keys --name flow-1", "Creates the 16-byte secret keys/flow-1.secret."},
            }};
}

/// Arguments of the command line.
struct Request {
    std::string kind;
    std::filesystem::path directory;
    std::filesystem::path authority;
    std::string name;
    std::string role;
    std::chrono::days validity;
};

Result<Request> parseRequest(const std::vector<std::string> &arguments)
{
    CommandLine line(description(), false);
    TCLAP::UnlabeledValueArg<std::string> kind("kind", "authority, certificate, signer or flow-secret", true, "", "KIND", line.parser());
    TCLAP::ValueArg<std::string> directory("", "directory", "directory for the new files", false, ".", "DIRECTORY", line.parser());
    TCLAP::ValueArg<std::string> authority("", "authority", "directory of the authority; default: --directory", false, "", "DIRECTORY", line.parser());
    TCLAP::ValueArg<std::string> name("", "name", "name of the authority, host, operator or key", true, "", "NAME", line.parser());
    TCLAP::ValueArg<std::string> role("", "role", "control, balancer, agent or operator", false, "", "ROLE", line.parser());
    TCLAP::ValueArg<int> days("", "days", "validity of a certificate", false, certificateValidity.count(), "DAYS", line.parser());
    BOOST_LEAF_CHECK(line.parse(arguments));
    if (days.getValue() < 1) {
        return fail(ResultCode::BadCommandLine, "--days: expected at least 1");
    }
    if (!isPeerName(name.getValue())) {
        return fail(ResultCode::BadCommandLine, "--name: expected 1 to 64 letters, digits, '.', '-' and '_'");
    }
    Request request{kind.getValue(), directory.getValue(), authority.getValue(), name.getValue(), role.getValue(), std::chrono::days(days.getValue())};
    if (request.authority.empty()) {
        request.authority = request.directory;
    }
    return request;
}

Result<void> run(const std::vector<std::string> &arguments)
{
    BOOST_LEAF_AUTO(request, parseRequest(arguments));
    if (request.kind == "authority") {
        BOOST_LEAF_CHECK(createCertificateAuthority(request.directory, request.name));
    } else if (request.kind == "certificate") {
        BOOST_LEAF_CHECK(issueCertificate(authorityFiles(request.authority), {request.name, request.role}, request.directory, request.validity));
    } else if (request.kind == "signer") {
        BOOST_LEAF_CHECK(SignerKey::create(request.directory / (request.name + ".signer")));
    } else if (request.kind == "flow-secret") {
        BOOST_LEAF_CHECK(createFlowSecret(request.directory / (request.name + ".secret")));
    } else {
        return fail(ResultCode::BadCommandLine, fmt::format("\"{}\" is not authority, certificate, signer or flow-secret", request.kind));
    }
    return {};
}

}

int main(int argc, char **argv)
{
    return runProgram("jjq-keygen", [&] {
        return run({argv, argv + argc});
    });
}
