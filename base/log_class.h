// The class of a log line decides which lines are dropped when there are too
// many.
//
//   Log.push(LogClass::Kept, "end id=r1 outcome=no_room ...");
#ifndef GOLDCRESTLINK_BASE_LOG_CLASS_H
#define GOLDCRESTLINK_BASE_LOG_CLASS_H

namespace goldcrestlink {

/// Kept: failures, refusals and changes of the catalog state. Routine:
/// successful work; these lines are dropped first.
enum class LogClass { Routine, Kept };

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_BASE_LOG_CLASS_H
