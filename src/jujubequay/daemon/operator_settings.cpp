#include <jujubequay/daemon/operator_settings.h>

namespace Jujubequay {

using namespace std::chrono_literals;

OperatorSettings readOperatorSettings(SettingsReader &reader)
{
    OperatorSettings settings;
    settings.operatorName = reader.text("operator_name", "name of the operator; the common name of the certificate");
    settings.logLevel = readLogLevel(reader);
    settings.tls = readTlsFiles(reader);
    settings.controlHosts = readControlHosts(reader);
    settings.signerKey = reader.optionalPath("signer_key_file", "key that signs bundles (Ed25519, mode 0600)");
    settings.operationTimeout = reader.duration("operation_timeout_ms", 10s, {100ms, 10min}, "time limit of one operation, including retries");
    return settings;
}

}
