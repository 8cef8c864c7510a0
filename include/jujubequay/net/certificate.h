#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/net/message_stream.h>

#include <chrono>
#include <filesystem>

namespace Jujubequay {

/// PEM files of a certificate and its private key. The key file has mode 0600.
struct CertificateFiles {
    std::filesystem::path certificate;
    std::filesystem::path key;
};

constexpr std::chrono::days authorityValidity{3650};
constexpr std::chrono::days certificateValidity{730};

/// True for "control", "balancer", "agent" and "operator".
bool isPeerRole(std::string_view role);

/// True for 1 to 64 letters, digits, '.', '-' and '_' that do not start with '.'; such names are safe in file names.
bool isPeerName(std::string_view name);

/// Paths of the files that createCertificateAuthority writes to a directory: authority.crt and authority.key.
CertificateFiles authorityFiles(const std::filesystem::path &directory);

/// Creates a certificate authority with a P-256 key and writes its files. Fails with BadCommandLine for a bad name, and with BadKeyFile if a file
/// exists or cannot be written.
Result<CertificateFiles> createCertificateAuthority(const std::filesystem::path &directory,
                                                    std::string_view name,
                                                    std::chrono::days validity = authorityValidity);

/// Issues a certificate for a host or an operator and writes `directory`/<name>.crt and <name>.key. Fails with BadCommandLine for a bad name or
/// role, and with BadKeyFile if a file exists or cannot be read or written.
Result<CertificateFiles> issueCertificate(const CertificateFiles &authority,
                                          const PeerIdentity &identity,
                                          const std::filesystem::path &directory,
                                          std::chrono::days validity = certificateValidity);

}
