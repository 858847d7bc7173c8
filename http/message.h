// HTTP messages as plain values, so that only http/*.cc includes Beast.
#ifndef GOLDCRESTLINK_HTTP_MESSAGE_H
#define GOLDCRESTLINK_HTTP_MESSAGE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestlink::http {

/// One header field.
struct Header {
  std::string Name;
  std::string Value;
};

using Headers = std::vector<Header>;

/// The value of the first field named \p Name (case-insensitive), or an empty
/// view. Thread-safe; the view lives as long as \p List.
std::string_view headerValue(const Headers &List, std::string_view Name);

/// A whole request.
struct Request {
  std::string Method = "GET";
  std::string Target = "/";
  Headers Fields;
  std::string Body;

  /// The value of a header field, empty if absent.
  std::string_view header(std::string_view Name) const {
    return headerValue(Fields, Name);
  }
  /// The target without its query.
  std::string_view path() const {
    return std::string_view(Target).substr(0, Target.find('?'));
  }
  /// The value of a query parameter, empty if absent. No percent-decoding.
  std::string_view query(std::string_view Name) const;
};

/// Status line and header of a response.
struct ResponseHead {
  unsigned Status = 0;
  Headers Fields;

  std::string_view header(std::string_view Name) const {
    return headerValue(Fields, Name);
  }
};

/// An IP address and a port.
struct Endpoint {
  std::string Address;
  uint16_t Port = 0;

  /// Parses "ip:port"; throws std::invalid_argument on anything else.
  static Endpoint parse(std::string_view Text);
  std::string text() const { return Address + ":" + std::to_string(Port); }
  bool operator==(const Endpoint &) const = default;
};

} // namespace goldcrestlink::http

#endif // GOLDCRESTLINK_HTTP_MESSAGE_H
