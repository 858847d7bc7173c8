// Checks an engine's answer while it is being received: every part must name
// the adapter version and the request id of the call, and a stream must end
// with "[DONE]". Only complete events that passed the check are forwarded.
//
//   AnswerCheck Check("stave-1@3", AttemptId, /*Stream=*/true);
//   std::string Checked;   // bytes that may be forwarded
//   if (!Check.feed(Bytes, Checked)) fail(Code::WrongAdapter);
//   if (!Check.complete(Checked)) fail(Code::WrongAdapter);
#ifndef GOLDCRESTLINK_DELIVERY_ANSWER_CHECK_H
#define GOLDCRESTLINK_DELIVERY_ANSWER_CHECK_H

#include <string>
#include <string_view>

namespace goldcrestlink {

/// Not thread-safe. feed() fails once more than MaxEventBytes are buffered: an
/// incomplete event of a stream, or a body that is not streamed.
class AnswerCheck {
public:
  /// \p Model is "adapter@version". \p RequestId is the id sent with the call;
  /// the engine repeats it at the end of the "id" field of each part.
  AnswerCheck(std::string Model, std::string RequestId, bool Stream);

  /// Adds received bytes and, for a stream, appends the complete events that
  /// passed the check to \p Checked. Returns false if a part is malformed, too
  /// large, or belongs to another adapter or request.
  bool feed(std::string_view Bytes, std::string &Checked);
  /// To be called once, after the last feed(). For a stream, returns true if it
  /// ended with its end marker and no bytes are left over. Otherwise checks the
  /// body, appends it to \p Checked and returns true if it passed.
  bool complete(std::string &Checked);
  /// Number of events received in a stream, without the end marker. The engine
  /// sends one event per token.
  size_t events() const { return Events; }

private:
  bool partMatches(std::string_view Text) const;
  bool checkEvent(std::string_view Event);

  std::string Model;
  std::string RequestId;
  bool Stream;
  bool EndSeen = false;
  size_t Events = 0;
  std::string Pending;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DELIVERY_ANSWER_CHECK_H
