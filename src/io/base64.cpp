#include "io/base64.h"

#include <openssl/evp.h>

namespace cranberry {

std::string base64Encoded(std::string_view text)
{
    std::string out(4 * ((text.size() + 2) / 3) + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                                     reinterpret_cast<const unsigned char *>(text.data()),
                                     static_cast<int>(text.size()));
    out.resize(static_cast<size_t>(size));
    return out;
}

std::optional<std::string> base64Decoded(std::string_view text)
{
    std::string out(3 * (text.size() / 4) + 3, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                                     reinterpret_cast<const unsigned char *>(text.data()),
                                     static_cast<int>(text.size()));
    if (size < 0)
        return std::nullopt;
    size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    out.resize(static_cast<size_t>(size) - padding);
    return out;
}

} // namespace cranberry
