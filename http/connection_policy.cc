// The candidates are ordered by a heap, so that a choice costs one pass over
// all of them and a few steps for each check.
#include "http/connection_policy.h"

namespace goldcrestlink::http {

DeadlineStep stepAtDeadline(Time Now, Time Deadline, ConnectionStage Stage,
                            bool HasArrived) {
  if (Now < Deadline || (HasArrived && Stage != ConnectionStage::Refused))
    return DeadlineStep::Wait;
  const bool IsArriving =
      Stage == ConnectionStage::Head || Stage == ConnectionStage::Body;
  return IsArriving ? DeadlineStep::Refuse : DeadlineStep::Close;
}

} // namespace goldcrestlink::http
