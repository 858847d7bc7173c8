// All decisions take constant time.
#include "forward/process_stop.h"

#include <algorithm>

namespace goldcrestlink::forward {

Time ProcessStop::latestSend(const UnsentCall &Call) const {
  if (!Schedule || Call.Deadline <= Schedule->AnswerBy)
    return Time::max();
  const bool IsLate = Call.Arrived > Schedule->AcceptUntil;
  const Time ToEndInTime =
      Schedule->AnswerBy - Call.Run * (IsLate ? LateRunFactor : RunFactor);
  const Time Since = std::max(Schedule->Begin, Call.Arrived);
  const Time ToBeServedElsewhere = Since + (Call.Deadline - Since) / 2;
  return std::min(ToEndInTime, ToBeServedElsewhere);
}

} // namespace goldcrestlink::forward
