// Encodes and decodes the messages by which entries report the demand of
// organisations and sides answer with the totals.
//
//   wire::Envelope E = encodeQuotaReport(Report);
//   QuotaTotals Totals = decodeQuotaTotals(E.quota_share());
#ifndef GOLDCRESTLINK_DAEMON_QUOTA_CODEC_H
#define GOLDCRESTLINK_DAEMON_QUOTA_CODEC_H

#include "admission/quota_ledger.h"
#include "wire/generated/messages.pb.h"

namespace goldcrestlink {

// All functions are thread-safe. Amounts without a key, and keys without an
// amount, are left out.

wire::Envelope encodeQuotaReport(const QuotaReport &Report);
QuotaReport decodeQuotaReport(const wire::QuotaUse &Message);
wire::Envelope encodeQuotaTotals(const QuotaTotals &Totals);
QuotaTotals decodeQuotaTotals(const wire::QuotaShare &Message);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_QUOTA_CODEC_H
