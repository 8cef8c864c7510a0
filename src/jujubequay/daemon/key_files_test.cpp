#include "jujubequay/net/net_test_support.h"

#include <jujubequay/daemon/flow_secret.h>
#include <jujubequay/daemon/signer_key.h>
#include <jujubequay/net/key_file.h>

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>

using namespace Jujubequay;
using namespace Jujubequay::Testing;

namespace {

constexpr std::array<std::uint8_t, 3> message{1, 2, 3};

std::filesystem::perms modeOf(const std::filesystem::path &path)
{
    return std::filesystem::status(path).permissions();
}

}

class KeyFilesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KeyFilesTest);
    CPPUNIT_TEST(signerKeyIsLoadedAsCreated);
    CPPUNIT_TEST(flowSecretIsLoadedAsCreated);
    CPPUNIT_TEST(keyFilesReadableByOthersAreRefused);
    CPPUNIT_TEST(existingKeysAreNotOverwritten);
    CPPUNIT_TEST(existingPublicKeysAreNotOverwritten);
    CPPUNIT_TEST(malformedKeysAreRefused);
    CPPUNIT_TEST(certificateNamesAreChecked);
    CPPUNIT_TEST_SUITE_END();

public:
    void signerKeyIsLoadedAsCreated()
    {
        const auto created = valueOf([&] {
            return SignerKey::create(m_path);
        });
        const auto loaded = valueOf([&] {
            return SignerKey::load(m_path);
        });
        const auto publicKey = valueOf([&] {
            return loadSignerPublicKey(m_path.string() + ".pub");
        });
        CPPUNIT_ASSERT(created.publicKey() == publicKey);
        SignerSignature signature = loaded.sign(message);
        CPPUNIT_ASSERT(verifySignature(publicKey, message, signature));
        signature[0] ^= 1U;
        CPPUNIT_ASSERT(!verifySignature(publicKey, message, signature));
    }

    void flowSecretIsLoadedAsCreated()
    {
        const auto created = valueOf([&] {
            return createFlowSecret(m_path);
        });
        CPPUNIT_ASSERT(created == valueOf([&] {
                           return loadFlowSecret(m_path);
                       }));
    }

    // Guards against a private key that other users of the host can read.
    void keyFilesReadableByOthersAreRefused()
    {
        const TestAuthority authority;
        const TlsFiles files = authority.issue({"host-a", "agent"});
        for (const auto &path : {files.key, authority.files().key}) {
            CPPUNIT_ASSERT(modeOf(path) == (std::filesystem::perms::owner_read | std::filesystem::perms::owner_write));
        }
        std::filesystem::permissions(files.key, std::filesystem::perms::group_read, std::filesystem::perm_options::add);
        CPPUNIT_ASSERT(codeOf([&] {
                           return TlsContext::load(files);
                       })
                       == ResultCode::BadKeyFile);
        CPPUNIT_ASSERT(codeOf([&] {
                           return createFlowSecret(m_path);
                       })
                       == ResultCode::Ok);
        std::filesystem::permissions(m_path, std::filesystem::perms::others_read, std::filesystem::perm_options::add);
        CPPUNIT_ASSERT(codeOf([&] {
                           return loadFlowSecret(m_path);
                       })
                       == ResultCode::BadKeyFile);
    }

    // Guards against a second run that overwrites the certificate authority of an installation.
    void existingKeysAreNotOverwritten()
    {
        const auto create = [&] {
            return createCertificateAuthority(m_directory.path(), "authority");
        };
        CPPUNIT_ASSERT(codeOf(create) == ResultCode::Ok);
        const auto originalKey = valueOf([&] {
            return readKeyFile(authorityFiles(m_directory.path()).key);
        });
        CPPUNIT_ASSERT(codeOf(create) == ResultCode::BadKeyFile);
        CPPUNIT_ASSERT(originalKey == valueOf([&] {
                           return readKeyFile(authorityFiles(m_directory.path()).key);
                       }));
    }

    /// Operators keep the private key elsewhere. Guards against a public key that is replaced, so that signatures are no longer accepted.
    void existingPublicKeysAreNotOverwritten()
    {
        const std::filesystem::path publicPath = m_path.string() + ".pub";
        const auto create = [&] {
            return SignerKey::create(m_path);
        };
        CPPUNIT_ASSERT(codeOf(create) == ResultCode::Ok);
        const auto original = valueOf([&] {
            return loadSignerPublicKey(publicPath);
        });
        std::filesystem::remove(m_path);
        CPPUNIT_ASSERT(codeOf(create) == ResultCode::BadKeyFile);
        CPPUNIT_ASSERT(original == valueOf([&] {
                           return loadSignerPublicKey(publicPath);
                       }));
        CPPUNIT_ASSERT(!std::filesystem::exists(m_path));
    }

    void malformedKeysAreRefused()
    {
        for (const char *text : {"",
                                 "jujubequay-flow-secret \n",
                                 "jujubequay-flow-secret 00ff\n",
                                 "other 000102030405060708090a0b0c0d0e0f\n",
                                 "jujubequay-flow-secret 000102030405060708090a0b0c0d0e0f00\n",
                                 "jujubequay-flow-secret 000102030405060708090a0b0c0d0e0g\n"}) {
            std::filesystem::remove(m_path);
            CPPUNIT_ASSERT(codeOf([&] {
                               return writeKeyFile(m_path, text);
                           })
                           == ResultCode::Ok);
            CPPUNIT_ASSERT_MESSAGE(text,
                                   codeOf([&] {
                                       return loadFlowSecret(m_path);
                                   }) == ResultCode::BadKeyFile);
        }
    }

    // Guards against a certificate name that leads to a file outside the directory, and against an undefined role.
    void certificateNamesAreChecked()
    {
        const TestAuthority authority;
        for (const PeerIdentity &identity : {PeerIdentity{"../host", "agent"}, PeerIdentity{"", "agent"}, PeerIdentity{"host", "root"}}) {
            CPPUNIT_ASSERT(codeOf([&] {
                               return issueCertificate(authority.files(), identity, m_directory.path());
                           })
                           == ResultCode::BadCommandLine);
        }
    }

private:
    TemporaryDirectory m_directory;
    std::filesystem::path m_path = m_directory.path() / "test.key";
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyFilesTest);
