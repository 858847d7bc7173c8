// Fields and query parameters are found by linear search; the header size
// limits of server and client bound how many there are.
#include "http/message.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>

namespace goldcrestlink::http {

std::string_view headerValue(const Headers &List, std::string_view Name) {
  for (const Header &H : List)
    if (boost::beast::iequals({H.Name.data(), H.Name.size()},
                              {Name.data(), Name.size()}))
      return H.Value;
  return {};
}

std::string encodeQueryValue(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  constexpr std::string_view Unreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  std::string Out;
  for (const char C : Text) {
    if (Unreserved.find(C) != std::string_view::npos) {
      Out += C;
      continue;
    }
    const auto Byte = static_cast<unsigned char>(C);
    Out += '%';
    Out += Digits[Byte >> 4];
    Out += Digits[Byte & 15];
  }
  return Out;
}

std::string_view Request::query(std::string_view Name) const {
  std::string_view Rest = Target;
  const size_t QuestionMark = Rest.find('?');
  if (QuestionMark == std::string_view::npos)
    return {};
  Rest.remove_prefix(QuestionMark + 1);
  while (!Rest.empty()) {
    const size_t End = std::min(Rest.find('&'), Rest.size());
    const std::string_view Pair = Rest.substr(0, End);
    const size_t Equals = Pair.find('=');
    if (Equals != std::string_view::npos && Pair.substr(0, Equals) == Name)
      return Pair.substr(Equals + 1);
    Rest.remove_prefix(std::min(End + 1, Rest.size()));
  }
  return {};
}

Endpoint Endpoint::parse(std::string_view Text) {
  const size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    throw std::invalid_argument("'" + std::string(Text) + "' is not ip:port");
  Endpoint Out;
  Out.Address = Text.substr(0, Colon);
  const std::string_view Port = Text.substr(Colon + 1);
  const auto [End, Error] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Out.Port);
  boost::system::error_code Bad;
  boost::asio::ip::make_address(Out.Address, Bad);
  if (Bad || Error != std::errc() || End != Port.data() + Port.size())
    throw std::invalid_argument("'" + std::string(Text) + "' is not ip:port");
  return Out;
}

} // namespace goldcrestlink::http
