// Checks an engine's answer while it passes: that every part names the
// adapter, version and request that were asked for, and that a stream ends
// with its end mark. Only checked, complete events are handed on.
//
//   AnswerCheck C("stave-1@3", AttemptId, /*Stream=*/true);
//   if (!C.feed(Bytes, Checked)) fail(Code::WrongAdapter);
//   if (!C.complete()) fail(Code::Interrupted);
#ifndef GOLDCRESTLINK_DELIVERY_ANSWER_CHECK_H
#define GOLDCRESTLINK_DELIVERY_ANSWER_CHECK_H

#include <string>
#include <string_view>

namespace goldcrestlink {

/// Not thread-safe. Holds at most MaxEventBytes of an incomplete event.
class AnswerCheck {
public:
  /// \p Model is "adapter@version"; \p RequestId is what the engine echoes at
  /// the end of each part's "id".
  AnswerCheck(std::string Model, std::string RequestId, bool Stream);

  /// Takes bytes and appends checked ones to \p Checked. False if a part is
  /// malformed, too large, or belongs to another adapter or request.
  bool feed(std::string_view Bytes, std::string &Checked);
  /// True once the whole answer has been fed. For an answer that is not
  /// streamed, checks the body; call it once, at the end.
  bool complete(std::string &Checked);
  /// Events, that is tokens, seen in a stream.
  size_t events() const { return Events; }

private:
  bool partMatches(std::string_view Json) const;
  bool takeEvent(std::string_view Event);

  std::string Model;
  std::string RequestId;
  bool Stream;
  bool SawEnd = false;
  size_t Events = 0;
  std::string Pending;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DELIVERY_ANSWER_CHECK_H
