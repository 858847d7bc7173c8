// Turns an HTTP request into a CallerRequest: the OpenAI-style completion
// calls, or a call to a plain service. Checks form only; names are checked
// against the declarations by the EntryMachine.
//
//   ParsedRequest P = parseCallerRequest(Http, "id-1");
//   if (!P.Problem.empty()) refuse(400, P.Problem);
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

/// Thread-safe; never throws on bad input.
ParsedRequest parseCallerRequest(http::Request &&From, std::string Id);

/// The JSON body with which a caller is told of a refusal or failure.
std::string errorBody(Code Why, Outcome Known, std::string_view RequestId,
                      std::string_view Detail);

} // namespace goldcrestlink::entry

#endif // GOLDCRESTLINK_ENTRY_REQUEST_PARSER_H
