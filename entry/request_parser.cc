// The JSON library parses the body once. Only the fields that routing needs are
// read; the body is forwarded unchanged. The HTTP server bounds the sizes of
// body and headers.
#include "entry/request_parser.h"

#include <charconv>

#include "base/bounded_json.h"

namespace goldcrestlink::entry {

namespace {

constexpr size_t MaxKeyBytes = 128;
constexpr int64_t MaxTimeLimitMs = 24LL * 3600 * 1000;
constexpr uint32_t MaxTokensLimit = 1000000;

bool parseNumber(std::string_view Text, int64_t &Out) {
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Out);
  return Error == std::errc() && End == Text.data() + Text.size();
}

// The issue time of a version 7 UUID is its first 48 bits, in milliseconds.
bool issueTimeOfUuid(std::string_view Key, int64_t &Out) {
  if (Key.size() != 36 || Key[8] != '-' || Key[13] != '-' || Key[14] != '7')
    return false;
  const std::string Hex =
      std::string(Key.substr(0, 8)) + std::string(Key.substr(9, 4));
  const auto [End, Error] =
      std::from_chars(Hex.data(), Hex.data() + Hex.size(), Out, 16);
  return Error == std::errc() && End == Hex.data() + Hex.size();
}

std::string readKey(const http::Request &From, CallerRequest &Out) {
  Out.Key = From.header("Idempotency-Key");
  if (Out.Key.empty())
    return {};
  if (Out.Key.size() > MaxKeyBytes)
    return "Idempotency-Key is too long";
  const std::string_view Issued = From.header("Idempotency-Key-Issued-At");
  const bool HasIssueTime = Issued.empty()
                                ? issueTimeOfUuid(Out.Key, Out.KeyIssuedMs)
                                : parseNumber(Issued, Out.KeyIssuedMs);
  return HasIssueTime ? std::string()
                      : "Idempotency-Key must be a version 7 UUID or come with "
                        "Idempotency-Key-Issued-At in Unix milliseconds";
}

std::string readTimeLimit(const http::Request &From, CallerRequest &Out) {
  const std::string_view Text = From.header("X-Deadline-Ms");
  if (Text.empty())
    return {};
  int64_t Millis = 0;
  if (!parseNumber(Text, Millis) || Millis < 1 || Millis > MaxTimeLimitMs)
    return "X-Deadline-Ms must be a positive number of milliseconds";
  Out.TimeLimit = std::chrono::milliseconds(Millis);
  return {};
}

std::string readCompletion(CallerRequest &Out) {
  const nlohmann::json Json = parseJson(Out.Body);
  if (!Json.is_object())
    return "the body is not a JSON object";
  const auto Model = Json.find("model");
  if (Model == Json.end() || !Model->is_string())
    return "'model' must be a string";
  const auto &Name = Model->get_ref<const std::string &>();
  const size_t At = Name.find('@');
  if (At == std::string::npos || At == 0 || At + 1 == Name.size())
    return "'model' must be adapter@version";
  Out.Adapter = Name.substr(0, At);
  Out.Version = Name.substr(At + 1);
  const auto Stream = Json.find("stream");
  if (Stream != Json.end() && !Stream->is_boolean())
    return "'stream' must be true or false";
  Out.Stream = Stream != Json.end() && Stream->get<bool>();
  const auto Tokens = Json.find("max_tokens");
  if (Tokens == Json.end())
    return {};
  if (!Tokens->is_number_unsigned() || Tokens->get<uint64_t>() == 0 ||
      Tokens->get<uint64_t>() > MaxTokensLimit)
    return "'max_tokens' must be a positive number";
  Out.MaxTokens = Tokens->get<uint32_t>();
  return {};
}

bool isCompletion(std::string_view Path) {
  return Path == "/v1/completions" || Path == "/v1/chat/completions";
}

} // namespace

ParsedRequest parseCallerRequest(http::Request &&From, std::string Id) {
  ParsedRequest Out;
  CallerRequest &R = Out.Request;
  R.Id = std::move(Id);
  R.Method = From.Method;
  R.Path = From.path();
  R.ContentType = From.header("Content-Type");
  R.Application = From.header("X-Application");
  R.Rank = From.header("X-Rank");
  R.Body = std::move(From.Body);
  const bool Completion = isCompletion(R.Path);
  if (Completion && R.Method != "POST")
    Out.Problem = "completion requests must use POST";
  if (Out.Problem.empty())
    Out.Problem = readKey(From, R);
  if (Out.Problem.empty())
    Out.Problem = readTimeLimit(From, R);
  if (Out.Problem.empty() && Completion)
    Out.Problem = readCompletion(R);
  if (!Completion)
    R.Path = From.Target;
  return Out;
}

std::string errorBody(Code Why, Outcome Known, std::string_view RequestId,
                      std::string_view Detail) {
  nlohmann::json Error;
  Error["code"] = codeName(Why);
  Error["outcome"] = outcomeName(Known);
  Error["request_id"] = RequestId;
  if (!Detail.empty())
    Error["message"] = Detail;
  nlohmann::json Body;
  Body["error"] = std::move(Error);
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace goldcrestlink::entry
