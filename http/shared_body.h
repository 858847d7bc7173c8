// A body that several owners hold without copying it, with its reservation in
// the memory budget: the call that may be sent again, and each send.
//
//   SharedBody B = std::move(Text);
//   SharedBody Other = B;         // the same bytes
//   std::string_view V = B;
#ifndef GOLDCRESTLINK_HTTP_SHARED_BODY_H
#define GOLDCRESTLINK_HTTP_SHARED_BODY_H

#include <memory>
#include <string>
#include <string_view>

#include "base/memory_budget.h"

namespace goldcrestlink::http {

/// Immutable; copies are cheap. Thread-safe.
class SharedBody {
public:
  SharedBody() = default;
  SharedBody(std::string Text) : SharedBody(std::move(Text), nullptr) {}
  SharedBody(const char *Text) : SharedBody(std::string(Text)) {}
  /// \p Room is released with the last copy.
  SharedBody(std::string Text, std::shared_ptr<MemoryReservation> Room)
      : Shared(std::make_shared<const State>(
            State{std::move(Text), std::move(Room)})) {}

  std::string_view view() const {
    return Shared ? std::string_view(Shared->Text) : std::string_view();
  }
  operator std::string_view() const { return view(); }
  size_t size() const { return view().size(); }
  bool empty() const { return view().empty(); }

private:
  struct State {
    std::string Text;
    std::shared_ptr<MemoryReservation> Room;
  };
  std::shared_ptr<const State> Shared;
};

inline bool operator==(const SharedBody &A, std::string_view B) {
  return A.view() == B;
}

} // namespace goldcrestlink::http

#endif // GOLDCRESTLINK_HTTP_SHARED_BODY_H
