#include <set>

#include <sodium.h>

#include "zinniadoor/control/bundle.hpp"

#include "digests.hpp"

namespace zinniadoor::control {

namespace {

const unsigned char *bytesOf(const std::string &text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

unsigned char *bytesOf(std::string &text)
{
    return reinterpret_cast<unsigned char *>(text.data());
}

bool isValid(const std::string &text, const Signature &signature, const Operator &signer)
{
    const auto bytes = detail::fromHex(signature.bytes, crypto_sign_BYTES);
    const auto publicKey = detail::fromHex(signer.publicKey, crypto_sign_PUBLICKEYBYTES);
    if (!bytes || !publicKey)
        return false;
    return crypto_sign_verify_detached(bytesOf(*bytes), bytesOf(text), text.size(),
                                       bytesOf(*publicKey))
        == 0;
}

} // namespace

KeyPair generateKeyPair()
{
    detail::initSodium();
    std::string publicKey(crypto_sign_PUBLICKEYBYTES, '\0');
    std::string secretKey(crypto_sign_SECRETKEYBYTES, '\0');
    crypto_sign_keypair(bytesOf(publicKey), bytesOf(secretKey));
    return { detail::toHex(publicKey), detail::toHex(secretKey) };
}

base::Outcome<Signature> signText(const std::string &text, const std::string &operatorId,
                                  const std::string &secretKey)
{
    detail::initSodium();
    const auto key = detail::fromHex(secretKey, crypto_sign_SECRETKEYBYTES);
    if (!key)
        return base::Reason { base::ReasonCode::InvalidArgument,
                              "not an Ed25519 secret key in hex" };
    std::string bytes(crypto_sign_BYTES, '\0');
    crypto_sign_detached(bytesOf(bytes), nullptr, bytesOf(text), text.size(), bytesOf(*key));
    return Signature { operatorId, detail::toHex(bytes) };
}

std::size_t countValidSignatures(const std::string &text, const std::vector<Signature> &signatures,
                                 const std::vector<Operator> &operators)
{
    detail::initSodium();
    // Counted by public key, so that one key under two operator names counts once.
    std::set<std::string> signers;
    for (const Operator &candidate : operators) {
        for (const Signature &signature : signatures) {
            if (signature.operatorId == candidate.id && isValid(text, signature, candidate))
                signers.insert(candidate.publicKey);
        }
    }
    return signers.size();
}

} // namespace zinniadoor::control
