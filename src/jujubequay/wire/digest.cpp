#include <jujubequay/wire/digest.h>

namespace Jujubequay {

Digest::Digest()
{
    crypto_generichash_init(&m_state, nullptr, 0, DigestBytes().size());
}

void Digest::add(std::span<const std::uint8_t> bytes)
{
    crypto_generichash_update(&m_state, bytes.data(), bytes.size());
}

DigestBytes Digest::finish()
{
    DigestBytes digest;
    crypto_generichash_final(&m_state, digest.data(), digest.size());
    return digest;
}

DigestBytes digestOf(std::span<const std::uint8_t> bytes)
{
    Digest digest;
    digest.add(bytes);
    return digest.finish();
}

}
