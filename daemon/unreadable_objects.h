// Remembers which objects of the store were found to be unreadable, so that the
// same one is logged and counted once and not at each listing.
//
//   if (Unreadable.add("servers", Object.Name)) log(...);
//   Unreadable.remove("servers", Object.Name);    // has been written anew
#ifndef GOLDCRESTLINK_DAEMON_UNREADABLE_OBJECTS_H
#define GOLDCRESTLINK_DAEMON_UNREADABLE_OBJECTS_H

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace goldcrestlink {

/// Not thread-safe. Memory is bounded by MaxObjects.
class UnreadableObjects {
public:
  /// Beyond this many, all are forgotten, and logged once more when they are
  /// read again.
  static constexpr size_t MaxObjects = 1024;

  /// Returns true unless this object is known to be unreadable.
  bool add(std::string_view Kind, std::string_view Name) {
    if (Known.size() >= MaxObjects)
      Known.clear();
    const bool IsNew = Known.insert(keyOf(Kind, Name)).second;
    Count += IsNew ? 1 : 0;
    return IsNew;
  }
  /// The object is readable, or does not exist any longer.
  void remove(std::string_view Kind, std::string_view Name) {
    if (!Known.empty())
      Known.erase(keyOf(Kind, Name));
  }
  /// Number of times that add() returned true.
  uint64_t total() const { return Count; }

private:
  static std::string keyOf(std::string_view Kind, std::string_view Name) {
    return std::string(Kind) + "/" + std::string(Name);
  }

  std::set<std::string> Known;
  uint64_t Count = 0;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_UNREADABLE_OBJECTS_H
