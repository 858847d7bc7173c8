// Parses an HTTP request into a CallerRequest: an OpenAI-style completion
// request, or a request to a plain service. Checks only that it is well-formed;
// the entry's state machine looks its names up in the declarations.
//
//   ParsedRequest Parsed = parseCallerRequest(std::move(Http), "id-1");
//   if (!Parsed.Problem.empty()) refuse(400, Parsed.Problem);
#ifndef GOLDCRESTLINK_ENTRY_REQUEST_PARSER_H
#define GOLDCRESTLINK_ENTRY_REQUEST_PARSER_H

#include <string>

#include "entry/actions.h"
#include "http/message.h"

namespace goldcrestlink::entry {

struct ParsedRequest {
  CallerRequest Request;
  /// Why the request is malformed; empty if it is well-formed.
  std::string Problem;
};

/// Parses \p From; the result has the id \p Id. Thread-safe. Malformed input
/// sets Problem and never throws.
ParsedRequest parseCallerRequest(http::Request &&From, std::string Id);

/// The JSON body of the response that reports a refusal or failure.
/// Thread-safe.
std::string errorBody(Code Why, Outcome Known, std::string_view RequestId,
                      std::string_view Detail);

} // namespace goldcrestlink::entry

#endif // GOLDCRESTLINK_ENTRY_REQUEST_PARSER_H
