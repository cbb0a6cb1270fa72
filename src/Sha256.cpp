#include "Sha256.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace jayhold {

auto sha256Hex(std::string_view text) -> std::string
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    std::string hex;
    hex.reserve(digest.size() * 2);
    for (const auto byte : digest) {
        hex += digits[byte >> 4U];
        hex += digits[byte & 0xfU];
    }
    return hex;
}

auto equalDigests(std::string_view left, std::string_view right) -> bool
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}
