#include "zinniadoor/net/address.hpp"

#include <algorithm>
#include <limits>
#include <optional>

#include <boost/asio/ip/address.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace zinniadoor::net {

namespace {

/// Limit of an invalid text in a reason, which is logged.
constexpr std::size_t MaxShownBytes = 64;

std::optional<std::uint16_t> parsePort(absl::string_view text)
{
    constexpr std::size_t MaxDigits = 5;
    std::uint32_t port = 0;
    // SimpleAtoi accepts a sign and blanks, which would then be sent in a Host field.
    const bool isNumber = text.size() <= MaxDigits
        && std::all_of(text.begin(), text.end(), absl::ascii_isdigit)
        && absl::SimpleAtoi(text, &port);
    if (!isNumber || port > std::numeric_limits<std::uint16_t>::max())
        return std::nullopt;
    return static_cast<std::uint16_t>(port);
}

} // namespace

base::Outcome<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &text)
{
    const base::Reason invalid { base::ReasonCode::InvalidArgument,
                                 absl::StrCat("'", text.substr(0, MaxShownBytes),
                                              "' is not an IP:port") };
    const std::size_t colon = text.rfind(':');
    // make_address reads up to the first NUL.
    if (colon == std::string::npos || text.find('\0') != std::string::npos)
        return invalid;
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(text.substr(0, colon), error);
    const auto port = parsePort(absl::string_view(text).substr(colon + 1));
    if (error || !port)
        return invalid;
    return boost::asio::ip::tcp::endpoint(ip, *port);
}

} // namespace zinniadoor::net
