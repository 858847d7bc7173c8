// How much a line of the log matters when there are too many.
//
//   Log.push(LineClass::Kept, "end id=r1 outcome=no_room ...");
#ifndef GOLDCRESTLINK_BASE_LINE_CLASS_H
#define GOLDCRESTLINK_BASE_LINE_CLASS_H

namespace goldcrestlink {

/// Kept lines tell of failures, refusals and changes of belief; routine ones
/// of work that goes well, and are dropped first.
enum class LineClass { Routine, Kept };

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_BASE_LINE_CLASS_H
